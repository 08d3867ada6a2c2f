// Commands that query a daemon's admin interface.
#include "CliOutput.h"

#include <algorithm>
#include <map>
#include <ostream>

namespace sycamore {
namespace {

struct FleetRow {
  std::string Server_;
  std::string DataCentre_;
  std::string State_;
  bool HasReport_ = false; ///< False if the queried daemon has no report of it.
  std::uint64_t Ticket_ = 0;
  std::uint64_t Rejected_ = 0;
  std::uint64_t AgeMs_ = 0;
};

/// Reads the array under Field of a daemon's response.
Result<std::vector<Json>> arrayOf(const Json &Document, const char *Field) {
  if (!Document.is_object() || !Document.contains(Field) ||
      !Document[Field].is_array())
    return fail(ErrorKind::InvalidData,
                std::string("the daemon's response has no array ") + Field,
                "use sycamorectl and sycamored of the same version");
  return Document[Field].get<std::vector<Json>>();
}

FleetRow readFleetRow(const Json &Value, std::vector<std::string> &Problems) {
  FleetRow Out;
  ObjectReader Reader(Value, "servers[]", Problems);
  Reader.readString("server", Out.Server_);
  Reader.readString("data_centre", Out.DataCentre_);
  Reader.readString("state", Out.State_);
  Out.HasReport_ = Reader.find("ticket") && Reader.find("age_ms");
  Reader.readUnsigned("ticket", Out.Ticket_, 0, INT64_MAX);
  if (const Json *Rejected = Reader.find("rejected_ticket");
      Rejected && !Rejected->is_null())
    Reader.readUnsigned("rejected_ticket", Out.Rejected_, 0, INT64_MAX);
  Reader.readUnsigned("age_ms", Out.AgeMs_, 0, INT64_MAX);
  return Out;
}

std::uint64_t headNumberOf(const Json &Document) {
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  std::uint64_t Number = 0;
  Reader.readUnsigned("head_number", Number, 0, INT64_MAX);
  return Number;
}

void printFleet(const CliRun &Run, const Json &Document,
                std::vector<FleetRow> Fleet) {
  std::sort(Fleet.begin(), Fleet.end(),
            [](const auto &Left, const auto &Right) {
              return std::tie(Left.DataCentre_, Left.Server_) <
                     std::tie(Right.DataCentre_, Right.Server_);
            });
  std::vector<std::vector<std::string>> Rows = {
      {"SERVER", "DATA CENTRE", "STATE", "TICKET", "REJECTED", "AGE"}};
  std::map<std::uint64_t, std::size_t> ServersByTicket;
  std::size_t UnknownServers = 0;
  for (const FleetRow &Row : Fleet) {
    if (Row.HasReport_)
      ++ServersByTicket[Row.Ticket_];
    else
      ++UnknownServers;
    Rows.push_back({toPrintable(Row.Server_), toPrintable(Row.DataCentre_),
                    toPrintable(Row.State_),
                    Row.HasReport_ ? std::to_string(Row.Ticket_) : "unknown",
                    Row.Rejected_ ? std::to_string(Row.Rejected_) : "-",
                    Row.HasReport_ ? formatAge(Row.AgeMs_) : "unknown"});
  }
  std::ostream &Out = Run.Environment_.Out_;
  Out << formatTable(Rows) << '\n'
      << Fleet.size() << " servers; head: ticket " << headNumberOf(Document)
      << "; answered by ";
  const Json &AnsweredBy = Document.value("answered_by", Json());
  Out << (AnsweredBy.is_string() ? toPrintable(AnsweredBy.get<std::string>())
                                 : "?")
      << '\n';
  for (const auto &[Ticket, Count] : ServersByTicket)
    Out << "ticket " << Ticket << ": " << Count << " servers\n";
  if (UnknownServers > 0)
    Out << "unknown ticket: " << UnknownServers << " servers\n";
}

struct QuarantineRow {
  std::string Fingerprint_;
  std::uint64_t Losses_ = 0;
  std::uint64_t ExpiresUnixMs_ = 0;
  std::string Sample_;
};

QuarantineRow readQuarantineRow(const Json &Value,
                                std::vector<std::string> &Problems) {
  QuarantineRow Out;
  ObjectReader Reader(Value, "entries[]", Problems);
  Reader.readString("fingerprint", Out.Fingerprint_);
  Reader.readUnsigned("losses", Out.Losses_, 0, INT64_MAX);
  Reader.readUnsigned("expires_unix_ms", Out.ExpiresUnixMs_, 0,
                      INT64_MAX / 1000);
  Reader.readString("sample", Out.Sample_);
  return Out;
}

std::optional<Error> responseError(const std::vector<std::string> &Problems) {
  return problemsToError(ErrorKind::InvalidData, "the daemon's response",
                         Problems,
                         "use sycamorectl and sycamored of the same version");
}

bool isFingerprint(const std::string &Text) {
  constexpr std::size_t MaxDigits = 64;
  return !Text.empty() && Text.size() <= MaxDigits &&
         Text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

/// Sends a GET of Path and reads the array under Field of the response, one Row
/// for each item.
template <typename Row>
Result<std::pair<Json, std::vector<Row>>>
fetchRows(const CliRun &Run, const std::string &Path, const char *Field,
          Row (*Read)(const Json &, std::vector<std::string> &)) {
  auto Settings = loadCommandSettings(Run);
  if (!Settings)
    return tl::unexpected<Error>(Settings.error());
  auto Document = getFromDaemon(Run, *Settings, Path);
  if (!Document)
    return tl::unexpected<Error>(Document.error());
  auto Items = arrayOf(*Document, Field);
  if (!Items)
    return tl::unexpected<Error>(Items.error());
  std::vector<std::string> Problems;
  std::vector<Row> Rows;
  for (const Json &Item : *Items)
    Rows.push_back(Read(Item, Problems));
  if (auto Failure = responseError(Problems))
    return tl::unexpected<Error>(*Failure);
  return std::pair(std::move(*Document), std::move(Rows));
}

} // namespace

ExitCode runFleetStatus(const CliRun &Run) {
  auto Fleet = fetchRows<FleetRow>(Run, "/fleet", "servers", readFleetRow);
  if (!Fleet)
    return reportError(Run, Fleet.error());
  if (Run.Options_.Json_)
    printJson(Run, Fleet->first);
  else
    printFleet(Run, Fleet->first, std::move(Fleet->second));
  return ExitCode::Success;
}

ExitCode runQuarantineList(const CliRun &Run) {
  auto Entries = fetchRows<QuarantineRow>(Run, "/quarantine", "entries",
                                          readQuarantineRow);
  if (!Entries)
    return reportError(Run, Entries.error());
  if (Run.Options_.Json_) {
    printJson(Run, Entries->first);
    return ExitCode::Success;
  }
  std::vector<std::vector<std::string>> Rows = {
      {"FINGERPRINT", "LOSSES", "EXPIRES", "SAMPLE"}};
  for (const QuarantineRow &Row : Entries->second)
    Rows.push_back(
        {toPrintable(Row.Fingerprint_), std::to_string(Row.Losses_),
         formatTime(static_cast<std::int64_t>(Row.ExpiresUnixMs_ * 1000)),
         toPrintable(Row.Sample_)});
  Run.Environment_.Out_ << formatTable(Rows);
  return ExitCode::Success;
}

ExitCode runQuarantineClear(const CliRun &Run) {
  const std::string &Fingerprint = Run.Operands_[0];
  if (!isFingerprint(Fingerprint))
    return reportError(
        Run, {ErrorKind::InvalidArgument,
              "\"" + Fingerprint + "\" is not a fingerprint",
              "give the hex digits that `sycamorectl quarantine list` prints"});
  auto Settings = loadCommandSettings(Run);
  if (!Settings)
    return reportError(Run, Settings.error());
  auto Response = Run.Environment_.CallDaemon_(
      *Settings, "DELETE", "/quarantine/" + Fingerprint, Run.Options_.Timeout_);
  if (!Response && Response.error().Kind_ == ErrorKind::OutcomeUnknown)
    return reportError(
        Run, {ErrorKind::OutcomeUnknown,
              Response.error().Message_ + "; the entry may have been cleared",
              "run `sycamorectl quarantine list`"});
  if (!Response)
    return reportError(Run, Response.error());
  if (Response->Status_ < 200 || Response->Status_ > 299)
    return reportError(Run, daemonError(*Response));
  if (Run.Options_.Json_)
    printJson(Run, {{"outcome", "done"}, {"fingerprint", Fingerprint}});
  else
    Run.Environment_.Out_ << Fingerprint << " cleared\n";
  return ExitCode::Success;
}

} // namespace sycamore
