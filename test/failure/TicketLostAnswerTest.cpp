// Guards against reported outcomes that differ from the content of the store if
// answers are lost, writes are applied late, the approver crashes, or the store
// is down or slow.
#include "TicketFixture.h"

using namespace sycamore;

namespace {

constexpr std::size_t MaxCalls = 9;

struct Crash {};

class TicketLostAnswer : public TicketFixture {
protected:
  std::uint64_t fileWithoutFaults(const Ticket &Change) {
    Store_.resetFaults();
    return std::get<TicketActionAccepted>(file(Change, "setup")).Number_;
  }
  /// A new operator name for each run, which identifies the writes of that run.
  std::string nextOperator() {
    return "op-" + std::to_string(++OperatorCount_);
  }

private:
  int OperatorCount_ = 0;
};

} // namespace

TEST_F(TicketLostAnswer, OneLostAnswerIsResolvedByReading) {
  using Fault = FakeStore::Fault;
  std::size_t FoundByReading = 0;
  for (Fault Kind : {Fault::LostApplied, Fault::LostNotApplied,
                     Fault::LostAppliedLate, Fault::Down})
    for (bool Compaction : {false, true})
      for (std::size_t CallNumber = 1; CallNumber <= MaxCalls; ++CallNumber) {
        SCOPED_TRACE(CallNumber);
        if (Compaction)
          fillHead();
        std::uint64_t Number =
            fileWithoutFaults(serviceTicket("a", 1, LargeTitleBytes));
        std::string Operator = nextOperator();
        Store_.resetFaults();
        Store_.Faults_[CallNumber] = Kind;
        TicketActionOutcome Outcome = approve(Number, Operator);
        Store_.resetFaults();
        EXPECT_TRUE(isAccepted(Outcome)) << describeOutcome(Outcome);
        if (const auto *Accepted = std::get_if<TicketActionAccepted>(&Outcome))
          FoundByReading += Accepted->FoundByReading_ ? 1 : 0;
        expectOutcomeMatchesStore(Outcome, Operator, TicketState::Accepted);
        expectValidChain();
      }
  EXPECT_GE(FoundByReading, 2U) << "no answer of the accepting write was lost";
}

TEST_F(TicketLostAnswer, FilingAndWithdrawalAreResolvedByReading) {
  using Fault = FakeStore::Fault;
  for (Fault Kind : {Fault::LostApplied, Fault::LostNotApplied,
                     Fault::LostAppliedLate, Fault::Down})
    for (std::size_t CallNumber = 1; CallNumber <= 4; ++CallNumber) {
      SCOPED_TRACE(CallNumber);
      std::string Operator = nextOperator();
      Store_.resetFaults();
      Store_.Faults_[CallNumber] = Kind;
      TicketActionOutcome Filed = file(serviceTicket("a", 1), Operator);
      ASSERT_TRUE(isAccepted(Filed)) << describeOutcome(Filed);
      expectOutcomeMatchesStore(Filed, Operator, TicketState::Filed);
      Store_.resetFaults();
      Store_.Faults_[CallNumber] = Kind;
      TicketActionOutcome Withdrawal =
          withdraw(std::get<TicketActionAccepted>(Filed).Number_, Operator);
      ASSERT_TRUE(isAccepted(Withdrawal)) << describeOutcome(Withdrawal);
      expectOutcomeMatchesStore(Withdrawal, Operator, TicketState::Withdrawn);
    }
}

TEST_F(TicketLostAnswer, SilenceAfterALostAnswerIsUnknown) {
  using Fault = FakeStore::Fault;
  for (Fault Kind :
       {Fault::LostApplied, Fault::LostNotApplied, Fault::LostAppliedLate}) {
    std::uint64_t Number = fileWithoutFaults(serviceTicket("a", 1));
    std::string Operator = nextOperator();
    Store_.resetFaults();
    Store_.DefaultFault_ = Fault::Down;
    Store_.Faults_[1] = Fault::None; // Reads the head and the record.
    Store_.Faults_[2] = Kind;        // Writes the acceptance.
    TicketActionOutcome Outcome = approve(Number, Operator);
    Store_.resetFaults();
    ASSERT_TRUE(std::holds_alternative<TicketActionUnknown>(Outcome))
        << describeOutcome(Outcome);
    EXPECT_EQ(errorKindOf(Outcome), ErrorKind::OutcomeUnknown);
    expectOutcomeMatchesStore(Outcome, Operator, TicketState::Accepted);
    expectValidChain();
  }
}

