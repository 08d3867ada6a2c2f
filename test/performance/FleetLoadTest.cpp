// Checks placement by remaining work in a large fleet against placement by
// requests per slot and against an oracle that knows every request's work. The
// clock is simulated and the runs have a seed.
#include "FleetLoadRun.h"

#include <gtest/gtest.h>

using namespace sycamore::bench;

namespace {

FleetLoadResult runAt(FleetChoice Choice, double Load) {
  return run(largeFleet(Choice, Load));
}

} // namespace

// With old reports of load, requests wait at one target while others have free
// slots, and slow targets get requests that only a fast one answers in time.
TEST(FleetLoad, RequestsWaitLessAndMoreAreInTimeBelowCapacity) {
  FleetLoadResult Before = runAt(FleetChoice::Requests, 0.6);
  FleetLoadResult After = runAt(FleetChoice::Limited, 0.6);
  FleetLoadResult Oracle = runAt(FleetChoice::Oracle, 0.6);
  EXPECT_LT(meanWaitMs(After), meanWaitMs(Before));
  EXPECT_GT(inTimeShare(After), inTimeShare(Before) + 0.005);
  EXPECT_GT(inTimeShare(After), inTimeShare(Oracle) - 0.025);
  EXPECT_GE(answeredShare(After), 0.998);
}

// A refusal because of the wait limit costs two messages; near capacity most
// attempts would be refused.
TEST(FleetLoad, WaitLimitsDoNotMultiplyAttemptsAtCapacity) {
  FleetLoadResult Result = runAt(FleetChoice::Limited, 1.2);
  EXPECT_LT(static_cast<double>(Result.Attempts_),
            2.0 * static_cast<double>(Result.Calls_));
}

// Near capacity more requests must be answered, and not fewer in time.
TEST(FleetLoad, MoreRequestsAreAnsweredNearCapacity) {
  FleetLoadResult Before = runAt(FleetChoice::Requests, 0.9);
  FleetLoadResult After = runAt(FleetChoice::Limited, 0.9);
  EXPECT_GT(answeredShare(After), answeredShare(Before) + 0.01);
  EXPECT_GT(inTimeShare(After), inTimeShare(Before) - 0.005);
}
