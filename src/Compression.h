// Compression of message bodies.
#pragma once

#include "sycamore/Error.h"

namespace sycamore {

/// The zlib form of Bytes.
std::string compress(std::string_view Bytes);

/// Errors: InvalidData for bytes that compress() did not make, TooLarge when
/// the result would pass MaxBytes.
Result<std::string> decompress(std::string_view Bytes, std::size_t MaxBytes);

} // namespace sycamore
