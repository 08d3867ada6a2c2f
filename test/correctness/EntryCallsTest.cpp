// Guards against calls that run twice, wrong RUN_NOT_RUN results and answers
// assigned to the wrong call at the entry daemon.
#include "CallWorld.h"
#include "sycamore/CallBody.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace sycamore;

namespace {

TimePoint at(int Ms) { return TimePoint(milliseconds(1000 + Ms)); }

struct EntryCallsTest : testing::Test {
  EntryCalls Calls_;
  CallPolicy Policy_;
  std::vector<ChosenTarget> Targets_ = {
      {"s1", "t1", 11}, {"s2", "t2", 12}, {"s3", "t3", 13}};

  EntryCallsTest() {
    world::setMutationFromEnvironment();
    Calls_.Self_ = "entry";
    Calls_.Incarnation_ = 7;
    Policy_.ChooseTarget_ = [this](const EntryCall &,
                                   std::span<const std::string> Excluded)
        -> std::optional<ChosenTarget> {
      for (const ChosenTarget &Each : Targets_)
        if (std::find(Excluded.begin(), Excluded.end(), Each.Target_) ==
            Excluded.end())
          return Each;
      return std::nullopt;
    };
    Policy_.ConsumeRetry_ = [](const EntryCall &) { return true; };
    Policy_.HedgeDelay_ = [](const EntryCall &) -> std::optional<Duration> {
      return milliseconds(50);
    };
    Policy_.ConsumeHedge_ = [](const EntryCall &) { return true; };
  }

  /// Begins a call at time 0 with a deadline of 3 s and sends its first
  /// attempt.
  wire::CallRequest begin(bool Idempotent) {
    EntryCall Call;
    Call.Idempotent_ = Idempotent;
    Call.Deadline_ = at(3000);
    Call.Body_ = std::make_shared<const std::string>("body");
    return expectSent(beginCall(Calls_, Call, Policy_, at(0)), 0);
  }

  wire::CallRequest expectSent(const CallActions &Actions, int Ms) {
    for (const CallAction &Each : Actions)
      if (const auto *Attempt = std::get_if<SendAttempt>(&Each)) {
        markSent(Calls_, Attempt->Request_.id(), at(Ms));
        return Attempt->Request_;
      }
    ADD_FAILURE() << "no attempt was sent";
    return {};
  }

  static wire::CallAnswer doneAnswer(const wire::CallId &Id,
                                     const std::string &Body) {
    wire::CallAnswer Out;
    *Out.mutable_id() = Id;
    Out.set_run(wire::RUN_DONE);
    Out.set_status(200);
    Out.set_body_size(Body.size());
    Out.set_body_hash(bodyHash(Body));
    return Out;
  }

  CallActions receiveQueryAnswer(const wire::CallId &Id, wire::CallState State,
                                 std::uint64_t Process) {
    wire::CallQueryAnswer Out;
    *Out.mutable_id() = Id;
    Out.set_state(State);
    Out.set_process(Process);
    return onQueryAnswer(Calls_, "s1", Out, Policy_, at(500));
  }
};

template <typename T> const T *findAction(const CallActions &Actions) {
  for (const CallAction &Each : Actions)
    if (const T *Found = std::get_if<T>(&Each))
      return Found;
  return nullptr;
}

} // namespace

// A second attempt while the first may run would run the call twice.
TEST_F(EntryCallsTest, NonIdempotentCallOnASilentLinkIsQueriedNotRetried) {
  begin(false);
  CallActions Actions = tickEntryCalls(Calls_, Policy_, at(450));
  EXPECT_EQ(findAction<SendAttempt>(Actions), nullptr);
  const SendQuery *Query = findAction<SendQuery>(Actions);
  ASSERT_NE(Query, nullptr);
  EXPECT_TRUE(Query->ReplaceLink_);
  EXPECT_EQ(Query->Query_.process(), 11U);
}

