// Guards against reported outcomes that differ from the content of the store if
// answers are lost, writes are applied late, the approver crashes, or the store
// is down or slow.
#include "DeskFixture.h"

using namespace sycamore;

namespace {

constexpr std::size_t MaxCalls = 9;

struct Crash {};

class TicketLostAnswer : public DeskFixture {
protected:
  std::uint64_t filed(const Ticket &Change) {
    Store_.resetFaults();
    return std::get<DeskAccepted>(file(Change, "setup")).Number_;
  }
  /// A new operator name for each run, which identifies the writes of that run.
  std::string nextOperator() { return "op-" + std::to_string(++Operators_); }

private:
  int Operators_ = 0;
};

} // namespace

TEST_F(TicketLostAnswer, OneLostAnswerIsResolvedByReading) {
  using Fault = FakeStore::Fault;
  std::size_t Found = 0;
  for (Fault Kind :
       {Fault::LostApplied, Fault::LostNotApplied, Fault::Late, Fault::Down})
    for (bool Compaction : {false, true})
      for (std::size_t Step = 1; Step <= MaxCalls; ++Step) {
        SCOPED_TRACE(Step);
        if (Compaction)
          fillHead();
        std::uint64_t Number = filed(serviceTicket("a", 1, LargeTitleBytes));
        std::string By = nextOperator();
        Store_.resetFaults();
        Store_.Faults_[Step] = Kind;
        DeskOutcome Outcome = approve(Number, By);
        Store_.resetFaults();
        EXPECT_TRUE(isAccepted(Outcome)) << textOf(Outcome);
        if (const auto *Accepted = std::get_if<DeskAccepted>(&Outcome))
          Found += Accepted->FoundByReading_ ? 1 : 0;
        expectTruthful(Outcome, By, TicketState::Accepted);
        expectValidChain();
      }
  EXPECT_GE(Found, 2U) << "no answer of the accepting write was lost";
}

TEST_F(TicketLostAnswer, FilingAndWithdrawalAreResolvedByReading) {
  using Fault = FakeStore::Fault;
  for (Fault Kind :
       {Fault::LostApplied, Fault::LostNotApplied, Fault::Late, Fault::Down})
    for (std::size_t Step = 1; Step <= 4; ++Step) {
      SCOPED_TRACE(Step);
      std::string By = nextOperator();
      Store_.resetFaults();
      Store_.Faults_[Step] = Kind;
      DeskOutcome Filed = file(serviceTicket("a", 1), By);
      ASSERT_TRUE(isAccepted(Filed)) << textOf(Filed);
      expectTruthful(Filed, By, TicketState::Filed);
      Store_.resetFaults();
      Store_.Faults_[Step] = Kind;
      DeskOutcome Gone = withdraw(std::get<DeskAccepted>(Filed).Number_, By);
      ASSERT_TRUE(isAccepted(Gone)) << textOf(Gone);
      expectTruthful(Gone, By, TicketState::Withdrawn);
    }
}

TEST_F(TicketLostAnswer, SilenceAfterALostAnswerIsUnknown) {
  using Fault = FakeStore::Fault;
  for (Fault Kind : {Fault::LostApplied, Fault::LostNotApplied, Fault::Late}) {
    std::uint64_t Number = filed(serviceTicket("a", 1));
    std::string By = nextOperator();
    Store_.resetFaults();
    Store_.EveryCall_ = Fault::Down;
    Store_.Faults_[1] = Fault::None; // Reads the head and the record.
    Store_.Faults_[2] = Kind;        // Writes the acceptance.
    DeskOutcome Outcome = approve(Number, By);
    Store_.resetFaults();
    ASSERT_TRUE(std::holds_alternative<DeskUnknown>(Outcome))
        << textOf(Outcome);
    EXPECT_EQ(failureOf(Outcome), ErrorKind::OutcomeUnknown);
    expectTruthful(Outcome, By, TicketState::Accepted);
    expectValidChain();
  }
}

TEST_F(TicketLostAnswer, LateAcceptanceThatNothingOvertookStaysUnknown) {
  using Fault = FakeStore::Fault;
  std::uint64_t Number = filed(serviceTicket("a", 1));
  Store_.resetFaults();
  Store_.LateCalls_ = 1000;
  for (std::size_t Call = 2; Call < 1000; Call += 2)
    Store_.Faults_[Call] = Fault::Late;
  DeskOutcome Outcome = approve(Number, "late");
  Store_.resetFaults();
  EXPECT_TRUE(std::holds_alternative<DeskUnknown>(Outcome)) << textOf(Outcome);
  Store_.settle();
  EXPECT_EQ(record(Number)->State_, TicketState::Accepted);
  expectValidChain();
}

