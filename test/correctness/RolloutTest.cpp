// Guards against requests to a version that a roll-out excludes, and against
// states and reports that are applied twice or out of order.
#include "sycamore/RolloutPlan.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

TimePoint at(Duration Since) { return TimePoint{seconds(1000)} + Since; }

wire::RolloutState state(std::int64_t Revision, std::uint64_t Step,
                         std::uint32_t Share,
                         wire::RolloutPhase Phase = wire::ROLLOUT_RUNNING) {
  wire::RolloutState Out;
  Out.set_service("shop");
  Out.set_target_version("v2");
  Out.set_order_revision(Revision);
  Out.set_step(Step);
  Out.set_share_permille(Share);
  Out.set_phase(Phase);
  return Out;
}

std::vector<EligibleTarget> targets() {
  return {{"a", "m1", "z", 4, false, "v1"}, {"b", "m2", "z", 4, false, "v2"}};
}

struct Entry {
  RolloutTable Table_;
  Random Rng_{7};
  std::uint64_t Ordinal_ = 0;

  bool apply(const wire::RolloutState &State, Duration Since = Duration(0)) {
    return applyRolloutState(Table_, State, at(Since), Rng_);
  }

  std::string usable(Duration Since = Duration(0),
                     std::vector<EligibleTarget> Targets = targets(),
                     std::vector<std::string> Excluded = {}) {
    filterVersions(Table_, "shop", "list", Targets, Excluded, at(Since));
    std::string Out;
    for (const EligibleTarget &Target : Targets)
      Out += Target.Version_ + " ";
    return Out;
  }

  std::uint64_t send(const std::string &Version, Duration Since = Duration(0)) {
    recordRolloutSent(Table_, ++Ordinal_, "shop", "list", Version,
                      at(-seconds(60)), at(Since));
    return Ordinal_;
  }

  Rollout &rollout() { return Table_.Rollouts_.at("shop"); }
};

RolloutHolder holder() {
  return makeRolloutHolder({"shop", "v2", seconds(12), 7}, state(7, 1, 0),
                           at(Duration(0)), at(Duration(0)));
}

RolloutFleet fleet() { return {{"m1", "m2"}, 8, 8}; }

wire::RolloutReport report(std::uint64_t Step, std::uint64_t OldAnswers,
                           std::uint64_t NewAnswers, std::uint64_t Failures) {
  wire::RolloutReport Out;
  Out.set_service("shop");
  Out.set_order_revision(7);
  Out.set_step(Step);
  Out.add_new_version()->set_requests(NewAnswers);
  Out.add_old_version()->set_requests(OldAnswers);
  wire::RolloutCounts &New = *Out.add_new_version();
  New.set_route("list");
  New.set_requests(NewAnswers);
  New.set_failures(Failures);
  New.set_time_sum_us(NewAnswers * 1000);
  wire::RolloutCounts &Old = *Out.add_old_version();
  Old.set_route("list");
  Old.set_requests(OldAnswers);
  Old.set_time_sum_us(OldAnswers * 1000);
  return Out;
}

} // namespace

TEST(Rollout, ServesAllVersionsWithoutAnOrder) {
  Entry Entry;
  EXPECT_EQ(Entry.usable(), "v1 v2 ");
  Entry.send("v2");
  EXPECT_TRUE(Entry.Table_.Attempts_.empty());
}

TEST(Rollout, KeepsItsShareExactly) {
  Entry Entry;
  Entry.apply(state(7, 1, 80));
  int New = 0;
  for (int I = 0; I < 1000; ++I) {
    bool IsNew = Entry.usable() == "v2 ";
    Entry.send(IsNew ? "v2" : "v1");
    New += IsNew ? 1 : 0;
  }
  EXPECT_NEAR(New, 80, 1);
}

TEST(Rollout, SendsNothingToTheNewVersionWithoutNewsOfTheHolder) {
  Entry Entry;
  Entry.apply(state(7, 1, 999));
  EXPECT_EQ(Entry.usable(milliseconds(1900)), "v2 ");
  EXPECT_EQ(Entry.usable(seconds(2)), "v1 ");
  EXPECT_EQ(Entry.usable(seconds(2), {targets()[1]}), "");
  Entry.apply(state(7, 2, FullSharePermille), seconds(2));
  EXPECT_EQ(Entry.usable(seconds(60)), "v2 ");
}