// There is no link between a daemon and its own target.
TEST_F(EntryCallsTest, LongCallToTheOwnTargetIsNotOnASilentLink) {
  Targets_ = {{"entry", "t1", 7}, {"s2", "t2", 12}};
  begin(false);
  CallActions Actions = tickEntryCalls(Calls_, Policy_, at(450));
  EXPECT_EQ(findAction<SendAttempt>(Actions), nullptr);
  EXPECT_EQ(findAction<SendQuery>(Actions), nullptr);
  EXPECT_TRUE(takeEvents(Calls_).empty());
}

TEST_F(EntryCallsTest, PermanentRefusalAllowsAnotherTarget) {
  auto Request = begin(false);
  tickEntryCalls(Calls_, Policy_, at(450));
  auto Next = expectSent(
      receiveQueryAnswer(Request.id(), wire::CALL_REFUSED_FOR_GOOD, 11), 500);
  EXPECT_EQ(Next.target(), "t2");
  EXPECT_GT(Next.id().ordinal(), Request.id().ordinal());
}

// A restarted daemon does not know what its predecessor ran.
TEST_F(EntryCallsTest, RefusalByAnotherProcessLeavesTheOutcomeUnknown) {
  auto Request = begin(false);
  tickEntryCalls(Calls_, Policy_, at(450));
  CallActions Actions =
      receiveQueryAnswer(Request.id(), wire::CALL_REFUSED_FOR_GOOD, 99);
  const CallResult *Outcome = findAction<CallResult>(Actions);
  ASSERT_NE(Outcome, nullptr);
  EXPECT_EQ(Outcome->Run_, wire::RUN_UNKNOWN);
  EXPECT_EQ(Outcome->Status_, 502U);
}

TEST_F(EntryCallsTest, RunningAttemptIsQueriedAgainNotRetried) {
  auto Request = begin(false);
  tickEntryCalls(Calls_, Policy_, at(450));
  EXPECT_TRUE(receiveQueryAnswer(Request.id(), wire::CALL_RUNNING, 11).empty());
  CallActions Actions = tickEntryCalls(Calls_, Policy_, at(1001));
  EXPECT_EQ(findAction<SendAttempt>(Actions), nullptr);
  EXPECT_NE(findAction<SendQuery>(Actions), nullptr);
}

// A call that may still run must not be reported as RUN_NOT_RUN at its
// deadline.
TEST_F(EntryCallsTest, DeadlineWithAnOpenAttemptIsUnknown) {
  begin(false);
  CallActions Actions = tickEntryCalls(Calls_, Policy_, at(3000));
  const CallResult *Outcome = findAction<CallResult>(Actions);
  ASSERT_NE(Outcome, nullptr);
  EXPECT_EQ(Outcome->Run_, wire::RUN_UNKNOWN);
  EXPECT_EQ(Outcome->Status_, 504U);
  EXPECT_NE(findAction<SendCancel>(Actions), nullptr);
}

TEST_F(EntryCallsTest, DamagedBodyIsRequestedAgainAndNeverReturned) {
  auto Request = begin(false);
  auto Answer = doneAnswer(Request.id(), "whole");
  for (int I = 0; I < 2; ++I)
    EXPECT_NE(findAction<SendQuery>(
                  onAnswer(Calls_, "s1", Answer, "who", Policy_, at(10))),
              nullptr);
  auto Actions = onAnswer(Calls_, "s1", Answer, "wholf", Policy_, at(10));
  const CallResult *Outcome = findAction<CallResult>(Actions);
  ASSERT_NE(Outcome, nullptr);
  EXPECT_EQ(Outcome->Run_, wire::RUN_DONE);
  EXPECT_EQ(Outcome->Status_, 502U);
  EXPECT_TRUE(Outcome->Body_.empty());
}

// A caller takes the headers of a failure, such as a seal, for the target's.
TEST_F(EntryCallsTest, DamagedAnswerIsNotReturnedWithTheTargetsHeaders) {
  auto Request = begin(false);
  auto Answer = doneAnswer(Request.id(), "whole");
  wire::Header &Seal = *Answer.add_headers();
  Seal.set_name("x-seal");
  Seal.set_value("sealed");
  CallActions Actions;
  for (int I = 0; I < 3; ++I)
    Actions = onAnswer(Calls_, "s1", Answer, "who", Policy_, at(10));
  const CallResult *Outcome = findAction<CallResult>(Actions);
  ASSERT_NE(Outcome, nullptr);
  EXPECT_EQ(Outcome->Status_, 502U);
  EXPECT_EQ(Outcome->Answer_.headers_size(), 0);
}

