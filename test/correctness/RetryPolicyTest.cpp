// Tests that retries and hedges do not multiply the load of a failing fleet,
// and that a single slow request does not shift the cost estimate of its route.
#include "PolicyMutation.h"

#include "sycamore/RetryPolicy.h"
#include "sycamore/RouteCost.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using sycamore::test::isMutated;

RC_GTEST_PROP(RetryBudgetProperty, GrantsWithinATenthOfRecentSuccesses, ()) {
  RetryBudget Budget;
  if (isMutated("retry-unbounded"))
    Budget.Options_.Share_ = 1;
  std::vector<TimePoint> Retries;
  std::vector<TimePoint> Successes;
  TimePoint Now{seconds(5)};
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      400, rc::gen::pair(rc::gen::inRange(0, 3), rc::gen::inRange(0, 200)));
  for (auto [Kind, Gap] : Steps) {
    Now += milliseconds(Gap);
    if (Kind == 0) {
      recordSuccess(Budget, Now);
      Successes.push_back(Now);
    }
    if (Kind == 0 || !tryAcquireRetry(Budget, Now))
      continue;
    Retries.push_back(Now);
    auto Recent = [&](const std::vector<TimePoint> &Times, Duration Span) {
      return std::count_if(Times.begin(), Times.end(),
                           [&](TimePoint At) { return Now - At < Span; });
    };
    // The window has whole seconds, so it covers 9 to 10 s.
    RC_ASSERT(static_cast<double>(Recent(Retries, seconds(9))) <=
              0.1 * static_cast<double>(Recent(Successes, seconds(10))) + 10);
  }
}

TEST(RetryBudget, AllowsAFewRetriesWithoutSuccesses) {
  RetryBudget Budget;
  int Granted = 0;
  for (int Each = 0; Each < 100; ++Each)
    Granted += tryAcquireRetry(Budget, TimePoint{seconds(3)}) ? 1 : 0;
  EXPECT_EQ(Granted, 10);
  EXPECT_TRUE(tryAcquireRetry(Budget, TimePoint{seconds(13)}));
}

// Successes of other services must not pay for retries at a service that fails:
// its servers would get several times their normal rate of requests.
TEST(RetryBudgets, CountEachServiceAlone) {
  RetryBudgets Budgets;
  for (int Each = 0; Each < 1000; ++Each)
    recordSuccess(Budgets, "busy", TimePoint{seconds(3)});
  int Granted = 0;
  for (int Each = 0; Each < 100; ++Each)
    Granted +=
        tryAcquireRetry(Budgets, "failing", 1, TimePoint{seconds(3)}) ? 1 : 0;
  EXPECT_EQ(Granted, 10);
  EXPECT_EQ(Budgets.Counters_.Denied_, 90U);
}

// The retries that a fleet makes without successes are bounded, however many
// daemons it has.
TEST(RetryBudgets, DaemonsShareTheFleetsConstant) {
  constexpr std::size_t Daemons = 70;
  constexpr double FleetConstant = 180.5;
  int Granted = 0;
  for (std::size_t Daemon = 0; Daemon < Daemons; ++Daemon) {
    RetryBudgets Budgets;
    Budgets.Options_.FleetConstant_ = FleetConstant;
    for (int Each = 0; Each < 100; ++Each)
      Granted +=
          tryAcquireRetry(Budgets, "s", Daemons, TimePoint{seconds(3)}) ? 1 : 0;
  }
  EXPECT_LE(Granted, 180);
  EXPECT_GE(Granted, static_cast<int>(Daemons));
}

RC_GTEST_PROP(BackoffProperty, GrowsWithinItsLimitsAndHonoursRetryAfter, ()) {
  Random Rng(*rc::gen::arbitrary<std::uint64_t>());
  auto Attempt = *rc::gen::inRange<std::uint32_t>(0, 100);
  auto RetryAfter = milliseconds(*rc::gen::inRange(0, 3000));
  BackoffOptions Options;
  Duration Delay = backoffDelay(Options, Attempt, RetryAfter, Rng);
  RC_ASSERT(Delay >= RetryAfter);
  RC_ASSERT(Delay >= Options.Base_ / 2);
  RC_ASSERT(Delay <= std::max<Duration>(Options.Limit_, RetryAfter));
}

