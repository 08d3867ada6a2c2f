// Guards against admission that starts more requests than there are slots,
// queues requests that cannot be answered in time, or lets long or shallow
// requests occupy every slot.
#include "PolicyMutation.h"

#include "sycamore/Admission.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using sycamore::test::isMutated;

namespace {

struct AdmissionTest : testing::Test {
  Admission Table_;
  TimePoint Now_{seconds(100)};
  std::uint64_t NextId_ = 1;
  std::vector<std::uint64_t> Run_;
  std::vector<std::uint64_t> Refused_;

  AdmissionTest() {
    setSlots(Table_, 6);
    if (isMutated("admission-no-depth-share"))
      Table_.Options_.ReserveByDepth_ = false;
    if (isMutated("admission-no-conflict-refusal"))
      Table_.Options_.ConflictWait_ = std::chrono::hours(1);
    if (isMutated("admission-no-early-refusal"))
      Table_.Options_.DeadlineMargin_ = -1e6;
    if (isMutated("admission-no-long-share"))
      Table_.Options_.LongShare_ = 1;
  }

  AdmissionRequest request(std::uint32_t Depth = 0,
                           Duration Remaining = seconds(1)) {
    AdmissionRequest Out;
    Out.Id_ = NextId_++;
    Out.Depth_ = Depth;
    Out.Deadline_ = Now_ + Remaining;
    Out.Expected_ = milliseconds(10);
    return Out;
  }

  AdmissionDecision offer(const AdmissionRequest &Request) {
    return admit(Table_, Request, Now_).Decision_;
  }

  void fill(std::uint32_t Depth = 0) {
    while (load(Table_).Queued_ == 0)
      offer(request(Depth));
  }

  void dequeue() {
    Run_.clear();
    Refused_.clear();
    dequeueRunnable(Table_, Now_, Run_, Refused_);
  }
};

} // namespace

TEST_F(AdmissionTest, RunsAsManyAsThereAreSlots) {
  for (int Each = 0; Each < 6; ++Each)
    EXPECT_EQ(offer(request()), AdmissionDecision::Run);
  EXPECT_EQ(offer(request()), AdmissionDecision::Queued);
  finish(Table_, 1, milliseconds(10), Now_);
  dequeue();
  EXPECT_EQ(Run_, std::vector<std::uint64_t>{7});
}

TEST_F(AdmissionTest, RefusesADuplicateId) {
  AdmissionRequest Request = request();
  offer(Request);
  EXPECT_EQ(admit(Table_, Request, Now_).Reason_, RefusalReason::Duplicate);
  EXPECT_EQ(load(Table_).Running_, 1U);
}

TEST_F(AdmissionTest, RunsDeeperThenMoreUrgentRequestsFirst) {
  fill();
  AdmissionRequest LaterDeadline = request(0, milliseconds(900));
  AdmissionRequest EarlierDeadline = request(0, milliseconds(500));
  AdmissionRequest Deep = request(1, seconds(1));
  for (const AdmissionRequest &Each : {LaterDeadline, EarlierDeadline, Deep})
    ASSERT_EQ(offer(Each), AdmissionDecision::Queued);
  for (std::uint64_t Expected : {Deep.Id_, EarlierDeadline.Id_}) {
    finish(Table_, Table_.Running_[0].Request_.Id_, milliseconds(10), Now_);
    dequeue();
    // One slot is reserved for depth 1 from now on, so EarlierDeadline can
    // start only after a second request has finished.
    if (Run_.empty()) {
      finish(Table_, Table_.Running_[0].Request_.Id_, milliseconds(10), Now_);
      dequeue();
    }
    ASSERT_FALSE(Run_.empty());
    EXPECT_EQ(Run_[0], Expected);
  }
}

TEST_F(AdmissionTest, RefusesRequestsThatCannotBeAnsweredInTime) {
  AdmissionVerdict Verdict = admit(Table_, request(0, milliseconds(9)), Now_);
  EXPECT_EQ(Verdict.Reason_, RefusalReason::TooLate);
  EXPECT_GT(Verdict.RetryAfter_, Duration{0});
  AdmissionRequest Before;
  for (int Each = 0; Each < 46; ++Each) {
    Before = request(0, milliseconds(300));
    Before.Expected_ = milliseconds(30);
    ASSERT_NE(offer(Before), AdmissionDecision::Refused);
  }
  // 40 requests of 30 ms are queued before it for 6 slots.
  AdmissionRequest Last = request(0, milliseconds(310));
  Last.Expected_ = milliseconds(80);
  EXPECT_EQ(admit(Table_, Last, Now_).Reason_, RefusalReason::TooLate);
  Now_ += milliseconds(290);
  dequeue();
  EXPECT_EQ(Refused_.size(), 40U);
}

