// Parts of HTTP messages that the server and the client share.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace sycamore {

struct HttpMessageHeader {
  std::string Name_;
  std::string Value_;

  bool operator==(const HttpMessageHeader &) const = default;
};

using HttpHeaders = std::vector<HttpMessageHeader>;

/// The value of the first header with this name (ignoring case), or null; null
/// also for an empty name.
const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name);

/// Whether a header applies to a single connection (RFC 9110, 7.6.1), so that a
/// proxy must not forward it. Ignores case. Headers that a `Connection` header
/// names have to be removed by the caller.
bool isHopByHopHeader(std::string_view Name);

/// Whether a header has no name, or one with a space or a control character,
/// which other servers may read differently (RFC 9112, 5.1).
bool hasInvalidName(const HttpHeaders &Headers);

/// Compares header names, ignoring case.
bool equalHeaderNames(std::string_view Left, std::string_view Right);

/// PEM files for one side of a TLS connection. An empty path omits that part.
struct TlsFiles {
  std::string Certificate_; ///< Own certificate chain.
  std::string Key_;         ///< Private key of Certificate_.
  std::string Ca_;          ///< Authorities trusted to sign the other side's.

  bool enabled() const { return !Certificate_.empty() || !Ca_.empty(); }
};

} // namespace sycamore
