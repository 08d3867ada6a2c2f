// Tests that calls avoid loaded, slow, cold and dead targets, and that the
// rules together never exclude all targets.
#include "PolicyMutation.h"

#include "sycamore/Placement.h"
#include "sycamore/RouteCost.h"

#include <algorithm>
#include <cmath>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using sycamore::test::isMutated;

namespace {

const std::vector<std::string> Names{"t-1", "t-2", "t-3", "t-4", "t-5"};

std::vector<Candidate> candidates(std::size_t NearCount) {
  std::vector<Candidate> Out;
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    Out.push_back(
        {Names[Index], Names[Index], Index < NearCount ? "near" : "far", 6});
  return Out;
}

struct PlacementTest : testing::Test {
  Placement Table_;
  Random Rng_{7};
  TimePoint Now_{seconds(100)};
  std::vector<Candidate> Candidates_ = candidates(5);

  PlacementTest() {
    if (isMutated("placement-no-outliers"))
      Table_.Options_.OutlierRatio_ = 1e9;
    if (isMutated("placement-no-panic"))
      Table_.Options_.PanicThreshold_ = 1;
    if (isMutated("placement-no-ejection"))
      Table_.Options_.EjectionLimit_ = Duration{0};
    if (isMutated("placement-no-ramp"))
      Table_.Options_.RampFloor_ = 1;
    if (isMutated("placement-no-spill"))
      Table_.Options_.SpillCost_ = 1e9;
  }

  std::size_t choose(std::span<const std::string> Excluded = {}) {
    return *chooseTarget(Table_, Candidates_, "near", Excluded, Now_, Rng_);
  }

  /// Records one call that ended after Latency.
  void recordCall(std::size_t Index, Duration Latency,
                  AttemptOutcome Outcome = AttemptOutcome::Done) {
    recordDispatch(Table_, Names[Index], Now_);
    recordAttemptEnd(Table_, Names[Index], {}, Latency, Outcome, Now_);
  }

  std::map<std::size_t, int> chooseMany(int Count) {
    std::map<std::size_t, int> Chosen;
    for (int Each = 0; Each < Count; ++Each)
      ++Chosen[choose()];
    return Chosen;
  }

  void warmUp() {
    choose();
    Now_ += seconds(60);
    for (std::size_t Index = 0; Index < Names.size(); ++Index)
      for (int Each = 0; Each < 10; ++Each)
        recordCall(Index, milliseconds(5));
  }
};

} // namespace

TEST_F(PlacementTest, AvoidsTheTargetWithMostCallsInFlight) {
  warmUp();
  for (int Each = 0; Each < 4; ++Each)
    recordDispatch(Table_, Names[2], Now_);
  EXPECT_EQ(chooseMany(200)[2], 0);
}

// Requests over a silent link may be lost with an unknown outcome; a target
// whose link answers again must be used again.
TEST_F(PlacementTest, AvoidsATargetWhoseLinkIsSilent) {
  warmUp();
  ejectTarget(Table_, Names[1], Now_);
  EXPECT_EQ(chooseMany(200)[1], 0);
  Now_ += seconds(1);
  EXPECT_GT(chooseMany(200)[1], 0);
}

TEST_F(PlacementTest, CountsTheLoadOfOtherDaemons) {
  warmUp();
  for (int Each = 0; Each < 200; ++Each) {
    recordDispatch(Table_, Names[1], Now_);
    recordAttemptEnd(Table_, Names[1], {6, 20, 6, {}}, milliseconds(5),
                     AttemptOutcome::Done, Now_);
  }
  EXPECT_EQ(chooseMany(200)[1], 0);
  Now_ += std::chrono::hours(10); // The report is too old to count.
  EXPECT_GT(chooseMany(200)[1], 0);
}

TEST_F(PlacementTest, SendsLatencyOutliersOnlyTestCalls) {
  warmUp();
  for (int Each = 0; Each < 10; ++Each)
    recordCall(3, milliseconds(50));
  EXPECT_EQ(chooseMany(200)[3], 0);
  Now_ += Table_.Options_.OutlierTestInterval_;
  EXPECT_GT(chooseMany(200)[3], 0);
  recordCall(3, milliseconds(5));
  EXPECT_GT(chooseMany(200)[3], 0);
  EXPECT_GT(Table_.Counters_.OutliersFound_, 0U);
}

TEST_F(PlacementTest, TreatsAStalledTargetAsSlowBeforeItAnswers) {
  warmUp();
  recordDispatch(Table_, Names[0], Now_);
  for (std::size_t Index = 1; Index < Names.size(); ++Index)
    recordDispatch(Table_, Names[Index], Now_);
  Now_ += milliseconds(30);
  for (std::size_t Index = 1; Index < Names.size(); ++Index)
    recordAttemptEnd(Table_, Names[Index], {}, milliseconds(5),
                     AttemptOutcome::Done, Now_);
  for (std::size_t Index = 1; Index < Names.size(); ++Index)
    recordDispatch(Table_, Names[Index], Now_);
  EXPECT_EQ(chooseMany(200)[0], 0);
}

