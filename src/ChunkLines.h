// Length of the size lines in a chunked body, whose end evhttp searches for
// from their first byte each time that data arrive.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamore {

/// Follows the framing of a chunked body (RFC 9112, section 7.1). Stops at the
/// last chunk and at a line without a size, which evhttp judges.
struct ChunkLines {
  bool Active_ = false;
  std::size_t LineBytes_ = 0; ///< Of the line that has not ended yet.
  std::uint64_t DataLeft_ = 0;
  std::uint64_t Size_ = 0;
  bool HasDigits_ = false;
  bool SizeEnded_ = false;
};

/// Starts to follow a body, of which nothing was received yet.
ChunkLines startChunkLines();

/// Takes the next bytes of the body.
void addBytes(ChunkLines &Lines, std::string_view Bytes);

} // namespace sycamore
