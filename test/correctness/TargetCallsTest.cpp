// Guards against attempts that run twice or after their deadline, and against
// wrong answers to queries about calls whose records were dropped.
#include "CallWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(1'000'000 + Ms)); }

TargetCalls makeCalls() {
  world::setMutationFromEnvironment();
  TargetCalls Out;
  Out.Process_ = 5;
  Out.LastTick_ = at(0);
  return Out;
}

wire::CallRequest request(std::uint64_t Ordinal, int RemainingMs = 1000) {
  wire::CallRequest Out;
  Out.mutable_id()->set_entry("entry");
  Out.mutable_id()->set_incarnation(3);
  Out.mutable_id()->set_sequence(Ordinal);
  Out.mutable_id()->set_attempt(1);
  Out.mutable_id()->set_ordinal(Ordinal);
  Out.set_process(5);
  Out.set_remaining_us(static_cast<std::uint64_t>(RemainingMs) * 1000);
  return Out;
}

wire::CallState query(TargetCalls &Calls, std::uint64_t Ordinal, int Ms) {
  wire::CallQuery Query;
  *Query.mutable_id() = request(Ordinal).id();
  Query.set_process(5);
  return onQuery(Calls, Query, at(Ms)).QueryAnswer_.state();
}

void finish(TargetCalls &Calls, std::uint64_t Ordinal, int Ms,
            const std::string &Body = "body") {
  wire::CallAnswer Answer;
  *Answer.mutable_id() = request(Ordinal).id();
  Answer.set_run(wire::RUN_DONE);
  recordRunning(Calls, Answer.id(), at(Ms));
  recordEnd(Calls, Answer, std::make_shared<const std::string>(Body), at(Ms));
}

Acceptance accept(TargetCalls &Calls, const wire::CallRequest &Request,
                  int Ms) {
  return acceptRequest(Calls, Request, at(Ms)).Acceptance_;
}

} // namespace

TEST(TargetCalls, RunsOnceAndReplaysTheAnswer) {
  TargetCalls Calls = makeCalls();
  EXPECT_EQ(accept(Calls, request(1), 1), Acceptance::New);
  EXPECT_EQ(accept(Calls, request(1), 2), Acceptance::DuplicateRunning);
  EXPECT_EQ(query(Calls, 1, 3), wire::CALL_RUNNING);
  finish(Calls, 1, 4);
  AcceptResult Again = acceptRequest(Calls, request(1), at(5));
  EXPECT_EQ(Again.Acceptance_, Acceptance::Replay);
  EXPECT_EQ(*Again.Body_, "body");
  EXPECT_EQ(query(Calls, 1, 6), wire::CALL_DONE);
}

// After this answer the entry daemon may send the call to another target, so
// the first attempt must not run.
TEST(TargetCalls, QueryBeforeTheRequestRefusesItForGood) {
  TargetCalls Calls = makeCalls();
  EXPECT_EQ(query(Calls, 1, 1), wire::CALL_REFUSED_FOR_GOOD);
  EXPECT_EQ(accept(Calls, request(1), 2), Acceptance::RefusedPermanently);
}

TEST(TargetCalls, ReportsCallsOfAnEarlierProcessAsForgotten) {
  TargetCalls Calls = makeCalls();
  wire::CallRequest Old = request(1);
  Old.set_process(4);
  EXPECT_EQ(accept(Calls, Old, 1), Acceptance::WrongProcess);
  wire::CallQuery Query;
  *Query.mutable_id() = Old.id();
  Query.set_process(4);
  EXPECT_EQ(onQuery(Calls, Query, at(2)).QueryAnswer_.state(),
            wire::CALL_FORGOTTEN);
}

// The callers of expired requests have already received an error, so running
// these requests is wasted or harmful.
TEST(TargetCalls, RefusesRequestsThatMayHaveExpiredDuringAPause) {
  TargetCalls Calls = makeCalls();
  // The first request is read before the first tick after a pause of 5 s, the
  // next ones shortly after this tick.
  EXPECT_EQ(accept(Calls, request(1, 3000), 5000), Acceptance::Expired);
  tickTargetCalls(Calls, at(5001));
  EXPECT_EQ(accept(Calls, request(2, 3000), 5500), Acceptance::Expired);
  EXPECT_EQ(accept(Calls, request(3, 6000), 5500), Acceptance::New);
  for (int Ms = 5020; Ms <= 6020; Ms += 20)
    tickTargetCalls(Calls, at(Ms));
  EXPECT_EQ(accept(Calls, request(4, 3000), 6025), Acceptance::New);
  // The entry daemon has received RUN_NOT_RUN, so no copy may run.
  EXPECT_NE(accept(Calls, request(1, 3000), 6025), Acceptance::New);
}

