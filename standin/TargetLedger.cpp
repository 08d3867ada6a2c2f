// Ledger of the requests that a stand-in target received.
#include "TargetLedger.h"

#include "sycamore/Clock.h"

#include <array>
#include <xxhash.h>

namespace sycamore::standin {
namespace {

bool isIdHeader(std::string_view Name) {
  constexpr std::string_view Prefix = "sycamore-";
  return equalHeaderNames(Name.substr(0, Prefix.size()), Prefix) ||
         equalHeaderNames(Name, "traceparent") ||
         equalHeaderNames(Name, "x-request-id");
}

} // namespace

std::string bodyHash(std::string_view Body) {
  std::array<char, 17> Text{};
  std::snprintf(
      Text.data(), Text.size(), "%016llx",
      static_cast<unsigned long long>(XXH3_64bits(Body.data(), Body.size())));
  return Text.data();
}

std::string_view pathOnly(std::string_view Path) {
  return Path.substr(0, Path.find('?'));
}

std::optional<std::string> queryValue(std::string_view Path,
                                      std::string_view Name) {
  std::size_t Start = Path.find('?');
  while (Start != std::string_view::npos) {
    std::string_view Rest = Path.substr(Start + 1);
    std::string_view Item = Rest.substr(0, Rest.find('&'));
    std::size_t Equals = std::min(Item.find('='), Item.size());
    if (Item.substr(0, Equals) == Name)
      return std::string(Item.substr(std::min(Equals + 1, Item.size())));
    Start = Path.find('&', Start + 1);
  }
  return std::nullopt;
}

TargetLedger::TargetLedger(const std::string &Path, std::string Target)
    : File_(Path.empty() ? nullptr : std::fopen(Path.c_str(), "ae")),
      Target_(std::move(Target)) {}

TargetLedger::~TargetLedger() {
  if (File_)
    std::fclose(File_);
}

void TargetLedger::write(std::string_view Event, std::uint64_t Sequence,
                         const HttpRequest &Request) {
  if (!File_)
    return;
  Json Ids = Json::object();
  for (const auto &[Name, Value] : Request.Headers_)
    if (isIdHeader(Name))
      Ids[Name] = Value;
  const std::string *Key = findHeader(Request.Headers_, "idempotency-key");
  Json Line{{"time_us", wallNow().time_since_epoch().count()},
            {"target", Target_},
            {"event", Event},
            {"request", Sequence},
            {"method", Request.Method_},
            {"path", Request.Path_},
            {"key", Key ? Json(*Key) : Json()},
            {"body_hash", bodyHash(Request.Body_)},
            {"ids", std::move(Ids)}};
  std::string Text =
      Line.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n";
  // Flushed at once so that the line survives a crash of the target.
  std::fwrite(Text.data(), 1, Text.size(), File_);
  std::fflush(File_);
}

} // namespace sycamore::standin
