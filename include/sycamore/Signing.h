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

SigningKeyPair makeSigningKeyPair();

/// Signs Message; returns 128 hex digits. Errors: InvalidArgument for a key of
/// the wrong form.
Result<std::string> signHex(std::string_view SecretKey,
                            std::string_view Message);

/// False for a wrong signature and for a key or signature of the wrong form.
bool verifyHex(std::string_view PublicKey, std::string_view Message,
               std::string_view Signature);

/// Random identifier of 32 hex digits from the system's random source.
std::string randomId();

} // namespace sycamore
