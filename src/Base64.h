// Standard base64 with padding.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace sycamore {

std::string encodeBase64(std::string_view Bytes);

/// Returns nullopt for text that is not canonical base64 with padding.
std::optional<std::string> decodeBase64(std::string_view Text);

} // namespace sycamore
