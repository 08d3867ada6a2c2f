// Compression of message bodies.
#pragma once

#include "sycamore/Error.h"

namespace sycamore {

/// Compresses Bytes in zlib format.
std::string compress(std::string_view Bytes);

/// Errors: InvalidData for bytes that are not an output of compress(), TooLarge
/// when the result would exceed MaxBytes.
Result<std::string> decompress(std::string_view Bytes, std::size_t MaxBytes);

} // namespace sycamore
