// Checks of a response's status line and framing that evhttp does not make.
#include "AnswerHead.h"

#include <algorithm>
#include <charconv>

namespace sycamore {
namespace {

constexpr int SwitchingProtocols = 101;
constexpr std::string_view VersionStart = "HTTP/1.";
constexpr std::size_t StatusAt = VersionStart.size() + 2;

bool isDigit(char Character) { return Character >= '0' && Character <= '9'; }

bool isNumber(std::string_view Text) {
  return !Text.empty() && std::all_of(Text.begin(), Text.end(), isDigit);
}

} // namespace

AnswerKind answerKind(int Status) {
  if (Status >= 200 && Status <= 599)
    return AnswerKind::Final;
  bool Interim = Status >= 100 && Status <= 199 && Status != SwitchingProtocols;
  return Interim ? AnswerKind::Interim : AnswerKind::Invalid;
}

std::optional<bool> statusLineIsValid(std::string_view Start) {
  std::size_t End = Start.find_first_of("\r\n");
  if (End == std::string_view::npos && Start.size() < StatusPrefixBytes)
    return std::nullopt;
  std::string_view Line = Start.substr(0, End);
  if (!Line.starts_with(VersionStart) || Line.size() < StatusAt)
    return true;
  std::string_view Status = Line.substr(StatusAt);
  Status = Status.substr(0, Status.find(' '));
  int Number = 0;
  std::from_chars(Status.data(), Status.data() + Status.size(), Number);
  return Status.size() == 3 && isNumber(Status) &&
         answerKind(Number) != AnswerKind::Invalid;
}

std::string_view invalidFraming(const HttpHeaders &Headers) {
  const std::string *Length = findHeader(Headers, "content-length");
  const std::string *Coding = findHeader(Headers, "transfer-encoding");
  if (hasInvalidName(Headers))
    return "the answer has a header without a valid name";
  if (Length && !isNumber(*Length))
    return "the answer's Content-Length is invalid";
  for (const auto &[Name, Value] : Headers) {
    if (Length && equalHeaderNames(Name, "content-length") && Value != *Length)
      return "the answer has two different lengths";
    if (Coding && equalHeaderNames(Name, "transfer-encoding") &&
        !equalHeaderNames(Value, "chunked"))
      return "the answer has a transfer coding that is not supported";
  }
  return {};
}

} // namespace sycamore