// A caller that reads 503 as "not run" sends the request again, and it runs
// twice.
TEST_F(EntryCallsTest, ATargetsOwnRefusalOfACallThatMayHaveRunIsWithheld) {
  Calls_.Limits_.RefusalStatuses_ = {408, 421, 429, 503};
  for (std::uint32_t Status : {408U, 421U, 429U, 503U, 500U, 504U, 404U})
    for (bool Idempotent : {false, true}) {
      auto Request = begin(Idempotent);
      auto Answer = doneAnswer(Request.id(), "the ledger is read-only");
      Answer.set_status(Status);
      wire::Header &Seal = *Answer.add_headers();
      Seal.set_name("x-seal");
      Seal.set_value("sealed");
      auto Actions = onAnswer(Calls_, "s1", Answer, "the ledger is read-only",
                              Policy_, at(10));
      const CallResult *Outcome = findAction<CallResult>(Actions);
      ASSERT_NE(Outcome, nullptr);
      EXPECT_EQ(Outcome->Run_, wire::RUN_DONE);
      bool Withheld =
          !Idempotent && Status != 500 && Status != 504 && Status != 404;
      EXPECT_EQ(Outcome->Status_, Withheld ? 502U : Status) << Idempotent;
      EXPECT_EQ(Outcome->Error_.has_value(), Withheld) << Status;
      EXPECT_EQ(Outcome->Answer_.headers_size(), Withheld ? 0 : 1) << Status;
      EXPECT_EQ(Outcome->Body_,
                Withheld ? "" : std::string("the ledger is read-only"));
    }
  EXPECT_EQ(Calls_.Counters_.RefusalsWithheld_, 4U);
}

// Callers that read the outcome of a run in a header get every answer.
TEST_F(EntryCallsTest,
       ATargetsOwnRefusalIsReturnedToCallersThatReadTheOutcome) {
  auto Request = begin(false);
  auto Answer = doneAnswer(Request.id(), "x");
  Answer.set_status(503);
  auto Actions = onAnswer(Calls_, "s1", Answer, "x", Policy_, at(10));
  ASSERT_NE(findAction<CallResult>(Actions), nullptr);
  EXPECT_EQ(findAction<CallResult>(Actions)->Status_, 503U);
  EXPECT_EQ(findAction<CallResult>(Actions)->Run_, wire::RUN_DONE);
}

// Answers after the call ended, from another incarnation or from another server
// would reach the wrong caller.
TEST_F(EntryCallsTest, DropsAndCountsAnswersThatDoNotMatch) {
  auto Request = begin(false);
  auto Answer = doneAnswer(Request.id(), "x");
  EXPECT_TRUE(onAnswer(Calls_, "s2", Answer, "x", Policy_, at(1)).empty());
  Answer.mutable_id()->set_incarnation(6);
  EXPECT_TRUE(onAnswer(Calls_, "s1", Answer, "x", Policy_, at(1)).empty());
  Answer.mutable_id()->set_incarnation(7);
  EXPECT_NE(findAction<CallResult>(
                onAnswer(Calls_, "s1", Answer, "x", Policy_, at(2))),
            nullptr);
  EXPECT_TRUE(onAnswer(Calls_, "s1", Answer, "x", Policy_, at(3)).empty());
  EXPECT_EQ(Calls_.Counters_.MismatchedAnswers_, 2U);
  EXPECT_EQ(Calls_.Counters_.LateAnswers_, 1U);
}

TEST_F(EntryCallsTest, FirstAnswerCancelsTheOtherAttemptOfAHedge) {
  begin(true);
  auto Hedge = expectSent(tickEntryCalls(Calls_, Policy_, at(50)), 50);
  EXPECT_EQ(Hedge.target(), "t2");
  auto Actions =
      onAnswer(Calls_, "s2", doneAnswer(Hedge.id(), "x"), "x", Policy_, at(60));
  const SendCancel *Cancel = findAction<SendCancel>(Actions);
  ASSERT_NE(Cancel, nullptr);
  EXPECT_EQ(Cancel->Server_, "s1");
  EXPECT_TRUE(Calls_.Calls_.empty());
}