TEST_F(TicketLostAnswer, LateAcceptanceWithoutOtherWritesStaysUnknown) {
  using Fault = FakeStore::Fault;
  std::uint64_t Number = fileWithoutFaults(serviceTicket("a", 1));
  Store_.resetFaults();
  Store_.LateByCalls_ = 1000;
  for (std::size_t Call = 2; Call < 1000; Call += 2)
    Store_.Faults_[Call] = Fault::LostAppliedLate;
  TicketActionOutcome Outcome = approve(Number, "late");
  Store_.resetFaults();
  EXPECT_TRUE(std::holds_alternative<TicketActionUnknown>(Outcome))
      << describeOutcome(Outcome);
  Store_.applyPendingCalls();
  EXPECT_EQ(record(Number)->State_, TicketState::Accepted);
  expectValidChain();
}

TEST_F(TicketLostAnswer, DownStoreIsUnavailableWithinTheDeadline) {
  std::uint64_t Number = fileWithoutFaults(serviceTicket("a", 1));
  Store_.DefaultFault_ = FakeStore::Fault::Down;
  TimePoint Start = Store_.now();
  TicketActionOutcome Outcome = approve(Number);
  EXPECT_TRUE(std::holds_alternative<TicketActionNotAccepted>(Outcome));
  EXPECT_EQ(errorKindOf(Outcome), ErrorKind::Unavailable);
  EXPECT_EQ(errorKindOf(file(serviceTicket("b", 1))), ErrorKind::Unavailable);
  EXPECT_EQ(errorKindOf(withdraw(Number)), ErrorKind::Unavailable);
  EXPECT_LE(Store_.now() - Start, 3 * TicketSession_.Deadline_);
  EXPECT_LE(Store_.calls(), 100U) << "retries do not back off";
  EXPECT_EQ(record(Number)->State_, TicketState::Filed);
}

TEST_F(TicketLostAnswer, OutageShorterThanTheDeadlineIsRetried) {
  std::uint64_t Number = fileWithoutFaults(serviceTicket("a", 1));
  Store_.resetFaults();
  for (std::size_t Call = 1; Call <= 6; ++Call)
    Store_.Faults_[Call] = FakeStore::Fault::Down;
  EXPECT_TRUE(isAccepted(approve(Number)));
}

TEST_F(TicketLostAnswer, SlowStoreOutcomesMatchTheStore) {
  for (milliseconds Latency : {milliseconds(50), milliseconds(2900),
                               milliseconds(3100), milliseconds(9000)}) {
    std::uint64_t Number = fileWithoutFaults(serviceTicket("a", 1));
    std::string Operator = nextOperator();
    Store_.Latency_ = Latency;
    TimePoint Start = Store_.now();
    TicketActionOutcome Outcome = approve(Number, Operator);
    EXPECT_LE(Store_.now() - Start, TicketSession_.Deadline_ + seconds(1));
    Store_.resetFaults();
    expectOutcomeMatchesStore(Outcome, Operator, TicketState::Accepted);
    EXPECT_EQ(isAccepted(Outcome), Latency < milliseconds(3000))
        << describeOutcome(Outcome);
  }
}

TEST_F(TicketLostAnswer, CrashOfTheApproverLeavesAValidChain) {
  for (bool CrashAfterCall : {false, true})
    for (bool Compaction : {false, true})
      for (std::size_t CallNumber = 1; CallNumber <= MaxCalls; ++CallNumber) {
        SCOPED_TRACE(CallNumber);
        if (Compaction)
          fillHead();
        std::uint64_t Number =
            fileWithoutFaults(serviceTicket("a", 1, LargeTitleBytes));
        std::string Operator = nextOperator();
        Store_.resetFaults();
        (CrashAfterCall ? Store_.AfterCall_
                        : Store_.BeforeCall_) = [CallNumber](std::size_t Call) {
          if (Call == CallNumber)
            throw Crash{};
        };
        try {
          approve(Number, Operator);
        } catch (const Crash &) {
        }
        Store_.resetFaults();
        expectValidChain();
        // The next approver completes the acceptance, or gets Conflict because
        // it is already complete.
        TicketActionOutcome Next = approve(Number, nextOperator());
        EXPECT_TRUE(isAccepted(Next) ||
                    errorKindOf(Next) == ErrorKind::Conflict)
            << describeOutcome(Next);
        EXPECT_EQ(record(Number)->State_, TicketState::Accepted);
        expectValidChain();
      }
}

TEST_F(TicketLostAnswer, OrphanedSnapshotsOfCrashedApproversAreDeleted) {
  for (std::uint32_t I = 1; I < 6; ++I) {
    fillHead();
    std::uint64_t Number =
        fileWithoutFaults(serviceTicket("a", I, LargeTitleBytes));
    std::vector<std::string> Before = snapshotKeys();
    Store_.AfterCall_ = [&](std::size_t /*Call*/) {
      if (snapshotKeys() != Before)
        throw Crash{};
    };
    EXPECT_THROW(approve(Number), Crash);
    Store_.resetFaults();
    EXPECT_TRUE(isAccepted(withdraw(Number)));
    fileAndApprove(serviceTicket("b", I, 1000));
  }
  fillHead();
  EXPECT_LE(snapshotKeys().size(), 2U);
  expectValidChain();
}