TEST_F(AdmissionTest, KeepsTheQueueShortAndMakesRoomForDeeperCalls) {
  setQueueLimit(Table_, 3);
  fill();
  offer(request());
  AdmissionRequest Last = request(0, seconds(2));
  offer(Last);
  EXPECT_EQ(admit(Table_, request(), Now_).Reason_, RefusalReason::QueueFull);
  EXPECT_EQ(offer(request(2)), AdmissionDecision::Queued);
  dequeue();
  EXPECT_EQ(Refused_, std::vector<std::uint64_t>{Last.Id_});
  EXPECT_EQ(load(Table_).Queued_, 3U);
}

TEST_F(AdmissionTest, LimitsTheSlotsOfLongRequests) {
  AdmissionRequest Long = request();
  for (int Each = 0; Each < 4; ++Each) {
    Long = request();
    Long.Long_ = true;
    offer(Long);
  }
  EXPECT_EQ(load(Table_).Running_, 2U);
  for (int Each = 0; Each < 4; ++Each)
    EXPECT_EQ(offer(request()), AdmissionDecision::Run);
}

TEST_F(AdmissionTest, ReservesASlotForEveryDeeperActiveLevel) {
  offer(request(2));
  finish(Table_, 1, milliseconds(10), Now_);
  fill(0);
  EXPECT_EQ(load(Table_).Running_, 5U);
  EXPECT_EQ(offer(request(2)), AdmissionDecision::Run);
  Now_ += Table_.Options_.DepthReservationTime_;
  EXPECT_EQ(depthCap(Table_, 0, Now_), 6U);
}

TEST_F(AdmissionTest, RefusesANestedCallThatItsCallersMayBlock) {
  fill(0); // Calls of depth 0 hold every slot before the first nested call.
  AdmissionRequest Nested = request(1);
  offer(Nested);
  Now_ += milliseconds(60);
  dequeue();
  EXPECT_EQ(Refused_, std::vector<std::uint64_t>{Nested.Id_});
  EXPECT_EQ(Table_.Counters_.RefusedDepthConflict_, 1U);
}

TEST_F(AdmissionTest, RunsOneSuspectAtATime) {
  AdmissionRequest First = request();
  AdmissionRequest Second = request();
  First.Suspect_ = Second.Suspect_ = true;
  EXPECT_EQ(offer(First), AdmissionDecision::Run);
  EXPECT_EQ(offer(Second), AdmissionDecision::Queued);
  EXPECT_EQ(offer(request()), AdmissionDecision::Run);
  finish(Table_, First.Id_, milliseconds(1), Now_);
  dequeue();
  EXPECT_EQ(Run_, std::vector<std::uint64_t>{Second.Id_});
}

TEST_F(AdmissionTest, LeavingRefusesTheQueueAndLetsRunningOnesFinish) {
  fill();
  stopAdmitting(Table_);
  dequeue();
  EXPECT_EQ(Refused_.size(), 1U);
  EXPECT_EQ(load(Table_).Running_, 6U);
  EXPECT_EQ(admit(Table_, request(), Now_).Reason_, RefusalReason::Leaving);
}

TEST_F(AdmissionTest, CancelsOnlyQueuedRequests) {
  fill();
  EXPECT_TRUE(cancel(Table_, 7));
  EXPECT_FALSE(cancel(Table_, 7));
  EXPECT_FALSE(cancel(Table_, 1));
  EXPECT_EQ(load(Table_).Running_, 6U);
}

