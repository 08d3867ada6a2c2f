// Names of headers.
#include "sycamore/HttpMessage.h"

#include <algorithm>
#include <array>
#include <event2/util.h>

namespace sycamore {

bool equalHeaderNames(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         evutil_ascii_strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name) {
  // An empty name is one that the settings leave out.
  if (Name.empty())
    return nullptr;
  for (const HttpMessageHeader &Header : Headers)
    if (equalHeaderNames(Header.Name_, Name))
      return &Header.Value_;
  return nullptr;
}

bool hasInvalidName(const HttpHeaders &Headers) {
  auto IsInvalid = [](char Character) {
    return static_cast<unsigned char>(Character) <= ' ' || Character == '\x7f';
  };
  return std::any_of(Headers.begin(), Headers.end(), [&](const auto &Header) {
    return Header.Name_.empty() ||
           std::any_of(Header.Name_.begin(), Header.Name_.end(), IsInvalid);
  });
}

bool isHopByHopHeader(std::string_view Name) {
  static constexpr std::array<std::string_view, 9> Names = {
      "connection",          "keep-alive", "proxy-connection",
      "proxy-authenticate",  "te",         "trailer",
      "proxy-authorization", "upgrade",    "transfer-encoding"};
  return std::any_of(
      Names.begin(), Names.end(),
      [Name](std::string_view Known) { return equalHeaderNames(Known, Name); });
}

} // namespace sycamore
