// Handles requests to the admin listener.
#include "AdminApi.h"

#include "sycamore/Log.h"

#include <array>
#include <charconv>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 5> StateNames = {
    "alive", "suspect", "leaving", "left", "dead"};

std::string_view stateName(wire::ServerState State) {
  auto Index = static_cast<std::size_t>(State);
  return Index < StateNames.size() ? StateNames[Index] : "unknown";
}

void replyJson(HttpExchange &Exchange, int Status, const Json &Body) {
  Exchange.reply(Status, {{"content-type", "application/json"}},
                 Body.dump(-1, ' ', false, Json::error_handler_t::replace) +
                     "\n");
}

void replyError(HttpExchange &Exchange, int Status, const Error &Failure) {
  replyJson(Exchange, Status,
            {{"error",
              {{"kind", errorKindName(Failure.Kind_)},
               {"message", Failure.Message_},
               {"remedy", Failure.Remedy_}}}});
}

std::string formatFingerprint(std::uint64_t Value) {
  std::array<char, 17> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(), "%016llx",
                static_cast<unsigned long long>(Value));
  return Buffer.data();
}

} // namespace

AdminApi::AdminApi(AdminContext Context,
                   std::map<std::string, std::string> Tokens)
    : Context_(Context), Tokens_(std::move(Tokens)) {}

const std::vector<AdminApi::Endpoint> &AdminApi::endpoints() {
  static const std::vector<Endpoint> All = {
      {"GET", "/fleet", true, &AdminApi::showFleet},
      {"GET", "/status", true, &AdminApi::showStatus},
      {"GET", "/quarantine", true, &AdminApi::showQuarantine},
      {"DELETE", "/quarantine/", true, &AdminApi::clearQuarantine},
      {"GET", "/traces", true, &AdminApi::showTraces},
      {"POST", "/announce", false, &AdminApi::announce},
      {"DELETE", "/announce/", false, &AdminApi::withdraw},
      {"GET", "/metrics", false, &AdminApi::showMetrics},
      {"GET", "/healthz", false, &AdminApi::showHealth},
  };
  return All;
}

bool AdminApi::isAuthorized(const HttpRequest &Request) const {
  if (Tokens_.empty())
    return true;
  constexpr std::string_view Scheme = "Bearer ";
  const std::string *Header = findHeader(Request.Headers_, "authorization");
  if (!Header || !Header->starts_with(Scheme))
    return false;
  std::string Hash = sha256Hex(std::string_view(*Header).substr(Scheme.size()));
  return std::any_of(Tokens_.begin(), Tokens_.end(),
                     [&](const auto &Entry) { return Entry.second == Hash; });
}

void AdminApi::receive(const HttpExchangePointer &Exchange, Now Time) {
  const HttpRequest &Request = Exchange->request();
  std::string_view Path = Request.Path_;
  Path = Path.substr(0, Path.find('?'));
  for (const Endpoint &Candidate : endpoints()) {
    bool TakesName = Candidate.Path_.ends_with('/');
    bool Matches =
        TakesName ? Path.starts_with(Candidate.Path_) : Path == Candidate.Path_;
    if (!Matches || Candidate.Method_ != Request.Method_)
      continue;
    if (Candidate.RequiresToken_ && !isAuthorized(Request)) {
      replyError(*Exchange, 401,
                 {ErrorKind::PermissionDenied, "the request has no valid token",
                  "set admin_token_file in the settings of sycamorectl"});
      return;
    }
    (this->*Candidate.Handle_)(*Exchange, Path.substr(Candidate.Path_.size()),
                               Time);
    return;
  }
  replyError(*Exchange, 404,
             {ErrorKind::NotFound, "nothing is at " + Request.Path_,
              "see docs/OPERATIONS.md for the admin interface"});
}

void AdminApi::showFleet(HttpExchange &Exchange, std::string_view /*Name*/,
                         Now Time) {
  Json Servers = Json::array();
  const Membership &Members = Context_.Control_.members();
  for (const FleetRow &Row : fleetView(Members, Time)) {
    const wire::ServerRecord *Record = findServer(Members, Row.Name_);
    Json Server = {{"server", Row.Name_},
                   {"data_centre", Row.DataCentre_},
                   {"state", stateName(Row.State_)},
                   {"incarnation", Record ? Record->incarnation() : 0}};
    // The ticket of a server that was never heard of is unknown, which differs
    // from 0, so it is left out.
    if (Row.Age_) {
      Server["ticket"] = Row.Ticket_;
      Server["rejected_ticket"] = Row.RejectedTicket_;
      Server["age_ms"] = toMilliseconds(*Row.Age_);
    }
    Servers.push_back(std::move(Server));
  }
  replyJson(Exchange, 200,
            {{"servers", Servers},
             {"answered_by", Context_.Settings_.Server_},
             {"head_number", Context_.Control_.snapshot()->Number_}});
}