/// For any sequence of requests, ends and cancellations, the number of slots
/// and the queue limit hold, and each request gets exactly one verdict.
RC_GTEST_PROP(AdmissionProperty, KeepsItsLimitsAndDecidesEachRequestOnce, ()) {
  Admission Table;
  setSlots(Table, *rc::gen::inRange<std::uint32_t>(1, 13));
  setQueueLimit(Table, 5);
  TimePoint Now{seconds(1)};
  std::vector<std::uint64_t> Run;
  std::vector<std::uint64_t> Refused;
  std::uint64_t Id = 0;
  std::uint64_t Cancelled = 0;
  auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 12)));
  for (auto [Kind, Value] : Steps) {
    Now += milliseconds(Value);
    if (Kind == 0 && !Table.Running_.empty())
      finish(Table, Table.Running_[0].Request_.Id_, milliseconds(5), Now);
    if (Kind == 1 && !Table.Queue_.empty())
      Cancelled += cancel(Table, Table.Queue_[0].Request_.Id_) ? 1 : 0;
    if (Kind >= 2) {
      AdmissionRequest New;
      New.Id_ = ++Id;
      New.Depth_ = static_cast<std::uint32_t>(Value);
      New.Deadline_ = Now + milliseconds(Value * 20);
      New.Expected_ = milliseconds(5);
      New.Long_ = Value % 3 == 0;
      auto Verdict = admit(Table, New, Now);
      if (Verdict.Decision_ == AdmissionDecision::Run)
        Run.push_back(Id);
      if (Verdict.Decision_ == AdmissionDecision::Refused)
        Refused.push_back(Id);
    }
    dequeueRunnable(Table, Now, Run, Refused);
    RC_ASSERT(Table.Running_.size() <= Table.Slots_);
    RC_ASSERT(Table.Queue_.size() <= 5U);
  }
  std::vector<std::uint64_t> All = Run;
  All.insert(All.end(), Refused.begin(), Refused.end());
  std::sort(All.begin(), All.end());
  RC_ASSERT(std::adjacent_find(All.begin(), All.end()) == All.end());
  RC_ASSERT(All.size() + Table.Queue_.size() + Cancelled == Id);
}

// Guards against an overload that makes every answer late instead of only the
// excess.
TEST_F(AdmissionTest, RunsRequestsInTimeBeforeLateOnes) {
  fill();
  AdmissionRequest Late = request(0, seconds(1));
  Late.LatencyTargetAt_ = Now_ + milliseconds(5);
  AdmissionRequest InTime = request(0, seconds(2));
  InTime.LatencyTargetAt_ = Now_ + milliseconds(200);
  EXPECT_EQ(offer(Late), AdmissionDecision::Queued);
  EXPECT_EQ(offer(InTime), AdmissionDecision::Queued);
  EXPECT_EQ(Table_.Queue_.back().Request_.Id_, Late.Id_);
}

TEST_F(AdmissionTest, RunsMoreUrgentRoutesFirstAmongThoseInTime) {
  fill();
  AdmissionRequest LessUrgent = request();
  LessUrgent.Priority_ = 2;
  LessUrgent.LatencyTargetAt_ = Now_ + milliseconds(100);
  AdmissionRequest Urgent = request();
  Urgent.Priority_ = 0;
  Urgent.LatencyTargetAt_ = Now_ + milliseconds(300);
  offer(LessUrgent);
  offer(Urgent);
  auto Position = [&](std::uint64_t Id) {
    return std::find_if(Table_.Queue_.begin(), Table_.Queue_.end(),
                        [Id](const QueuedRequest &Each) {
                          return Each.Request_.Id_ == Id;
                        }) -
           Table_.Queue_.begin();
  };
  EXPECT_LT(Position(Urgent.Id_), Position(LessUrgent.Id_));
}

TEST_F(AdmissionTest, RefusesAnAttemptThatMustNotBeLate) {
  fill();
  AdmissionRequest Strict = request();
  Strict.LatencyTargetAt_ = Now_ + milliseconds(5);
  Strict.AcceptLate_ = false;
  AdmissionVerdict Verdict = admit(Table_, Strict, Now_);
  EXPECT_EQ(Verdict.Reason_, RefusalReason::MissesLatencyTarget);
}