TEST_F(PlacementTest, IgnoresOutliersWhenMostTargetsAreSlow) {
  warmUp();
  for (std::size_t Index : {0U, 1U})
    for (int Each = 0; Each < 10; ++Each)
      recordCall(Index, milliseconds(5));
  // Of the four candidates that remain, three are slow and one is fast.
  Candidates_.resize(4);
  for (std::size_t Index : {1U, 2U, 3U})
    for (int Each = 0; Each < 10; ++Each)
      recordCall(Index, milliseconds(50));
  Table_.Targets_.at(Names[0]).Latency_.LogValue_ = std::log(5000.0);
  // The median of 5, 50, 50 and 50 ms is 50 ms, so none is an outlier.
  auto Chosen = chooseMany(400);
  for (std::size_t Index = 0; Index < 4; ++Index)
    EXPECT_GT(Chosen[Index], 0) << Names[Index];
}

TEST_F(PlacementTest, PanicRuleKeepsAllTargetsInUse) {
  warmUp();
  Table_.Options_.PanicThreshold_ = isMutated("placement-no-panic") ? 1 : 0.3;
  for (std::size_t Index : {3U, 4U})
    for (int Each = 0; Each < 10; ++Each)
      recordCall(Index, milliseconds(50));
  auto Chosen = chooseMany(400);
  EXPECT_GT(Chosen[3], 0);
  EXPECT_GT(Table_.Counters_.Panics_, 0U);
}

TEST_F(PlacementTest, StaysNearUntilTheNearTargetsAreLoaded) {
  Candidates_ = candidates(2);
  warmUp();
  auto Chosen = chooseMany(200);
  EXPECT_EQ(Chosen[0] + Chosen[1], 200);
  for (int Each = 0; Each < 6; ++Each) {
    recordDispatch(Table_, Names[0], Now_);
    recordDispatch(Table_, Names[1], Now_);
  }
  Chosen = chooseMany(200);
  EXPECT_EQ(Chosen[0] + Chosen[1], 0);
}

TEST_F(PlacementTest, RaisesTheWeightOfANewTargetSlowly) {
  Candidates_.resize(4);
  warmUp();
  Candidates_ = candidates(5);
  Table_.Targets_.erase(Names[4]);
  choose();
  // Even with this load, the warm targets cost less than the cold one.
  for (std::size_t Index = 0; Index < 4; ++Index)
    for (int Each = 0; Each < 2; ++Each)
      recordDispatch(Table_, Names[Index], Now_);
  EXPECT_EQ(chooseMany(200)[4], 0);
  Now_ += Table_.Options_.RampTime_;
  EXPECT_GT(chooseMany(200)[4], 0);
}

TEST_F(PlacementTest, EjectsATargetThatRefusesConnectionsForLongerEachTime) {
  warmUp();
  Duration Previous{0};
  for (int Round = 0; Round < 3; ++Round) {
    recordCall(1, milliseconds(1), AttemptOutcome::ConnectionRefused);
    EXPECT_EQ(chooseMany(200)[1], 0);
    Duration Span = Table_.Targets_.at(Names[1]).EjectedUntil_ - Now_;
    EXPECT_GT(Span, Previous);
    Previous = Span;
    Now_ += Span;
    EXPECT_GT(chooseMany(200)[1], 0);
  }
  recordCall(1, milliseconds(5));
  EXPECT_EQ(Table_.Targets_.at(Names[1]).ConsecutiveRefusals_, 0U);
}

TEST_F(PlacementTest, UsesEjectedTargetsWhenNoneIsLeft) {
  warmUp();
  for (std::size_t Index = 0; Index < Names.size(); ++Index)
    recordCall(Index, milliseconds(1), AttemptOutcome::ConnectionRefused);
  EXPECT_EQ(chooseMany(10).size() > 0, true);
  EXPECT_EQ(Table_.Counters_.EjectionsIgnored_, 10U);
}

TEST_F(PlacementTest, RemovesDepartedTargets) {
  Table_.Options_.MaxTargets_ = 3;
  for (int Each = 0; Each < 100; ++Each) {
    recordDispatch(Table_, "other-" + std::to_string(Each), Now_);
    Now_ += seconds(1);
  }
  EXPECT_LE(Table_.Targets_.size(), 3U);
  Table_.Options_.MaxTargets_ = 4096;
  choose();
  Now_ += Table_.Options_.TargetExpiry_ * 2;
  for (std::string_view Name : Names)
    removeTarget(Table_, Name);
  EXPECT_LE(Table_.Targets_.size(), 3U);
}

