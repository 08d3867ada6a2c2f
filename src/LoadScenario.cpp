// Parsing and validation of load scenarios.
#include "LoadScenario.h"

#include "HttpSupport.h"

namespace sycamore {
namespace {

constexpr double MaxRate = 100000;
constexpr std::uint64_t MaxPhaseSeconds = 3600;
constexpr std::uint64_t MaxTotalSeconds = 3600;
constexpr std::uint64_t MaxRequests = 10'000'000;
constexpr std::uint64_t MaxBodyBytes = 8U << 20U;
constexpr std::uint64_t MaxResends = 20;

using ProblemList = std::vector<std::string>;

void readMilliseconds(ObjectReader &Reader, std::string_view Field,
                      Duration &Out, std::uint64_t Min) {
  auto Value = static_cast<std::uint64_t>(toMilliseconds(Out));
  Reader.readUnsigned(Field, Value, Min, MaxPhaseSeconds * 1000);
  Out = milliseconds(Value);
}

LoadPhase readPhase(const Json &Value, const std::string &Path,
                    ProblemList &Problems) {
  ObjectReader Reader(Value, Path, Problems);
  LoadPhase Out;
  double Length = 0;
  Reader.require("rate");
  Reader.require("seconds");
  Reader.readString("name", Out.Name_);
  Reader.readNumber("rate", Out.Rate_, 0, MaxRate);
  Out.EndRate_ = Out.Rate_;
  Reader.readNumber("end_rate", Out.EndRate_, 0, MaxRate);
  Reader.readNumber("seconds", Length, 0.01, MaxPhaseSeconds);
  Reader.readBool("warmup", Out.Warmup_);
  Reader.reportUnknownFields();
  Out.Length_ = Duration(static_cast<std::int64_t>(Length * 1e6));
  return Out;
}

void readHeaders(ObjectReader &Reader, HttpHeaders &Out) {
  const Json *Value = Reader.find("headers");
  if (!Value)
    return;
  if (!Value->is_object()) {
    Reader.reportProblem("headers", "is not an object");
    return;
  }
  for (const auto &[Name, Text] : Value->items()) {
    if (Text.is_string())
      Out.push_back({Name, Text.get<std::string>()});
    else
      Reader.reportProblem("headers", "holds a value that is not a string");
  }
}

LoadRequest readLoadRequest(const Json &Value, const std::string &Path,
                            ProblemList &Problems) {
  ObjectReader Reader(Value, Path, Problems);
  LoadRequest Out;
  std::uint64_t BodyBytes = 0;
  Reader.require("name");
  Reader.readString("name", Out.Name_);
  Reader.readNumber("weight", Out.Weight_, 0, 1e9);
  Reader.readString("method", Out.Method_);
  Reader.readString("path", Out.Path_);
  readHeaders(Reader, Out.Headers_);
  Reader.readUnsigned("body_bytes", BodyBytes, 0, MaxBodyBytes);
  Reader.readBool("idempotency_key", Out.AddIdempotencyKey_);
  Reader.readUnsigned("resends", Out.MaxResends_, 0, MaxResends);
  readMilliseconds(Reader, "resend_delay_ms", Out.ResendDelay_, 0);
  Reader.readBool("check_echo", Out.CheckEcho_);
  Reader.reportUnknownFields();
  Out.BodyBytes_ = BodyBytes;
  return Out;
}

template <typename T, typename Read>
void readList(ObjectReader &Reader, const char *Field, std::vector<T> &Out,
              ProblemList &Problems, Read ReadItem) {
  const Json *Value = Reader.find(Field);
  if (!Value || !Value->is_array() || Value->empty()) {
    Reader.reportProblem(Field, "is not a list with at least one item");
    return;
  }
  for (std::size_t I = 0; I < Value->size(); ++I)
    Out.push_back(ReadItem((*Value)[I],
                           Reader.pathOf(Field) + "[" + std::to_string(I) + "]",
                           Problems));
}

void validateScenario(const LoadScenario &Scenario, ProblemList &Problems) {
  double Expected = 0;
  for (const LoadPhase &Phase : Scenario.Phases_)
    Expected += Phase.expectedRequests();
  if (Expected > static_cast<double>(Scenario.MaxRequests_))
    Problems.push_back("phases: " + Json(Expected).dump() +
                       " requests, more than max_requests " +
                       std::to_string(Scenario.MaxRequests_));
  if (Scenario.length() > seconds(MaxTotalSeconds))
    Problems.push_back("phases: longer than " +
                       std::to_string(MaxTotalSeconds) + " seconds in total");
  double Weight = 0;
  for (const LoadRequest &Request : Scenario.Requests_)
    Weight += Request.Weight_;
  if (!Scenario.Requests_.empty() && Weight <= 0)
    Problems.push_back("requests: every weight is 0");
  for (const std::string &Address : Scenario.Addresses_)
    if (auto Problem = loadAddressProblem(Address))
      Problems.push_back("addresses: " + *Problem);
}

} // namespace

double LoadPhase::expectedRequests() const {
  std::chrono::duration<double> Span = Length_;
  return (Rate_ + EndRate_) / 2 * Span.count();
}

Duration LoadScenario::length() const {
  Duration Out{0};
  for (const LoadPhase &Phase : Phases_)
    Out += Phase.Length_;
  return Out;
}

std::optional<std::string> loadAddressProblem(const std::string &Address) {
  auto Parsed = parseSocketAddress(Address);
  if (!Parsed)
    return Parsed.error().Message_;
  if (Parsed->Ip_.rfind("127.", 0) != 0 && Parsed->Ip_ != "::1")
    return "\"" + Address + "\" is not a loopback address";
  return std::nullopt;
}

Result<LoadScenario> parseLoadScenario(const Json &Document,
                                       std::string_view Source) {
  ProblemList Problems;
  LoadScenario Out;
  ObjectReader Reader(Document, "", Problems);
  std::string Arrivals = "random";
  std::uint64_t Connections = Out.ConnectionsPerAddress_;
  Reader.require("name");
  Reader.readString("name", Out.Name_);
  Reader.readStrings("addresses", Out.Addresses_);
  Reader.readUnsigned("connections_per_address", Connections, 1, 20000);
  readMilliseconds(Reader, "timeout_ms", Out.Timeout_, 1);
  Reader.readUnsigned("seed", Out.Seed_, 0, UINT64_MAX);
  Reader.readString("arrivals", Arrivals);
  if (Arrivals != "random" && Arrivals != "even")
    Reader.reportProblem("arrivals", "is neither \"random\" nor \"even\"");
  Reader.readUnsigned("max_requests", Out.MaxRequests_, 1, MaxRequests);
  readList(Reader, "phases", Out.Phases_, Problems, readPhase);
  readList(Reader, "requests", Out.Requests_, Problems, readLoadRequest);
  Reader.reportUnknownFields();
  Out.ConnectionsPerAddress_ = Connections;
  Out.EvenlySpaced_ = Arrivals == "even";
  validateScenario(Out, Problems);
  if (auto Failure =
          problemsToError(ErrorKind::InvalidArgument, Source, Problems,
                          "correct the scenario; see docs/tutorial/load.md"))
    return tl::unexpected(std::move(*Failure));
  return Out;
}

} // namespace sycamore
