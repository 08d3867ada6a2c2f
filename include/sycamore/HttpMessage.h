// Parts of HTTP messages that server and client share.
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

/// The first value with this name (case does not matter), or null.
const std::string *findHeader(const HttpHeaders &Headers,
                              std::string_view Name);

/// Whether a header is meant for one connection only (RFC 9110, 7.6.1), so that
/// a proxy must not pass it on. Case does not matter. Headers that a
/// `Connection` header names are the caller's to remove.
bool isHopByHopHeader(std::string_view Name);

/// Compares names of headers, without regard to case.
bool equalHeaderNames(std::string_view Left, std::string_view Right);

/// Files of one side of TLS, all in PEM. Empty paths leave a part out.
struct TlsFiles {
  std::string Certificate_; ///< Own certificate chain.
  std::string Key_;         ///< Private key of Certificate_.
  std::string Ca_;          ///< Certificates that sign the other side's.

  bool enabled() const { return !Certificate_.empty() || !Ca_.empty(); }
};

} // namespace sycamore