TEST(HedgePolicy, LearnsThe95thPercentileOfARoute) {
  HedgePolicy Policy;
  EXPECT_FALSE(hedgeDelay(Policy, "stock").has_value());
  for (int Each = 0; Each < 2000; ++Each)
    recordLatency(Policy, "stock", milliseconds(1 + Each % 100));
  auto Delay = hedgeDelay(Policy, "stock");
  ASSERT_TRUE(Delay.has_value());
  EXPECT_GE(*Delay, milliseconds(94));
  EXPECT_LE(*Delay, milliseconds(105));
  for (int Each = 0; Each < 20000; ++Each)
    recordLatency(Policy, "stock", milliseconds(10));
  EXPECT_LE(*hedgeDelay(Policy, "stock"), milliseconds(11));
}

RC_GTEST_PROP(HedgeProperty, HedgesStayWithinAShareOfCallsAndOfTime, ()) {
  HedgePolicy Policy;
  if (isMutated("hedge-unbounded"))
    Policy.Options_.Share_ = 1;
  auto HedgeMs = *rc::gen::inRange(1, 500);
  double CallUs = 0;
  double HedgeUs = 0;
  for (int Calls = 1; Calls <= 3000; ++Calls) {
    recordLatency(Policy, "stock", milliseconds(5));
    CallUs += 5000;
    while (tryAcquireHedge(Policy)) {
      recordHedgeEnd(Policy, milliseconds(HedgeMs));
      HedgeUs += HedgeMs * 1000.0;
      RC_ASSERT(static_cast<double>(Policy.Counters_.Granted_) <= 0.05 * Calls);
      // Only the hedge in progress may exceed the share of time.
      RC_ASSERT(HedgeUs <= 0.05 * CallUs + HedgeMs * 1000.0);
    }
  }
}

TEST(HedgePolicy, KeepsABoundedNumberOfRoutes) {
  HedgePolicy Policy;
  Policy.Options_.MaxRoutes_ = 10;
  for (int Each = 0; Each < 1000; ++Each)
    recordLatency(Policy, "route-" + std::to_string(Each), milliseconds(1));
  EXPECT_EQ(Policy.Routes_.size(), 10U);
}

TEST(RouteCost, LearnsTheCostOfEachRouteAndWhichAreLong) {
  RouteCost Table;
  EXPECT_EQ(expectedCost(Table, "stock"), Table.Options_.DefaultCost_);
  for (int Each = 0; Each < 500; ++Each) {
    recordCost(Table, "stock", milliseconds(5));
    if (Each % 50 == 0)
      recordCost(Table, "audit", milliseconds(250));
  }
  EXPECT_NEAR(static_cast<double>(expectedCost(Table, "stock").count()), 5000,
              100);
  EXPECT_TRUE(isLong(Table, "audit"));
  EXPECT_FALSE(isLong(Table, "stock"));
  EXPECT_FALSE(isLong(Table, "unknown"));
}

TEST(RouteCost, OneSlowRequestMakesNoRouteLong) {
  RouteCost Table;
  for (int Each = 0; Each < 500; ++Each) {
    recordCost(Table, "stock", milliseconds(Each % 50 == 49 ? 250 : 5));
    EXPECT_FALSE(isLong(Table, "stock"));
  }
}

TEST(RouteCost, KeepsABoundedNumberOfRoutes) {
  RouteCost Table;
  Table.Options_.MaxRoutes_ = 10;
  for (int Each = 0; Each < 1000; ++Each)
    recordCost(Table, "route-" + std::to_string(Each), milliseconds(1));
  EXPECT_EQ(Table.Routes_.size(), 10U);
  EXPECT_EQ(Table.Counters_.Forgotten_, 990U);
}
