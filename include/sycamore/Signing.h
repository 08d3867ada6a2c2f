// Ed25519 signatures of operators over the digests of acceptances.
#pragma once

#include "sycamore/Error.h"

#include <string>
#include <string_view>

namespace sycamore {

struct SigningKeyPair {
  std::string PublicKey_; ///< 64 hex digits.
  std::string SecretKey_; ///< 128 hex digits.
};

SigningKeyPair generateSigningKeyPair();

/// Signs Message with a secret key of 128 hex digits; returns 128 hex digits.
/// Errors: InvalidArgument for a malformed key.
Result<std::string> signHex(std::string_view SecretKey,
                            std::string_view Message);

/// False for a wrong signature and for a malformed key or signature.
bool verifyHex(std::string_view PublicKey, std::string_view Message,
               std::string_view Signature);

/// Random identifier of 32 hex digits from the random source of the system.
std::string randomId();

} // namespace sycamore