TEST(Rollout, SendsNothingToTheVersionThatAVerdictEnded) {
  Entry RolledBack;
  RolledBack.apply(state(7, 3, 500));
  RolledBack.apply(state(7, 4, 0, wire::ROLLOUT_ROLLED_BACK));
  EXPECT_EQ(RolledBack.usable(), "v1 ");
  EXPECT_EQ(RolledBack.usable(Duration(0), {targets()[1]}), "");

  Entry Completed;
  Completed.apply(state(7, 3, FullSharePermille));
  EXPECT_EQ(Completed.usable(), "v2 ");
  Completed.apply(state(7, 4, FullSharePermille, wire::ROLLOUT_COMPLETED));
  EXPECT_EQ(Completed.usable(Duration(0), {targets()[0]}), "");
  // An ordinary replacement after the roll-out.
  EXPECT_EQ(Completed.usable(Duration(0), {{"c", "m3", "z", 4, false, "v3"}}),
            "v3 ");
}

// A request that failed at the only new target must not be lost while the old
// ones still run.
TEST(Rollout, RetriesAtTheOldVersionUntilCompletion) {
  Entry Entry;
  Entry.apply(state(7, 3, FullSharePermille));
  EXPECT_EQ(Entry.usable(Duration(0), targets(), {"b"}), "v1 ");
}

TEST(Rollout, AVerdictIsFinalForItsOrder) {
  Entry Entry;
  EXPECT_TRUE(Entry.apply(state(7, 3, 500)));
  EXPECT_FALSE(Entry.apply(state(7, 3, 900)));
  EXPECT_FALSE(Entry.apply(state(6, 9, 900)));
  EXPECT_TRUE(Entry.apply(state(7, 2, 0, wire::ROLLOUT_ROLLED_BACK)));
  EXPECT_FALSE(Entry.apply(state(7, 9, 900)));
  EXPECT_FALSE(Entry.apply(state(7, 9, 900, wire::ROLLOUT_COMPLETED)));
  EXPECT_TRUE(Entry.apply(state(8, 1, 50)));
  EXPECT_EQ(Entry.rollout().State_.share_permille(), 50U);
}

// A request of the former order must not count for the present one.
TEST(Rollout, CountsNothingOfAnEarlierOrder) {
  Entry Entry;
  Entry.apply(state(7, 1, 500));
  std::uint64_t Sent = Entry.send("v2");
  Entry.apply(state(8, 1, 500));
  recordRolloutEnd(Entry.Table_, Sent, RolloutOutcome::Failed, at(seconds(1)));
  EXPECT_TRUE(Entry.rollout().New_.Routes_.empty());
  EXPECT_EQ(Entry.rollout().New_.InFlight_, 0U);
}

TEST(Rollout, CountsAnOverdueRequestOnceAndBeforeItsAnswer) {
  Entry Entry;
  Entry.apply(state(7, 1, 500));
  for (int I = 0; I < 20; ++I)
    recordRolloutEnd(Entry.Table_, Entry.send("v1"), RolloutOutcome::Answered,
                     at(milliseconds(20)));
  std::uint64_t Late = Entry.send("v2");
  countOverdue(Entry.Table_, at(milliseconds(59)));
  EXPECT_EQ(Entry.rollout().New_.Routes_["list"].Slow_, 0U);
  countOverdue(Entry.Table_, at(milliseconds(70)));
  countOverdue(Entry.Table_, at(milliseconds(90)));
  EXPECT_TRUE(isReportDue(Entry.rollout(), at(milliseconds(70))));
  recordRolloutEnd(Entry.Table_, Late, RolloutOutcome::Answered,
                   at(milliseconds(160)));
  EXPECT_EQ(Entry.rollout().New_.Routes_["list"].Slow_, 1U);
  EXPECT_EQ(Entry.rollout().New_.Routes_["list"].Answers_, 1U);
}

TEST(Rollout, ARequestThatDidNotRunIsNotCounted) {
  Entry Entry;
  Entry.apply(state(7, 1, 500));
  recordRolloutEnd(Entry.Table_, Entry.send("v2"), RolloutOutcome::NotRun,
                   at(milliseconds(5)));
  EXPECT_EQ(Entry.rollout().New_.Sent_, 0U);
  EXPECT_EQ(Entry.rollout().New_.Routes_["list"].Answers_, 0U);
}

