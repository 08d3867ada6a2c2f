// Guards against an answer that is passed on although parts of it are missing,
// doubled, out of order or of another answer.
#include "AnswerAssembly.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

constexpr std::uint64_t MaxBytes = 1000;

Result<void> add(AnswerAssembly &Assembly, std::uint64_t Offset,
                 std::uint64_t Size, std::string_view Bytes) {
  wire::CallAnswerPart Part;
  Part.set_offset(Offset);
  Part.set_body_size(Size);
  return addPart(Assembly, Part, Bytes, MaxBytes);
}

} // namespace

TEST(AnswerAssembly, JoinsPartsAndTheLastBytes) {
  AnswerAssembly Assembly;
  EXPECT_TRUE(add(Assembly, 0, 9, "abc"));
  EXPECT_TRUE(add(Assembly, 3, 9, "def"));
  EXPECT_EQ(takeBody(Assembly, 6, "ghi"), "abcdefghi");
  EXPECT_TRUE(Assembly.Bytes_.empty());
}

TEST(AnswerAssembly, BeginsAnewAtOffsetZero) {
  AnswerAssembly Assembly;
  EXPECT_TRUE(add(Assembly, 0, 9, "abc"));
  EXPECT_TRUE(add(Assembly, 0, 6, "xyz"));
  EXPECT_EQ(takeBody(Assembly, 3, "uvw"), "xyzuvw");
}

TEST(AnswerAssembly, AMissingPartLeavesABodyThatFailsTheSizeCheck) {
  AnswerAssembly Assembly;
  EXPECT_TRUE(add(Assembly, 0, 9, "abc"));
  EXPECT_EQ(takeBody(Assembly, 6, "ghi"), "ghi");
  EXPECT_EQ(takeBody(Assembly, 3, "xyz"), "xyz");
}

TEST(AnswerAssembly, RejectsPartsThatDoNotFitAndNamesWhy) {
  struct Case {
    std::uint64_t Offset_, Size_;
    std::string_view Bytes_;
    const char *Reason_;
  };
  for (const Case &Each :
       {Case{4, 9, "x", "expected 3 of 9"}, Case{3, 8, "x", "expected 3 of 9"},
        Case{3, 9, "too long", "exceed the stated size"},
        Case{0, MaxBytes + 1, "x", "max_body_bytes"}}) {
    AnswerAssembly Assembly;
    ASSERT_TRUE(add(Assembly, 0, 9, "abc"));
    auto Added = add(Assembly, Each.Offset_, Each.Size_, Each.Bytes_);
    ASSERT_FALSE(Added) << Each.Reason_;
    EXPECT_NE(Added.error().Message_.find(Each.Reason_), std::string::npos)
        << Added.error().Message_;
    EXPECT_TRUE(Assembly.Bytes_.empty());
  }
}

RC_GTEST_PROP(AnswerAssembly, AnyPartsStayWithinTheStatedSize, ()) {
  AnswerAssembly Assembly;
  auto Count = *rc::gen::inRange(0, 20);
  for (int I = 0; I < Count; ++I) {
    (void)add(Assembly, *rc::gen::inRange<std::uint64_t>(0, 40),
              *rc::gen::inRange<std::uint64_t>(0, 40),
              std::string(*rc::gen::inRange<std::size_t>(0, 30), 'x'));
    RC_ASSERT(Assembly.Bytes_.size() <= Assembly.Size_);
    RC_ASSERT(Assembly.Size_ <= MaxBytes);
  }
}
