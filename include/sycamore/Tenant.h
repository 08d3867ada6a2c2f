// Tenants of the mesh: the clients that share one set of credentials, one
// priority and one quota.
#pragma once

#include "sycamore/Json.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore {

/// Largest quota, in requests per second and as a burst.
inline constexpr std::uint64_t MaxQuota = 1'000'000;

/// Digest of a credential: BLAKE2b-256 in lower-case hex. Daemons and tickets
/// hold digests only, so that no log, metric or dump can show a credential.
std::string credentialDigest(std::string_view Credential);

struct Tenant {
  /// See credentialDigest(). No request of a tenant without any is served.
  std::vector<std::string> KeyDigests_;
  /// Replaces the priority of the route; 0 is the most urgent.
  std::optional<std::uint32_t> Priority_;
  std::uint64_t RequestsPerSecond_ = 0; ///< Over all daemons; 0: no limit.
  std::uint64_t Burst_ = 0; ///< Requests beyond the rate at one time.

  bool operator==(const Tenant &) const = default;
};

Json toJson(const Tenant &Value);

/// Reader of tenants in tickets and stored snapshots. Problems are appended
/// with the path of the field.
Tenant readTenant(const Json &Value, const std::string &Path,
                  std::vector<std::string> &Problems);

} // namespace sycamore
