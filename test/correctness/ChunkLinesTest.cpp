// Guards against complete chunks that are taken for a size line without end,
// and against size lines that are not measured.
#include "ChunkLines.h"

#include <gtest/gtest.h>
#include <string>

using namespace sycamore;

namespace {

/// Length of the unfinished line after these bytes, which arrive in pieces of
/// every size in turn.
std::size_t lineBytes(const std::string &Bytes) {
  std::size_t Out = 0;
  for (std::size_t Piece = 1; Piece <= Bytes.size(); ++Piece) {
    ChunkLines Lines = startChunkLines();
    for (std::size_t At = 0; At < Bytes.size(); At += Piece)
      addBytes(Lines, std::string_view(Bytes).substr(At, Piece));
    if (Piece > 1) {
      EXPECT_EQ(Lines.LineBytes_, Out) << "pieces of " << Piece;
    }
    Out = Lines.LineBytes_;
  }
  return Out;
}

} // namespace

TEST(ChunkLines, MeasuresTheUnfinishedSizeLine) {
  EXPECT_EQ(lineBytes("0000"), 4U);
  EXPECT_EQ(lineBytes("4;name=value"), 12U);
  EXPECT_EQ(lineBytes("4\r\nbody\r\n00000"), 5U);
  EXPECT_EQ(lineBytes("\r\n\r\n1A"), 2U);
}

TEST(ChunkLines, SkipsDataWithoutLineEnds) {
  EXPECT_EQ(lineBytes("1e\r\n" + std::string(30, '0')), 0U);
  EXPECT_EQ(lineBytes("1E\r\n" + std::string(20, 'x')), 0U);
  EXPECT_EQ(lineBytes("4\r\nbody\r\n5\n00000\r\n"), 0U);
  EXPECT_EQ(lineBytes("ffffffffffffffffff\r\n" + std::string(30, '0')), 0U);
}

TEST(ChunkLines, StopsWhereTheSizesEnd) {
  EXPECT_EQ(lineBytes("1\r\nx\r\n0\r\ntrailer: " + std::string(30, 'y')), 0U);
  EXPECT_EQ(lineBytes("0x10\r\n0123456789"), 0U);
  EXPECT_EQ(lineBytes(" 10\r\n0123456789"), 0U);
}