RC_GTEST_PROP(PlacementProperty, AlwaysChoosesACandidateThatIsNotExcluded, ()) {
  Placement Table;
  Random Rng(*rc::gen::arbitrary<std::uint64_t>());
  auto Candidates = candidates(*rc::gen::inRange<std::size_t>(0, 6));
  TimePoint Now{seconds(1)};
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(0, 6)));
  for (auto [Target, Outcome] : Steps) {
    std::vector<std::string> Excluded(Names.begin(), Names.begin() + Target);
    auto Choice = chooseTarget(Table, Candidates, "near", Excluded, Now, Rng);
    RC_ASSERT(Choice.has_value());
    RC_ASSERT(*Choice >= static_cast<std::size_t>(Target));
    recordDispatch(Table, Names[*Choice], Now);
    Now += milliseconds(Target * 3 + 1);
    recordAttemptEnd(Table, Names[*Choice], {1, 2, 6, {}},
                     milliseconds(Target * 9),
                     static_cast<AttemptOutcome>(Outcome), Now);
  }
  RC_ASSERT(!chooseTarget(Table, Candidates, "near", Names, Now, Rng));
}

RC_GTEST_PROP(PlacementProperty, AllDaemonsSendASuspectToOneTarget, ()) {
  auto Fingerprint = *rc::gen::arbitrary<std::uint64_t>();
  auto Candidates = candidates(2);
  std::string_view Name =
      Candidates[*chooseSuspectTarget(Fingerprint, Candidates)].Name_;
  std::reverse(Candidates.begin(), Candidates.end());
  RC_ASSERT(Candidates[*chooseSuspectTarget(Fingerprint, Candidates)].Name_ ==
            Name);
}

namespace {

/// Two targets of a service that is placed by remaining work.
struct WorkPlacementTest : testing::Test {
  Placement Table_;
  Random Rng_{7};
  TimePoint Now_{seconds(100)};
  std::vector<Candidate> Candidates_ = candidates(2);

  WorkPlacementTest() {
    Table_.Options_.WorkTargets_ = 2;
    Candidates_.resize(2);
    // Both targets are past their warm-up.
    choose({});
    Now_ += seconds(10);
  }

  std::size_t choose(const RequestCost &Request) {
    return *chooseTarget(Table_, Candidates_, "near", {}, Now_, Rng_, Request);
  }

  void report(std::size_t Index, Duration Work, double CostRatio,
              Duration Queued = Duration(0)) {
    TargetLoad Load;
    Load.Slots_ = 6;
    Load.RemainingWork_ = Work;
    Load.QueuedWork_[WorkRanks - 1] = Queued;
    Load.CostRatio_ = CostRatio;
    recordDispatch(Table_, Names[Index], Now_);
    recordAttemptEnd(Table_, Names[Index], Load, milliseconds(100),
                     AttemptOutcome::Done, Now_);
  }
};

} // namespace

// By number of requests, a target with few long requests looks free.
TEST_F(WorkPlacementTest, ChoosesTheTargetWithLessRemainingWork) {
  report(0, seconds(6), 1);
  report(1, milliseconds(60), 1);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(choose({milliseconds(100), Duration(0)}), 1U);
}

// Queued work that the request precedes does not delay it.
TEST_F(WorkPlacementTest, IgnoresQueuedWorkOfLessUrgentRequests) {
  report(0, seconds(6), 1, milliseconds(5990));
  report(1, milliseconds(600), 1);
  EXPECT_EQ(choose({milliseconds(100), Duration(0), workRank(0, 0)}), 0U);
  EXPECT_EQ(choose({milliseconds(100), Duration(0), WorkRanks - 1}), 1U);
}

// A request with much time left must leave the fast target to those without.
TEST_F(WorkPlacementTest, SendsRequestsWithSlackToTheSlowTarget) {
  for (int I = 0; I < 30; ++I) {
    report(0, milliseconds(60), 0.5);
    report(1, milliseconds(60), 2);
  }
  EXPECT_EQ(choose({milliseconds(100), milliseconds(150)}), 0U);
  EXPECT_EQ(choose({milliseconds(100), seconds(5)}), 1U);
}

// A target that reports absurd figures must stay within the bounds.
TEST_F(WorkPlacementTest, BoundsTheFiguresOfATarget) {
  for (int I = 0; I < 30; ++I)
    report(0, std::chrono::hours(1000), 1e9);
  const TargetStats &Stats = Table_.Targets_.at(Names[0]);
  EXPECT_LE(Stats.CostRatio_, Table_.Options_.MaxCostRatio_);
  EXPECT_LE(Stats.WorkUs_, 6.0 * 1e6 * 10);
  report(0, Duration(-1), 1);
  EXPECT_GE(Stats.WorkUs_, 0);
}

// One target in ten that reports a cost of an hour must not change what is
// expected of the others.
TEST(ReportedCost, IsNotShiftedByOneTargetWithFalseFigures) {
  RouteCost Table;
  for (int I = 0; I < 500; ++I)
    recordReportedCost(Table, "route",
                       I % 10 == 9 ? Duration(std::chrono::hours(1))
                                   : milliseconds(200));
  EXPECT_LT(expectedCost(Table, "route"), milliseconds(300));
  EXPECT_NEAR(recordReportedCost(Table, "route", milliseconds(200)), 1, 0.4);
}