TEST_F(EntryCallsTest, RefusalByEveryTargetIsNotRun) {
  auto Request = begin(false);
  CallActions Actions;
  for (int I = 0; I < 3; ++I) {
    wire::CallAnswer Refusal;
    *Refusal.mutable_id() = Request.id();
    Refusal.set_run(wire::RUN_NOT_RUN);
    Refusal.set_process(11 + static_cast<std::uint64_t>(I));
    Refusal.set_retry_after_ms(70);
    Actions = onAnswer(Calls_, "s" + std::to_string(I + 1), Refusal, "",
                       Policy_, at(I));
    if (I < 2)
      Request = expectSent(Actions, I);
  }
  const CallResult *Outcome = findAction<CallResult>(Actions);
  ASSERT_NE(Outcome, nullptr);
  EXPECT_EQ(Outcome->Run_, wire::RUN_NOT_RUN);
  EXPECT_EQ(Outcome->RetryAfter_, milliseconds(70));
}

// If the request names no process, a restarted daemon could run a second copy.
TEST_F(EntryCallsTest, NonIdempotentCallIsNotSentToAnUnknownProcess) {
  Targets_ = {{"s1", "t1", 0}};
  EntryCall Call;
  Call.Deadline_ = at(1000);
  auto Actions = beginCall(Calls_, Call, Policy_, at(0));
  ASSERT_NE(findAction<CallResult>(Actions), nullptr);
  EXPECT_EQ(findAction<CallResult>(Actions)->Run_, wire::RUN_NOT_RUN);
}

namespace {

wire::CallAnswer refusal(const wire::CallId &Id, std::uint64_t Process,
                         bool Reached) {
  wire::CallAnswer Out;
  *Out.mutable_id() = Id;
  Out.set_run(wire::RUN_NOT_RUN);
  Out.set_process(Process);
  Out.set_reached_target(Reached);
  return Out;
}

EntryCall callWithLatencyTarget(std::uint32_t MaxTargets) {
  EntryCall Out;
  Out.Deadline_ = at(1000);
  Out.LatencyTargetAt_ = at(200);
  Out.MaxTargets_ = MaxTargets;
  Out.Idempotent_ = true;
  return Out;
}

} // namespace

// The retry budget limits requests that arrive at targets. A refusal by a
// target's daemon is not such an arrival.
TEST_F(EntryCallsTest, RetriesWithoutBudgetWhileNoTargetWasReached) {
  Policy_.ConsumeRetry_ = [](const EntryCall &) { return false; };
  auto First = expectSent(
      beginCall(Calls_, callWithLatencyTarget(2), Policy_, at(0)), 0);
  EXPECT_FALSE(First.accept_late());
  auto Second =
      expectSent(onAnswer(Calls_, "s1", refusal(First.id(), 11, false), "",
                          Policy_, at(1)),
                 1);
  EXPECT_TRUE(Second.accept_late());
  CallActions Actions = onAnswer(Calls_, Second.target() == "t1" ? "s1" : "s2",
                                 refusal(Second.id(), Second.process(), true),
                                 "", Policy_, at(2));
  ASSERT_NE(findAction<CallResult>(Actions), nullptr);
  EXPECT_EQ(findAction<CallResult>(Actions)->Run_, wire::RUN_NOT_RUN);
}

// A route's limit on targets applies to hedges as well as to retries.
TEST_F(EntryCallsTest, SendsNoHedgeBeyondTheRoutesLimitOfTargets) {
  expectSent(beginCall(Calls_, callWithLatencyTarget(1), Policy_, at(0)), 0);
  EXPECT_EQ(findAction<SendAttempt>(tickEntryCalls(Calls_, Policy_, at(60))),
            nullptr);
}

