// Guards against a good version that is given up, or completed too late, over
// real daemons.
#include "RolloutFleet.h"

using namespace sycamore;
using namespace sycamore::test;

TEST_F(RolloutFleet, CompletesAGoodVersionInTime) {
  startAll();
  order("v2");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  startNewServers(200);
  ASSERT_TRUE(requestUntil([&] { return state() == "completed"; }));
  EXPECT_LT(monotonicNow() - OrderedAt_, seconds(6));
  EXPECT_GT(newRequests(), 0U);
  // The old servers stop at the status, without draining.
  std::size_t Before = oldRequests();
  requestFor(milliseconds(500));
  EXPECT_EQ(oldRequests(), Before);
}
