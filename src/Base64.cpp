// Standard base64 with padding.
#include "Base64.h"

#include <openssl/evp.h>

namespace sycamore {

std::string encodeBase64(std::string_view Bytes) {
  std::string Out((Bytes.size() + 2) / 3 * 4 + 1, '\0');
  int Length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Bytes.data()),
                      static_cast<int>(Bytes.size()));
  Out.resize(static_cast<std::size_t>(Length));
  return Out;
}

std::optional<std::string> decodeBase64(std::string_view Text) {
  if (Text.size() % 4 != 0)
    return std::nullopt;
  std::string Out(Text.size() / 4 * 3, '\0');
  int Length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char *>(Out.data()),
                      reinterpret_cast<const unsigned char *>(Text.data()),
                      static_cast<int>(Text.size()));
  if (Length != static_cast<int>(Out.size()))
    return std::nullopt;
  // EVP_DecodeBlock() decodes padding as zero bytes.
  std::size_t Padding = 0;
  while (Padding < 2 && Padding < Text.size() &&
         Text[Text.size() - 1 - Padding] == '=')
    ++Padding;
  Out.resize(Out.size() - Padding);
  // EVP_DecodeBlock() also accepts white space and misplaced padding.
  if (encodeBase64(Out) != Text)
    return std::nullopt;
  return Out;
}

} // namespace sycamore