// While requests in time are refused, a late request would not be started
// either.
TEST_F(AdmissionTest, RefusesLateRequestsDuringOverload) {
  fill();
  for (int Each = 0; Each < 40; ++Each) {
    AdmissionRequest Earlier = request();
    Earlier.LatencyTargetAt_ = Now_ + milliseconds(19);
    offer(Earlier);
  }
  AdmissionRequest Strict = request();
  Strict.LatencyTargetAt_ = Now_ + milliseconds(20);
  Strict.AcceptLate_ = false;
  ASSERT_EQ(admit(Table_, Strict, Now_).Reason_,
            RefusalReason::MissesLatencyTarget);
  AdmissionRequest Late = request();
  Late.LatencyTargetAt_ = Now_ + milliseconds(20);
  EXPECT_EQ(admit(Table_, Late, Now_).Reason_,
            RefusalReason::MissesLatencyTarget);
  Now_ += Table_.Options_.LateRefusalTime_;
  Late = request();
  Late.LatencyTargetAt_ = Now_ + milliseconds(20);
  EXPECT_EQ(offer(Late), AdmissionDecision::Queued);
}

TEST_F(AdmissionTest, RefusesALateRequestAfterItsShareOfWaiting) {
  fill();
  AdmissionRequest Late = request(0, seconds(1));
  Late.LatencyTargetAt_ = Now_ + milliseconds(5);
  ASSERT_EQ(offer(Late), AdmissionDecision::Queued);
  Now_ += milliseconds(510);
  dequeue();
  EXPECT_NE(std::find(Refused_.begin(), Refused_.end(), Late.Id_),
            Refused_.end());
}

// A hedge must not delay a request that has no other attempt.
TEST_F(AdmissionTest, RunsAHedgeOnlyInAFreeSlot) {
  AdmissionRequest Hedge = request();
  Hedge.FreeSlotOnly_ = true;
  EXPECT_EQ(offer(Hedge), AdmissionDecision::Run);
  fill();
  Hedge = request();
  Hedge.FreeSlotOnly_ = true;
  EXPECT_EQ(admit(Table_, Hedge, Now_).Reason_, RefusalReason::NoFreeSlot);
}

// A request with a limit of the wait must not be queued behind a long one, and
// its refusal must not put the target into the state in which it refuses late
// requests.
TEST_F(AdmissionTest, RefusesARequestThatWouldWaitLongerThanItsLimit) {
  fill();
  AdmissionRequest Limited = request();
  Limited.WaitLimit_ = milliseconds(1);
  AdmissionVerdict Verdict = admit(Table_, Limited, Now_);
  EXPECT_EQ(Verdict.Decision_, AdmissionDecision::Refused);
  EXPECT_EQ(Verdict.Reason_, RefusalReason::WaitLimit);
  EXPECT_FALSE(Table_.LatencyRefusalAt_);
  Limited.WaitLimit_ = seconds(1);
  EXPECT_EQ(offer(Limited), AdmissionDecision::Queued);
}

// Six running requests of 10 ms free the next slot after less than 1 ms, not
// after 5 ms; the longer estimate refused requests that were next in the queue.
TEST_F(AdmissionTest, ExpectsTheNextSlotEarlierThanAllSlots) {
  for (int I = 0; I < 6; ++I)
    ASSERT_EQ(offer(request()), AdmissionDecision::Run);
  AdmissionRequest Next = request();
  Next.WaitLimit_ = milliseconds(2);
  EXPECT_EQ(offer(Next), AdmissionDecision::Refused);
  Next.Id_ = NextId_++;
  Next.WaitForNextSlot_ = true;
  EXPECT_EQ(offer(Next), AdmissionDecision::Queued);
}

// A report without the time that has passed would keep requests away from
// targets that are about to be idle.
TEST_F(AdmissionTest, ReportsTheRemainingWorkInTime) {
  for (int I = 0; I < 6; ++I)
    offer(request());
  AdmissionRequest Waiting = request();
  Waiting.Priority_ = 1;
  ASSERT_EQ(offer(Waiting), AdmissionDecision::Queued);
  EXPECT_EQ(remainingWork(Table_, Now_), milliseconds(70));
  EXPECT_EQ(queuedWork(Table_)[workRank(0, 1)], milliseconds(10));
  EXPECT_EQ(remainingWork(Table_, Now_ + milliseconds(4)), milliseconds(46));
  // RemainingShare_ of 10 ms is left for each running request.
  EXPECT_EQ(remainingWork(Table_, Now_ + milliseconds(50)), milliseconds(25));
}
