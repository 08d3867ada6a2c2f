// Ed25519 signatures with libsodium.
#include "sycamore/Signing.h"

#include <array>
#include <sodium.h>
#include <span>
#include <vector>

namespace sycamore {
namespace {

using Bytes = std::vector<unsigned char>;

std::string toHex(std::span<const unsigned char> Value) {
  std::string Out(Value.size() * 2 + 1, '\0');
  sodium_bin2hex(Out.data(), Out.size(), Value.data(), Value.size());
  Out.pop_back();
  return Out;
}

/// Decodes hex; empty unless Text encodes exactly Size bytes.
Bytes fromHex(std::string_view Text, std::size_t Size) {
  Bytes Out(Size);
  std::size_t Length = 0;
  const char *End = nullptr;
  bool Valid = Text.size() == Size * 2 &&
               sodium_hex2bin(Out.data(), Size, Text.data(), Text.size(),
                              nullptr, &Length, &End) == 0 &&
               Length == Size;
  return Valid ? Out : Bytes{};
}

const unsigned char *bytesOf(std::string_view Text) {
  return reinterpret_cast<const unsigned char *>(Text.data());
}

} // namespace

SigningKeyPair generateSigningKeyPair() {
  Bytes Public(crypto_sign_PUBLICKEYBYTES);
  Bytes Secret(crypto_sign_SECRETKEYBYTES);
  crypto_sign_keypair(Public.data(), Secret.data());
  return {toHex(Public), toHex(Secret)};
}

Result<std::string> signHex(std::string_view SecretKey,
                            std::string_view Message) {
  Bytes Secret = fromHex(SecretKey, crypto_sign_SECRETKEYBYTES);
  if (Secret.empty())
    return fail(ErrorKind::InvalidArgument,
                "the signing key is not 128 hex digits",
                "make one with `sycamorectl key make`");
  Bytes Signature(crypto_sign_BYTES);
  crypto_sign_detached(Signature.data(), nullptr, bytesOf(Message),
                       Message.size(), Secret.data());
  return toHex(Signature);
}

bool verifyHex(std::string_view PublicKey, std::string_view Message,
               std::string_view Signature) {
  Bytes Public = fromHex(PublicKey, crypto_sign_PUBLICKEYBYTES);
  Bytes Value = fromHex(Signature, crypto_sign_BYTES);
  return !Public.empty() && !Value.empty() &&
         crypto_sign_verify_detached(Value.data(), bytesOf(Message),
                                     Message.size(), Public.data()) == 0;
}

std::string randomId() {
  std::array<unsigned char, 16> Value{};
  randombytes_buf(Value.data(), Value.size());
  return toHex(Value);
}

} // namespace sycamore
