// Hashes of bodies and requests, and the check that a body is complete.
#pragma once

#include "sycamore/Error.h"

#include <cstdint>
#include <string_view>

namespace sycamore {

/// xxh3 (64 bits) of a body, as in CallRequest.body_hash and
/// CallAnswer.body_hash.
std::uint64_t bodyHash(std::string_view Body);

/// Errors: InvalidData when the length (bytes) or the hash of Body differs from
/// Size or Hash.
Result<void> checkBody(std::string_view Body, std::uint64_t Size,
                       std::uint64_t Hash);

/// xxh3 (64 bits) over service, method, path and body. Shows whether two
/// requests with the same idempotency key are the same; also the fingerprint
/// used by the quarantine.
std::uint64_t requestHash(std::string_view Service, std::string_view Method,
                          std::string_view Path, std::string_view Body);

} // namespace sycamore
