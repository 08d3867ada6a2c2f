// Length of the size lines in a chunked body.
#include "ChunkLines.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace sycamore {
namespace {

unsigned digitValue(char Digit) {
  if (Digit >= '0' && Digit <= '9')
    return static_cast<unsigned>(Digit - '0');
  constexpr unsigned Ten = 10;
  return static_cast<unsigned>(std::tolower(static_cast<unsigned char>(Digit)) -
                               'a') +
         Ten;
}

void addDigit(ChunkLines &Lines, char Digit) {
  constexpr unsigned Base = 16;
  constexpr std::uint64_t Max = std::numeric_limits<std::uint64_t>::max();
  Lines.HasDigits_ = true;
  Lines.Size_ = Lines.Size_ > (Max - digitValue(Digit)) / Base
                    ? Max
                    : Lines.Size_ * Base + digitValue(Digit);
}

void addToLine(ChunkLines &Lines, std::string_view Part) {
  Lines.LineBytes_ += Part.size();
  for (std::size_t I = 0; I < Part.size() && !Lines.SizeEnded_; ++I) {
    if (std::isxdigit(static_cast<unsigned char>(Part[I])))
      addDigit(Lines, Part[I]);
    else
      Lines.SizeEnded_ = true;
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
