// Checks that a body is whole, and hashes of requests.
#pragma once

#include "sycamore/Error.h"

#include <cstdint>
#include <string_view>

namespace sycamore {

/// xxh3 (64 bits) of a body, as in CallRequest.body_hash and
/// CallAnswer.body_hash.
std::uint64_t bodyHash(std::string_view Body);

/// Errors: InvalidData when length or hash differ from what was announced.
Result<void> checkBody(std::string_view Body, std::uint64_t Size,
                       std::uint64_t Hash);

/// xxh3 over service, method, path and body. Tells whether two requests with
/// the same idempotency key are the same, and is the quarantine's fingerprint.
std::uint64_t requestHash(std::string_view Service, std::string_view Method,
                          std::string_view Path, std::string_view Body);

} // namespace sycamore
