// Guards against wait limits that multiply messages while all targets are busy,
// and against limits that never come back after that.
#include "sycamore/WaitLimits.h"

#include <gtest/gtest.h>

using namespace sycamore;

TEST(WaitLimits, BoundsTheAttemptsOfACall) {
  WaitLimits Table;
  for (std::uint32_t I = 0; I < Table.Options_.MaxAttempts_; ++I)
    EXPECT_TRUE(
        waitLimit(Table, "shop", I, milliseconds(200), milliseconds(500)));
  EXPECT_FALSE(waitLimit(Table, "shop", Table.Options_.MaxAttempts_,
                         milliseconds(200), milliseconds(500)));
}

TEST(WaitLimits, FollowsCostAndSlack) {
  WaitLimits Table;
  EXPECT_EQ(waitLimit(Table, "shop", 0, milliseconds(200), seconds(5)),
            milliseconds(20));
  EXPECT_EQ(waitLimit(Table, "shop", 0, milliseconds(200), milliseconds(300)),
            milliseconds(10));
  EXPECT_EQ(waitLimit(Table, "shop", 0, milliseconds(200), milliseconds(100)),
            Table.Options_.Least_);
}

TEST(WaitLimits, StopsWhileTargetsAreBusyAndResumes) {
  WaitLimits Table;
  for (int I = 0; I < 50; ++I)
    recordWaitLimited(Table, "shop", true);
  std::uint32_t Limited = 0;
  for (std::uint32_t I = 0; I < 10 * Table.Options_.TestInterval_; ++I)
    Limited += waitLimit(Table, "shop", 0, milliseconds(200), {}) ? 1 : 0;
  EXPECT_EQ(Limited, 10U);
  EXPECT_TRUE(waitLimit(Table, "other", 0, milliseconds(200), {}));
  for (int I = 0; I < 10; ++I)
    recordWaitLimited(Table, "shop", false);
  EXPECT_TRUE(waitLimit(Table, "shop", 0, milliseconds(200), {}));
}