// Configuration changes hold the loop for 110 ms each, 400 ms apart.
TEST(TargetCalls, RepeatedPausesDoNotRefuseRequestsThatDidNotWait) {
  TargetCalls Calls = makeCalls();
  constexpr int TransitMs = 2;
  constexpr int SenderClockAheadMs = 70000;
  std::uint64_t Ordinal = 0;
  auto Accept = [&](int SentMs, int ReadMs) {
    wire::CallRequest Request = request(++Ordinal, 270);
    Request.set_sent_us(
        static_cast<std::uint64_t>(SentMs + SenderClockAheadMs) * 1000);
    return acceptRequest(Calls, Request, at(ReadMs));
  };
  EXPECT_EQ(Accept(10, 10 + TransitMs).Acceptance_, Acceptance::New);
  int Ms = 20;
  tickTargetCalls(Calls, at(Ms));
  for (int Pause = 0; Pause < 10; ++Pause) {
    Ms += 110;
    tickTargetCalls(Calls, at(Ms));
    AcceptResult Waited = Accept(Ms - 100, Ms + TransitMs);
    EXPECT_EQ(Waited.Acceptance_, Acceptance::New);
    EXPECT_EQ(Waited.Remaining_, milliseconds(270 - 100));
    for (int Tick = 0; Tick < 20; ++Tick)
      tickTargetCalls(Calls, at(Ms += 20));
    AcceptResult Read = Accept(Ms, Ms + TransitMs);
    EXPECT_EQ(Read.Acceptance_, Acceptance::New) << "after pause " << Pause;
    EXPECT_EQ(Read.Remaining_, milliseconds(270));
  }
}

TEST(TargetCalls, RequestDelayedWithoutAPauseExpires) {
  TargetCalls Calls = makeCalls();
  wire::CallRequest First = request(1, 270);
  First.set_sent_us(1'000'000);
  EXPECT_EQ(accept(Calls, First, 10), Acceptance::New);
  wire::CallRequest Delayed = request(2, 270);
  Delayed.set_sent_us(1'000'000);
  for (int Ms = 20; Ms <= 300; Ms += 20)
    tickTargetCalls(Calls, at(Ms));
  EXPECT_EQ(accept(Calls, Delayed, 300), Acceptance::Expired);
}

TEST(TargetCalls, CancelledCallIsNotSentToTheTarget) {
  TargetCalls Calls = makeCalls();
  accept(Calls, request(1), 1);
  EXPECT_EQ(onCancel(Calls, request(1).id(), at(2)), CancelResult::Dequeue);
  EXPECT_FALSE(recordRunning(Calls, request(1).id(), at(3)));
  accept(Calls, request(2), 4);
  EXPECT_TRUE(recordRunning(Calls, request(2).id(), at(5)));
  EXPECT_EQ(onCancel(Calls, request(2).id(), at(6)), CancelResult::Abort);
  EXPECT_EQ(onCancel(Calls, request(3).id(), at(7)), CancelResult::NoAction);
  EXPECT_EQ(accept(Calls, request(3), 8), Acceptance::RefusedPermanently);
}

TEST(TargetCalls, CallWithDroppedAnswerIsStillReportedAsRun) {
  TargetCalls Calls = makeCalls();
  Calls.Limits_.MaxAnswerBytes_ = 10;
  for (std::uint64_t I = 1; I <= 2; ++I) {
    accept(Calls, request(I), 1);
    finish(Calls, I, 2, "8 bytes.");
  }
  AcceptResult Again = acceptRequest(Calls, request(1), at(3));
  EXPECT_EQ(Again.Answer_.run(), wire::RUN_DONE);
  EXPECT_EQ(Again.Answer_.status(), 502U);
  EXPECT_LE(Calls.AnswerBytes_, 10U);
}

// With any bounds, the table must neither run a call twice nor state that a
// call whose record was dropped did not run.
RC_GTEST_PROP(TargetCalls, BoundedTableGivesNoWrongOutcome, ()) {
  TargetCalls Calls = makeCalls();
  Calls.Limits_.MaxRecords_ = *rc::gen::inRange(1, 6);
  Calls.Limits_.MaxProcesses_ = *rc::gen::inRange(1, 4);
  Calls.Limits_.RetentionTime_ = milliseconds(50);
  std::map<std::pair<std::uint64_t, std::uint64_t>, int> Ran;
  std::map<std::pair<std::uint64_t, std::uint64_t>, bool> Refused;
  int Steps = *rc::gen::inRange(1, 200);
  for (int Step = 0; Step < Steps; ++Step) {
    std::uint64_t Ordinal = *rc::gen::inRange(1, 12);
    wire::CallRequest Request = request(Ordinal);
    std::uint64_t Process = *rc::gen::inRange(1, 5);
    Request.mutable_id()->set_incarnation(Process);
    auto Key = std::pair(Process, Ordinal);
    if (*rc::gen::arbitrary<bool>()) {
      AcceptResult Accepted = acceptRequest(Calls, Request, at(Step * 20));
      if (Accepted.Acceptance_ == Acceptance::New) {
        ++Ran[Key];
        RC_ASSERT(!Refused[Key]);
        wire::CallAnswer Answer;
        *Answer.mutable_id() = Request.id();
        Answer.set_run(wire::RUN_DONE);
        recordRunning(Calls, Request.id(), at(Step * 20));
        recordEnd(Calls, Answer, nullptr, at(Step * 20));
      } else if (Accepted.Answer_.run() == wire::RUN_NOT_RUN) {
        Refused[Key] = true;
        RC_ASSERT(Ran[Key] == 0);
      }
    } else {
      wire::CallQuery Query;
      *Query.mutable_id() = Request.id();
      auto State = onQuery(Calls, Query, at(Step * 20)).QueryAnswer_.state();
      if (State == wire::CALL_REFUSED_FOR_GOOD) {
        Refused[Key] = true;
        RC_ASSERT(Ran[Key] == 0);
      }
    }
    RC_ASSERT(Ran[Key] <= 1);
    tickTargetCalls(Calls, at(Step * 20));
    RC_ASSERT(Calls.Records_ <= Calls.Limits_.MaxRecords_);
    RC_ASSERT(Calls.Processes_.size() <= Calls.Limits_.MaxProcesses_);
  }
}