void AdminApi::showStatus(HttpExchange &Exchange, std::string_view /*Name*/,
                          Now /*Time*/) {
  const Snapshot &Current = *Context_.Control_.snapshot();
  Json Targets = Json::array();
  for (const auto &[Name, Target] : Context_.Targets_.targets()) {
    AdmissionLoad Load = load(Target.Admission_);
    Targets.push_back({{"target", Name},
                       {"service", Target.Service_},
                       {"leaving", Target.Leaving_},
                       {"running", Load.Running_},
                       {"queued", Load.Queued_},
                       {"slots", Load.Slots_}});
  }
  replyJson(
      Exchange, 200,
      {{"server", Context_.Settings_.Server_},
       {"ticket", Current.Number_},
       {"ticket_accepted_unix_ms",
        Current.LastAcceptance_
            ? Current.LastAcceptance_->AcceptedUnixUs_ / 1000
            : 0},
       {"ticket_applied_unix_ms",
        toMilliseconds(Context_.Control_.appliedAt().time_since_epoch())},
       {"digest", Current.Digest_},
       {"serving", Context_.Control_.mayServe()},
       {"floor_basis", floorBasisName(Context_.Control_.bootstrap().Basis_)},
       {"reader", isReader(Context_.Control_.members())},
       {"calls", Context_.Entry_.inFlight()},
       {"links", Context_.Peers_.linkCount()},
       {"buckets", heldBuckets(Context_.Keys_.buckets()).size()},
       {"targets", Targets}});
}

void AdminApi::showQuarantine(HttpExchange &Exchange, std::string_view /*Name*/,
                              Now /*Time*/) {
  Json Entries = Json::array();
  for (const wire::QuarantineRecord &Record : list(Context_.Quarantine_))
    if (!Record.cleared())
      Entries.push_back(
          {{"fingerprint", formatFingerprint(Record.fingerprint())},
           {"losses", Record.losses()},
           {"expires_unix_ms", Record.expires_unix_us() / 1000},
           {"sample", Record.sample()}});
  replyJson(Exchange, 200, {{"entries", Entries}});
}

void AdminApi::clearQuarantine(HttpExchange &Exchange, std::string_view Name,
                               Now Time) {
  constexpr int HexBase = 16;
  std::uint64_t Fingerprint = 0;
  auto Parsed = std::from_chars(Name.data(), Name.data() + Name.size(),
                                Fingerprint, HexBase);
  if (Name.empty() || Parsed.ptr != Name.data() + Name.size()) {
    replyError(Exchange, 400,
               {ErrorKind::InvalidArgument,
                "\"" + std::string(Name) + "\" is not a fingerprint",
                "copy one from `sycamorectl quarantine list`"});
    return;
  }
  clear(Context_.Quarantine_, Fingerprint, Time.Wall_);
  Context_.Control_.gossipQuarantine(changedRecords(
      Context_.Quarantine_, Context_.Control_.members().Servers_.size()));
  replyJson(Exchange, 200, {{"cleared", formatFingerprint(Fingerprint)}});
}

void AdminApi::announce(HttpExchange &Exchange, std::string_view /*Name*/,
                        Now Time) {
  auto Document = parseJson(Exchange.request().Body_, "announcement");
  if (!Document) {
    replyError(Exchange, 400, Document.error());
    return;
  }
  if (auto Announced = Context_.Targets_.announce(*Document, Time); !Announced)
    replyError(Exchange, 400, Announced.error());
  else
    replyJson(Exchange, 200, {{"ok", true}});
}

void AdminApi::withdraw(HttpExchange &Exchange, std::string_view Name,
                        Now Time) {
  if (Context_.Targets_.withdraw(Name, Time))
    replyJson(Exchange, 200, {{"ok", true}});
  else
    replyError(Exchange, 404,
               {ErrorKind::NotFound,
                "target " + std::string(Name) + " has not announced itself",
                "use the name of the announcement"});
}

void AdminApi::showMetrics(HttpExchange &Exchange, std::string_view /*Name*/,
                           Now /*Time*/) {
  Exchange.reply(200, {{"content-type", "text/plain; version=0.0.4"}},
                 metricsText(Context_));
}

void AdminApi::showTraces(HttpExchange &Exchange, std::string_view /*Name*/,
                          Now /*Time*/) {
  replyJson(Exchange, 200,
            toOtlpJson(Context_.Spans_, Context_.Settings_.Server_));
}

void AdminApi::showHealth(HttpExchange &Exchange, std::string_view /*Name*/,
                          Now /*Time*/) {
  bool Serving = Context_.Control_.mayServe();
  replyJson(Exchange, Serving ? 200 : 503, {{"serving", Serving}});
}

} // namespace sycamore
