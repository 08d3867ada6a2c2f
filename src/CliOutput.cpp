// Output of the command line, and conversion of errors to exit codes.
#include "CliOutput.h"

#include "TicketMutations.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <ctime>
#include <ostream>

namespace sycamore {
namespace {

/// Number of characters of a valid UTF-8 text; each is taken as one column.
std::size_t columnsOf(std::string_view Text) {
  return static_cast<std::size_t>(
      std::count_if(Text.begin(), Text.end(), [](char Character) {
        return (static_cast<unsigned char>(Character) & 0xC0U) != 0x80U;
      }));
}

} // namespace

std::string toPrintable(std::string_view Text, bool KeepLineFeeds) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    auto Byte = static_cast<unsigned char>(Text[I]);
    // UTF-8 encodes the control characters U+0080 to U+009F as C2 80 to C2 9F.
    bool IsC1Control = Byte == 0xC2U && I + 1 < Text.size() &&
                       static_cast<unsigned char>(Text[I + 1]) < 0xA0U;
    if (IsC1Control)
      ++I;
    bool IsControl = Byte < ' ' || Byte == 0x7F || IsC1Control;
    if (IsControl && !(KeepLineFeeds && Byte == '\n') &&
        !mutationEnabled("cli-raw-text"))
      Out += '?';
    else
      Out += static_cast<char>(Byte);
  }
  return Out;
}

std::string formatTable(const std::vector<std::vector<std::string>> &Rows) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : Rows) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], columnsOf(Row[I]));
  }
  std::string Out;
  for (const auto &Row : Rows) {
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Out += Row[I];
      if (I + 1 < Row.size())
        Out += std::string(Widths[I] - columnsOf(Row[I]) + 2, ' ');
    }
    Out += '\n';
  }
  return Out;
}

std::string formatTime(std::int64_t UnixUs) {
  if (UnixUs <= 0)
    return "-";
  auto Seconds = static_cast<std::time_t>(UnixUs / 1'000'000);
  std::tm Parts{};
  if (!gmtime_r(&Seconds, &Parts))
    return std::to_string(UnixUs);
  std::array<char, 40> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%SZ", &Parts);
  return Text.data();
}

std::string formatAge(std::uint64_t Milliseconds) {
  constexpr std::uint64_t Second = 1000;
  constexpr std::uint64_t Minute = 60 * Second;
  constexpr std::uint64_t Hour = 60 * Minute;
  if (Milliseconds < Second)
    return std::to_string(Milliseconds) + "ms";
  if (Milliseconds < 2 * Minute)
    return std::to_string(Milliseconds / Second) + "s";
  if (Milliseconds < 2 * Hour)
    return std::to_string(Milliseconds / Minute) + "min";
  return std::to_string(Milliseconds / Hour) + "h";
}

void printJson(const CliRun &Run, const Json &Document) {
  Run.Environment_.Out_ << Document.dump(2, ' ', false,
                                         Json::error_handler_t::replace)
                        << '\n';
}

Json errorToJson(const Error &Value) {
  return {{"kind", errorKindName(Value.Kind_)},
          {"message", Value.Message_},
          {"remedy", Value.Remedy_}};
}

ExitCode reportError(const CliRun &Run, const Error &Value, ExitCode Code) {
  if (Run.Options_.Json_)
    printJson(Run, {{"outcome", "error"}, {"error", errorToJson(Value)}});
  else
    Run.Environment_.Err_ << "sycamorectl: "
                          << toPrintable(describe(Value), true) << '\n';
  return Code;
}

ExitCode exitCodeOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::InvalidArgument:
  case ErrorKind::InvalidSettings:
  case ErrorKind::InvalidTicket:
  case ErrorKind::TooLarge:
    return ExitCode::BadInput;
  case ErrorKind::Conflict:
  case ErrorKind::NotFound:
  case ErrorKind::PermissionDenied:
    return ExitCode::NotAccepted;
  case ErrorKind::Unavailable:
  case ErrorKind::DeadlineExceeded:
    return ExitCode::Unavailable;
  case ErrorKind::OutcomeUnknown:
    return ExitCode::Unknown;
  case ErrorKind::InvalidData:
  case ErrorKind::Internal:
    break;
  }
  return ExitCode::InternalError;
}

Result<OperatorSettings> loadCommandSettings(const CliRun &Run) {
  std::string Path = Run.Options_.Settings_;
  const char *Variable = std::getenv("SYCAMORECTL_SETTINGS");
  if (Path.empty() && Variable)
    Path = Variable;
  if (Path.empty())
    return fail(ErrorKind::InvalidSettings, "no settings file is given",
                "use --settings FILE or set SYCAMORECTL_SETTINGS");
  auto Loaded = loadOperatorSettings(Path);
  if (Loaded)
    return Loaded;
  // A missing file, or one with unsafe permissions, is bad input and not a
  // refusal.
  Error Cause = Loaded.error();
  return fail(ErrorKind::InvalidSettings, Cause.Message_, Cause.Remedy_);
}

Result<std::uint64_t> parseTicketNumber(const std::string &Text) {
  std::uint64_t Number = 0;
  auto [End, Code] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  constexpr std::uint64_t MaxNumber = 999'999'999'999;
  if (Code != std::errc{} || End != Text.data() + Text.size() || Number == 0 ||
      Number > MaxNumber)
    return fail(ErrorKind::InvalidArgument,
                "\"" + Text + "\" is not a ticket number",
                "give a whole number from 1 to 999999999999");
  return Number;
}

Error daemonError(const AdminResponse &Response) {
  std::string Message =
      "the daemon answered with status " + std::to_string(Response.Status_);
  std::string Remedy = "see the daemon's log";
  auto Document = parseJson(Response.Body_, "answer");
  if (Document && Document->is_object() && Document->contains("error")) {
    std::vector<std::string> Problems;
    ObjectReader Reader((*Document)["error"], "error", Problems);
    std::string Detail = "no message";
    Reader.readString("message", Detail);
    Reader.readString("remedy", Remedy);
    Message += ": " + Detail;
  }
  if (Response.Status_ == 401 || Response.Status_ == 403)
    return {ErrorKind::PermissionDenied, Message,
            "set admin_token_file to the token of an operator that the daemon "
            "knows"};
  if (Response.Status_ == 404)
    return {ErrorKind::NotFound, Message, Remedy};
  if (Response.Status_ == 503)
    return {ErrorKind::Unavailable, Message, Remedy};
  return {ErrorKind::Internal, Message, Remedy};
}

Result<Json> getFromDaemon(const CliRun &Run, const OperatorSettings &Settings,
                           const std::string &Path) {
  auto Response = Run.Environment_.CallDaemon_(Settings, "GET", Path,
                                               Run.Options_.Timeout_);
  if (!Response && Response.error().Kind_ == ErrorKind::OutcomeUnknown)
    return fail(ErrorKind::Unavailable, Response.error().Message_,
                Response.error().Remedy_);
  if (!Response)
    return tl::unexpected<Error>(Response.error());
  if (Response->Status_ != 200)
    return tl::unexpected<Error>(daemonError(*Response));
  JsonLimits Limits;
  Limits.MaxBytes_ = 16U << 20U;
  return parseJson(Response->Body_, "response of the daemon", Limits);
}

} // namespace sycamore
