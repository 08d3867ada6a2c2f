// Stand-in for a target: faults, health and load reports, announcements and
// draining.
#include "HttpSupport.h"
#include "StandinTarget.h"
#include "sycamore/Clock.h"

#include <event2/event.h>

namespace sycamore::standin {
namespace {

constexpr timeval AnnounceInterval{1, 0};
constexpr Duration AnnounceDeadline = milliseconds(900);
constexpr timeval DrainInterval{0, 10000};

/// Time after the deregistration in which the target still refuses requests
/// that are in transit, instead of refusing their connections.
constexpr Duration DeregistrationGrace = milliseconds(300);
constexpr Duration MaxDeregistrationTime = seconds(1);

constexpr std::size_t MaxLoadHistory = 20000;

const HttpHeaders JsonHeaders = {{"Content-Type", "application/json"}};

} // namespace

StandinTarget::StandinTarget(event_base *Base,
                             const StandinTargetConfig &Config)
    : Base_(Base), Config_(Config), Ledger_(Config.Ledger_, Config.Name_),
      Rng_(Config.Seed_),
      AnnounceTimer_(event_new(Base, -1, EV_PERSIST, onAnnounceTimer, this)),
      DrainTimer_(event_new(Base, -1, EV_PERSIST, onDrainTimer, this)),
      ColdStartEnd_(monotonicNow() + Config.ColdStart_) {}

StandinTarget::~StandinTarget() {
  for (auto &[Sequence, Item] : Jobs_) {
    Item.Exchange_->onClosed(nullptr);
    event_free(Item.Timer_);
  }
  event_free(AnnounceTimer_);
  event_free(DrainTimer_);
}

Result<std::unique_ptr<StandinTarget>>
StandinTarget::create(event_base *Base, const StandinTargetConfig &Config) {
  if (!Config.NestedPath_.empty() && Config.NestedVia_.empty())
    return fail(ErrorKind::InvalidArgument,
                "a nested path is set without an address to call it by",
                "name the daemon's caller address with --nested-via");
  std::unique_ptr<StandinTarget> Out(new StandinTarget(Base, Config));
  HttpServerConfig ServerConfig;
  ServerConfig.MaxBodyBytes_ = 64U << 20U;
  Out->Server_ = *HttpServer::create(Base, ServerConfig);
  Out->Client_ = *HttpClient::create(Base);
  Out->Server_->setHandler(
      [Self = Out.get()](const HttpExchangePointer &Exchange) {
        Self->handle(Exchange);
      });
  auto Bound = Out->Server_->listen(Config.Listen_);
  if (!Bound)
    return tl::unexpected(Bound.error());
  Out->Address_ = *Bound;
  if (!Config.Announce_.empty()) {
    event_add(Out->AnnounceTimer_, &AnnounceInterval);
    Out->announce();
  }
  return Out;
}

std::optional<Error> StandinTarget::setFaults(const Json &Document) {
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  TargetFaults Next = Faults_;
  Reader.readNumber("slow_factor", Next.SlowFactor_, 0, 1e6);
  Reader.readBool("draining", Next.Draining_);
  Reader.readString("crash_marker", Next.CrashMarker_);
  Reader.readBool("lying_load", Next.LyingLoad_);
  Reader.readUnsigned("load_lag_ms", Next.LoadLagMs_, 0, 600000);
  Reader.readBool("silent", Next.Silent_);
  if (const Json *Cut = Reader.find("cut"); Cut && Cut->is_boolean())
    Next.CutResponses_ = Cut->get<bool>() ? UINT64_MAX : 0;
  else
    Reader.readUnsigned("cut", Next.CutResponses_, 0, UINT64_MAX);
  Reader.reportUnknownFields();
  if (auto Failure = problemsToError(ErrorKind::InvalidArgument, "faults",
                                     Problems, "correct the fields"))
    return Failure;
  Faults_ = std::move(Next);
  return std::nullopt;
}

void StandinTarget::handleFaults(const HttpExchangePointer &Exchange) {
  auto Document = parseJson(Exchange->request().Body_, "faults");
  auto Failure = Document ? setFaults(*Document) : Document.error();
  Json Out = Json::object();
  if (Failure)
    Out["error"] = describe(*Failure);
  Exchange->reply(Failure ? 400 : 200, JsonHeaders, Out.dump());
}

void StandinTarget::answerHealth(const HttpExchangePointer &Exchange) const {
  std::string_view Status = "ok";
  if (draining())
    Status = "draining";
  else if (monotonicNow() < ColdStartEnd_)
    Status = "starting";
  Exchange->reply(Status == "ok" ? 200 : 503, JsonHeaders,
                  Json{{"status", Status}}.dump());
}

void StandinTarget::recordLoad() {
  LoadHistory_.emplace_back(monotonicNow(), Jobs_.size());
  if (LoadHistory_.size() > MaxLoadHistory)
    LoadHistory_.pop_front();
}

void StandinTarget::answerLoad(const HttpExchangePointer &Exchange) const {
  TimePoint ReportTime = monotonicNow() - milliseconds(Faults_.LoadLagMs_);
  std::size_t Running = 0;
  for (const auto &[When, Count] : LoadHistory_)
    if (When <= ReportTime)
      Running = Count;
  if (Faults_.LyingLoad_)
    Running = 0;
  Json Out{{"running", Running},
           {"slots", Config_.Slots_},
           {"load", static_cast<double>(Running) /
                        static_cast<double>(Config_.Slots_)}};
  Exchange->reply(200, JsonHeaders, Out.dump());
}

void StandinTarget::announce() {
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = "/announce";
  Request.Headers_ = JsonHeaders;
  Request.Body_ = Json{
      {"name", Config_.Name_},
      {"service", Config_.Service_},
      {"slots", Config_.Slots_},
      {"address",
       Address_}}.dump();
  Request.Deadline_ = AnnounceDeadline;
  Client_->send(Config_.Announce_, std::move(Request),
                [](const HttpResponse &) {});
}

void StandinTarget::sendDeregistration() {
  HttpClientRequest Request;
  Request.Method_ = "DELETE";
  Request.Path_ = "/announce/" + Config_.Name_;
  Request.Deadline_ = AnnounceDeadline;
  Client_->send(
      Config_.Announce_, std::move(Request),
      [this](const HttpResponse &) { DeregistrationAnswered_ = true; });
}

void StandinTarget::drain(std::function<void()> Finished) {
  if (DrainRequested_)
    return;
  DrainRequested_ = true;
  DrainStartedAt_ = monotonicNow();
  OnDrained_ = std::move(Finished);
  event_del(AnnounceTimer_);
  if (Config_.Announce_.empty())
    DeregistrationAnswered_ = true;
  else
    sendDeregistration();
  event_add(DrainTimer_, &DrainInterval);
}

void StandinTarget::checkDrained() {
  Duration Elapsed = monotonicNow() - DrainStartedAt_;
  bool DeregistrationDone =
      (DeregistrationAnswered_ && Elapsed >= DeregistrationGrace) ||
      Elapsed >= MaxDeregistrationTime;
  if (!DeregistrationDone || !Jobs_.empty())
    return;
  Server_->stopAccepting();
  Server_->closeIdle();
  if (Server_->openExchanges() > SilentExchanges_.size())
    return;
  event_del(DrainTimer_);
  OnDrained_();
}

void StandinTarget::onAnnounceTimer(int /*Socket*/, short /*Events*/,
                                    void *Self) {
  static_cast<StandinTarget *>(Self)->announce();
}

void StandinTarget::onDrainTimer(int /*Socket*/, short /*Events*/, void *Self) {
  static_cast<StandinTarget *>(Self)->checkDrained();
}

} // namespace sycamore::standin
