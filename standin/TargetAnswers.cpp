// Responses of a stand-in target.
#include "TargetAnswers.h"

#include "TargetLedger.h"
#include "sycamore/Json.h"

#include <charconv>
#include <random>

namespace sycamore::standin {
namespace {

constexpr std::size_t MaxPatternBytes = 64U << 20U;
constexpr std::size_t ChunkBytes = 16384;

template <typename Number>
Number parseNumber(std::string_view Text, Number Default) {
  Number Out{};
  const char *End = Text.data() + Text.size();
  auto [Rest, Failure] = std::from_chars(Text.data(), End, Out);
  return Failure == std::errc() && Rest == End ? Out : Default;
}

/// N when the path ends in "/bytes/N".
std::optional<std::size_t> requestedBytes(std::string_view Path) {
  constexpr std::string_view Marker = "/bytes/";
  std::size_t Found = Path.rfind(Marker);
  if (Found == std::string_view::npos)
    return std::nullopt;
  std::size_t Count =
      parseNumber(Path.substr(Found + Marker.size()), MaxPatternBytes + 1);
  return Count <= MaxPatternBytes ? std::optional(Count) : std::nullopt;
}

std::string describeRequest(const HttpRequest &Request,
                            const std::string &Target) {
  Json Headers = Json::object();
  for (const auto &[Name, Value] : Request.Headers_)
    Headers[Name] = Value;
  Json Out{{"target", Target},      {"method", Request.Method_},
           {"path", Request.Path_}, {"headers", std::move(Headers)},
           {"body", Request.Body_}, {"body_hash", bodyHash(Request.Body_)}};
  return Out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace

std::string patternBytes(std::size_t Count) {
  std::mt19937_64 Rng(Count);
  std::string Out;
  Out.reserve(Count + sizeof(std::uint64_t));
  while (Out.size() < Count) {
    std::uint64_t Word = Rng();
    Out.append(reinterpret_cast<const char *>(&Word), sizeof(Word));
  }
  Out.resize(Count);
  return Out;
}

TargetResponse responseTo(const HttpRequest &Request,
                          const std::string &Target) {
  TargetResponse Out;
  std::string_view Path = pathOnly(Request.Path_);
  Out.Chunked_ = queryValue(Request.Path_, "chunked").has_value();
  if (auto Status = queryValue(Request.Path_, "status"))
    Out.Status_ = parseNumber(*Status, Out.Status_);
  Out.Headers_ = {{"x-target", Target},
                  {"Content-Type", "application/octet-stream"}};
  if (Path.ends_with("/echo")) {
    Out.Body_ = Request.Body_;
  } else if (auto Count = requestedBytes(Path)) {
    Out.Body_ = patternBytes(*Count);
  } else {
    Out.Body_ = describeRequest(Request, Target);
    Out.Headers_.back().Value_ = "application/json";
  }
  return Out;
}

void sendResponse(const HttpExchangePointer &Exchange,
                  const TargetResponse &Response) {
  if (!Response.Chunked_) {
    Exchange->reply(Response.Status_, Response.Headers_, Response.Body_);
    return;
  }
  Exchange->startReply(Response.Status_, Response.Headers_);
  std::string_view Rest = Response.Body_;
  while (!Rest.empty()) {
    Exchange->sendPart(Rest.substr(0, ChunkBytes));
    Rest.remove_prefix(std::min(ChunkBytes, Rest.size()));
  }
  Exchange->endReply();
}

void sendFirstHalf(const HttpExchangePointer &Exchange,
                   const TargetResponse &Response) {
  HttpHeaders Headers = Response.Headers_;
  if (!Response.Chunked_)
    Headers.push_back(
        {"Content-Length", std::to_string(Response.Body_.size())});
  Exchange->startReply(Response.Status_, Headers);
  Exchange->sendPart(
      std::string_view(Response.Body_).substr(0, Response.Body_.size() / 2));
}

void refuse(const HttpExchangePointer &Exchange, const std::string &Target,
            std::string_view Reason) {
  Exchange->reply(503,
                  {{"x-target", Target},
                   {"sycamore-run", "not-run"},
                   {"Retry-After", "1"},
                   {"Content-Type", "application/json"}},
                  Json{{"error", Reason}}.dump());
}

} // namespace sycamore::standin
