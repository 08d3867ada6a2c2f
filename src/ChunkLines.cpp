// Length of the size lines in a chunked body.
#include "ChunkLines.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace sycamore {
namespace {

constexpr std::string_view Digits = "0123456789abcdef";

void addDigit(ChunkLines &Lines, std::uint64_t Value) {
  constexpr std::uint64_t Max = std::numeric_limits<std::uint64_t>::max();
  Lines.HasDigits_ = true;
  Lines.Size_ = Lines.Size_ > (Max - Value) / Digits.size()
                    ? Max
                    : Lines.Size_ * Digits.size() + Value;
}

void addToLine(ChunkLines &Lines, std::string_view Part) {
  Lines.LineBytes_ += Part.size();
  for (std::size_t I = 0; I < Part.size() && !Lines.SizeEnded_; ++I) {
    std::size_t Value = Digits.find(
        static_cast<char>(std::tolower(static_cast<unsigned char>(Part[I]))));
    if (Value == std::string_view::npos)
      Lines.SizeEnded_ = true;
    else
      addDigit(Lines, Value);
  }
}

void endLine(ChunkLines &Lines) {
  // A carriage return alone is the end of the chunk before.
  bool Empty = !Lines.HasDigits_ && Lines.LineBytes_ <= 1;
  std::uint64_t Size = Lines.Size_;
  Lines = {};
  Lines.Active_ = Empty || Size > 0;
  Lines.DataLeft_ = Size;
}

} // namespace

ChunkLines startChunkLines() {
  ChunkLines Out;
  Out.Active_ = true;
  return Out;
}

void addBytes(ChunkLines &Lines, std::string_view Bytes) {
  while (Lines.Active_ && !Bytes.empty()) {
    if (Lines.DataLeft_ > 0) {
      std::size_t Skipped = static_cast<std::size_t>(
          std::min<std::uint64_t>(Lines.DataLeft_, Bytes.size()));
      Lines.DataLeft_ -= Skipped;
      Bytes.remove_prefix(Skipped);
      continue;
    }
    std::size_t End = Bytes.find('\n');
    addToLine(Lines, Bytes.substr(0, End));
    if (End == std::string_view::npos)
      return;
    Bytes.remove_prefix(End + 1);
    endLine(Lines);
  }
}

} // namespace sycamore