TEST_F(TicketLostAnswer, DownStoreIsUnavailableWithinTheDeadline) {
  std::uint64_t Number = filed(serviceTicket("a", 1));
  Store_.EveryCall_ = FakeStore::Fault::Down;
  TimePoint Start = Store_.now();
  DeskOutcome Outcome = approve(Number);
  EXPECT_TRUE(std::holds_alternative<DeskNotAccepted>(Outcome));
  EXPECT_EQ(failureOf(Outcome), ErrorKind::Unavailable);
  EXPECT_EQ(failureOf(file(serviceTicket("b", 1))), ErrorKind::Unavailable);
  EXPECT_EQ(failureOf(withdraw(Number)), ErrorKind::Unavailable);
  EXPECT_LE(Store_.now() - Start, 3 * Desk_.Deadline_);
  EXPECT_LE(Store_.calls(), 100U) << "retries do not back off";
  EXPECT_EQ(record(Number)->State_, TicketState::Filed);
}

TEST_F(TicketLostAnswer, OutageWithinTheDeadlineIsSurvived) {
  std::uint64_t Number = filed(serviceTicket("a", 1));
  Store_.resetFaults();
  for (std::size_t Call = 1; Call <= 6; ++Call)
    Store_.Faults_[Call] = FakeStore::Fault::Down;
  EXPECT_TRUE(isAccepted(approve(Number)));
}

TEST_F(TicketLostAnswer, SlowStoreIsTruthfulOnBothSidesOfTheDeadline) {
  for (milliseconds Latency : {milliseconds(50), milliseconds(2900),
                               milliseconds(3100), milliseconds(9000)}) {
    std::uint64_t Number = filed(serviceTicket("a", 1));
    std::string By = nextOperator();
    Store_.Latency_ = Latency;
    TimePoint Start = Store_.now();
    DeskOutcome Outcome = approve(Number, By);
    EXPECT_LE(Store_.now() - Start, Desk_.Deadline_ + seconds(1));
    Store_.resetFaults();
    expectTruthful(Outcome, By, TicketState::Accepted);
    EXPECT_EQ(isAccepted(Outcome), Latency < milliseconds(3000))
        << textOf(Outcome);
  }
}

TEST_F(TicketLostAnswer, CrashOfTheApproverLeavesAValidChain) {
  for (bool After : {false, true})
    for (bool Compaction : {false, true})
      for (std::size_t Step = 1; Step <= MaxCalls; ++Step) {
        SCOPED_TRACE(Step);
        if (Compaction)
          fillHead();
        std::uint64_t Number = filed(serviceTicket("a", 1, LargeTitleBytes));
        std::string By = nextOperator();
        Store_.resetFaults();
        (After ? Store_.AfterCall_
               : Store_.BeforeCall_) = [Step](std::size_t Call) {
          if (Call == Step)
            throw Crash{};
        };
        try {
          approve(Number, By);
        } catch (const Crash &) {
        }
        Store_.resetFaults();
        expectValidChain();
        // The next approver completes the acceptance, or gets Conflict because
        // it is already complete.
        DeskOutcome Next = approve(Number, nextOperator());
        EXPECT_TRUE(isAccepted(Next) || failureOf(Next) == ErrorKind::Conflict)
            << textOf(Next);
        EXPECT_EQ(record(Number)->State_, TicketState::Accepted);
        expectValidChain();
      }
}

TEST_F(TicketLostAnswer, OrphansOfCrashedApproversDisappear) {
  for (std::uint32_t I = 1; I < 6; ++I) {
    fillHead();
    std::uint64_t Number = filed(serviceTicket("a", I, LargeTitleBytes));
    std::vector<std::string> Before = snapshotKeys();
    Store_.AfterCall_ = [&](std::size_t /*Call*/) {
      if (snapshotKeys() != Before)
        throw Crash{};
    };
    EXPECT_THROW(approve(Number), Crash);
    Store_.resetFaults();
    EXPECT_TRUE(isAccepted(withdraw(Number)));
    accept(serviceTicket("b", I, 1000));
  }
  fillHead();
  EXPECT_LE(snapshotKeys().size(), 2U);
  expectValidChain();
}