TEST(RolloutHolder, CountsARepeatedOrOvertakenReportOnce) {
  RolloutHolder Holder = holder();
  for (int I = 0; I < 3; ++I)
    addRolloutReport(Holder, "m1", 1, report(2, 90, 10, 1), at(seconds(1)));
  addRolloutReport(Holder, "m1", 1, report(1, 50, 4, 0), at(seconds(1)));
  EXPECT_EQ(Holder.NewSent_, 10U);
  EXPECT_EQ(Holder.OldSent_, 90U);
  EXPECT_EQ(Holder.Routes_["list"].New_.Failures_, 1U);
  // A restarted daemon counts from 0 again.
  addRolloutReport(Holder, "m1", 2, report(2, 5, 3, 0), at(seconds(2)));
  EXPECT_EQ(Holder.NewSent_, 13U);
  wire::RolloutReport Other = report(2, 5, 3, 0);
  Other.set_order_revision(6);
  addRolloutReport(Holder, "m2", 1, Other, at(seconds(2)));
  EXPECT_EQ(Holder.NewSent_, 13U);
}

TEST(RolloutHolder, OneFailureDoesNotDecide) {
  RolloutHolder Holder = holder();
  addRolloutReport(Holder, "m1", 1, report(1, 90, 1, 1), at(seconds(1)));
  EXPECT_EQ(planRollout(Holder, fleet(), at(seconds(1))).Action_,
            RolloutAction::SetShare);
  addRolloutReport(Holder, "m1", 1, report(1, 90, 6, 4), at(seconds(1)));
  EXPECT_EQ(planRollout(Holder, fleet(), at(seconds(1))).Action_,
            RolloutAction::RollBack);
}

// An order may name a version that nobody runs.
TEST(RolloutHolder, WaitsForTargetsOfTheVersion) {
  RolloutHolder Holder = holder();
  RolloutFleet Empty = fleet();
  Empty.NewSlots_ = 0;
  for (int Second = 0; Second < 100; ++Second)
    EXPECT_EQ(planRollout(Holder, Empty, at(seconds(Second))).Action_,
              RolloutAction::None);
  RolloutDecision First = planRollout(Holder, fleet(), at(seconds(100)));
  EXPECT_EQ(First.Action_, RolloutAction::SetShare);
  EXPECT_LE(First.SharePermille_, 80U);
}

// The old targets stop without draining at the status.
TEST(RolloutHolder, CompletesOnlyWithoutRequestsInFlightToOldTargets) {
  RolloutHolder Holder = holder();
  setHolderState(Holder, state(7, 5, FullSharePermille), at(seconds(6)));
  planRollout(Holder, fleet(), at(seconds(6)));
  wire::RolloutReport Draining = report(5, 90, 90, 0);
  Draining.set_old_in_flight(1);
  addRolloutReport(Holder, "m1", 1, Draining, at(seconds(8)));
  addRolloutReport(Holder, "m2", 1, report(5, 90, 90, 0), at(seconds(8)));
  EXPECT_EQ(planRollout(Holder, fleet(), at(seconds(8))).Action_,
            RolloutAction::None);
  addRolloutReport(Holder, "m1", 1, report(5, 90, 90, 0), at(seconds(9)));
  EXPECT_EQ(planRollout(Holder, fleet(), at(seconds(9))).Action_,
            RolloutAction::Complete);
}

TEST(RolloutHolder, AVerdictIsAppliedWhenAllReportedItOrEndedByThemselves) {
  RolloutHolder Holder = holder();
  setHolderState(Holder, state(7, 9, 0, wire::ROLLOUT_ROLLED_BACK),
                 at(seconds(3)));
  addRolloutReport(Holder, "m1", 1, report(9, 1, 1, 0), at(seconds(3)));
  addRolloutReport(Holder, "m2", 1, report(8, 1, 1, 0), at(seconds(3)));
  EXPECT_FALSE(isVerdictApplied(Holder, fleet(), at(seconds(3))));
  EXPECT_TRUE(isVerdictApplied(Holder, fleet(), at(seconds(5))));
  addRolloutReport(Holder, "m2", 1, report(9, 1, 1, 0), at(seconds(3)));
  EXPECT_TRUE(isVerdictApplied(Holder, fleet(), at(seconds(3))));
}