// With 504 a request may have run. One that is proven not to have run may be
// sent again, so it gets 503.
TEST_F(EntryCallsTest, PassedDeadlineWithProofOfNotRunIsARefusal) {
  Targets_ = {};
  EntryCall Call;
  Call.Deadline_ = at(-1);
  CallActions Actions = beginCall(Calls_, Call, Policy_, at(0));
  ASSERT_NE(findAction<CallResult>(Actions), nullptr);
  EXPECT_EQ(findAction<CallResult>(Actions)->Run_, wire::RUN_NOT_RUN);
  EXPECT_EQ(findAction<CallResult>(Actions)->Status_, 503U);
}

// A target that could not answer in time refuses late requests for a while too.
// Trying it again costs messages and body bytes and never succeeds.
TEST_F(EntryCallsTest, TriesNoTargetTwice) {
  Targets_ = {{"s1", "t1", 11}};
  auto First = expectSent(
      beginCall(Calls_, callWithLatencyTarget(2), Policy_, at(0)), 0);
  CallActions Actions = onAnswer(Calls_, "s1", refusal(First.id(), 11, false),
                                 "", Policy_, at(1));
  EXPECT_EQ(findAction<SendAttempt>(Actions), nullptr);
  ASSERT_NE(findAction<CallResult>(Actions), nullptr);
  EXPECT_EQ(findAction<CallResult>(Actions)->Run_, wire::RUN_NOT_RUN);
}

// The membership record of a restarted daemon may arrive before its first
// message. A call already sent to the new process must not become RUN_UNKNOWN
// when that message arrives.
TEST_F(EntryCallsTest, RestartKeepsAttemptsSentToTheNewProcess) {
  Targets_ = {{"s1", "t1", 12}};
  EntryCall Call = callWithLatencyTarget(2);
  Call.Idempotent_ = false;
  auto First = expectSent(beginCall(Calls_, Call, Policy_, at(0)), 0);
  EXPECT_EQ(First.process(), 12U);
  EXPECT_TRUE(onServerRestarted(Calls_, "s1", 12, Policy_, at(1)).empty());
  CallActions Later = onServerRestarted(Calls_, "s1", 13, Policy_, at(2));
  ASSERT_NE(findAction<CallResult>(Later), nullptr);
  EXPECT_EQ(findAction<CallResult>(Later)->Run_, wire::RUN_UNKNOWN);
}

// A request that has already missed its latency target at its caller must
// accept late answers from the first attempt; otherwise every target would
// refuse it.
TEST_F(EntryCallsTest, RequestPastItsLatencyTargetAcceptsLateAtOnce) {
  EntryCall Call = callWithLatencyTarget(2);
  Call.LatencyTargetAt_ = at(0);
  auto First = expectSent(beginCall(Calls_, Call, Policy_, at(0)), 0);
  EXPECT_TRUE(First.accept_late());
}

// Refusals because of the wait limit reach no target: they must not use up the
// attempts of the call or its retry budget, and the last attempt has no limit
// and may go to a target that refused before.
TEST_F(EntryCallsTest, AttemptsWithAWaitLimitComeBeforeTheOthers) {
  Policy_.WaitLimit_ = [](const EntryCall &, std::uint32_t Earlier) {
    return Earlier < 2 ? std::optional<Duration>(milliseconds(5))
                       : std::nullopt;
  };
  Policy_.ConsumeRetry_ = [](const EntryCall &) {
    ADD_FAILURE() << "a refusal that reached no target used the retry budget";
    return false;
  };
  wire::CallRequest Sent = begin(false);
  for (std::uint64_t Limit : {5000U, 5000U, 0U}) {
    EXPECT_EQ(Sent.wait_limit_us(), Limit);
    if (Limit == 0)
      break;
    wire::CallAnswer Refusal;
    *Refusal.mutable_id() = Sent.id();
    Refusal.set_run(wire::RUN_NOT_RUN);
    Refusal.set_process(Sent.process());
    std::string Server = Sent.target() == "t1" ? "s1" : "s2";
    Sent = expectSent(onAnswer(Calls_, Server, Refusal, "", Policy_, at(5)), 5);
  }
  EXPECT_EQ(Sent.target(), "t1");
  EXPECT_EQ(Calls_.Counters_.WaitLimited_, 2U);
}
