// Guards against concurrent actions that overwrite each other's changes or
// report a wrong outcome. A concurrent action runs before each store
// call of an action in turn.
#include "TicketFixture.h"

using namespace sycamore;

namespace {

/// Above the number of store calls of any action below.
constexpr std::size_t MaxCalls = 8;

class TicketRace : public TicketFixture {
protected:
  /// Runs ConcurrentAction before store call CallNumber of the next action.
  template <typename Action>
  void runBeforeCall(std::size_t CallNumber, Action ConcurrentAction) {
    Store_.resetFaults();
    Store_.BeforeCall_ = [CallNumber, ConcurrentAction](std::size_t Call) {
      if (Call == CallNumber)
        ConcurrentAction();
    };
  }

  std::uint64_t fileWithoutFaults(const Ticket &Change) {
    Store_.resetFaults();
    return std::get<TicketActionAccepted>(file(Change, "setup")).Number_;
  }
};

} // namespace

TEST_F(TicketRace, ApprovalsOfDifferentEntitiesBothSucceed) {
  std::uint32_t Value = 0;
  for (bool Compaction : {false, true})
    for (std::size_t CallNumber = 1; CallNumber <= MaxCalls; ++CallNumber) {
      SCOPED_TRACE(CallNumber);
      if (Compaction)
        fillHead();
      // A value that the state does not have yet, so that a lost update is
      // detected.
      ++Value;
      std::uint64_t LowNumber = fileWithoutFaults(serviceTicket("a", Value));
      std::uint64_t HighNumber = fileWithoutFaults(serviceTicket("b", Value));
      TicketActionOutcome ConcurrentOutcome = TicketActionNotAccepted{};
      runBeforeCall(CallNumber,
                    [&] { ConcurrentOutcome = approve(LowNumber, "rival"); });
      TicketActionOutcome OwnOutcome = approve(HighNumber);
      Store_.resetFaults();
      EXPECT_TRUE(isAccepted(OwnOutcome)) << describeOutcome(OwnOutcome);
      EXPECT_EQ(record(LowNumber)->State_ == TicketState::Accepted,
                isAccepted(ConcurrentOutcome));
      expectValidChain();
    }
}

TEST_F(TicketRace, ApprovalsOfTheSameEntityHaveOneWinner) {
  std::size_t Conflicts = 0;
  for (std::size_t CallNumber = 1; CallNumber <= MaxCalls; ++CallNumber) {
    SCOPED_TRACE(CallNumber);
    std::uint64_t LowNumber =
        fileWithoutFaults(serviceTicket("a", 10 + 2 * CallNumber));
    std::uint64_t HighNumber =
        fileWithoutFaults(serviceTicket("a", 11 + 2 * CallNumber));
    runBeforeCall(CallNumber, [&] { approve(LowNumber, "rival"); });
    TicketActionOutcome OwnOutcome = approve(HighNumber);
    bool ConcurrentFirst = record(LowNumber)->State_ == TicketState::Accepted;
    // An action that runs before the first call is earlier, not concurrent.
    if (ConcurrentFirst && CallNumber > 1) {
      EXPECT_EQ(errorKindOf(OwnOutcome), ErrorKind::Conflict)
          << describeOutcome(OwnOutcome);
      EXPECT_NE(describeOutcome(OwnOutcome).find("rival"), std::string::npos);
      ++Conflicts;
    } else {
      EXPECT_TRUE(isAccepted(OwnOutcome)) << describeOutcome(OwnOutcome);
    }
    expectValidChain();
  }
  EXPECT_GE(Conflicts, 1U);
}

TEST_F(TicketRace, ApprovalsOfTheSameTicketHaveOneWinner) {
  for (std::size_t CallNumber = 1; CallNumber <= MaxCalls; ++CallNumber) {
    SCOPED_TRACE(CallNumber);
    std::uint64_t Number =
        fileWithoutFaults(serviceTicket("a", 10 + CallNumber));
    TicketActionOutcome ConcurrentOutcome = TicketActionNotAccepted{};
    runBeforeCall(CallNumber,
                  [&] { ConcurrentOutcome = approve(Number, "rival"); });
    TicketActionOutcome OwnOutcome = approve(Number);
    EXPECT_NE(isAccepted(OwnOutcome), isAccepted(ConcurrentOutcome));
    EXPECT_EQ(record(Number)->Approver_,
              isAccepted(OwnOutcome) ? "bo" : "rival");
    EXPECT_TRUE(isAccepted(OwnOutcome) ||
                errorKindOf(OwnOutcome) == ErrorKind::Conflict);
    expectValidChain();
  }
}

TEST_F(TicketRace, WithdrawalAndApprovalHaveOneWinner) {
  for (bool WithdrawConcurrently : {false, true})
    for (std::size_t CallNumber = 1; CallNumber <= MaxCalls; ++CallNumber) {
      SCOPED_TRACE(CallNumber);
      std::uint64_t Number =
          fileWithoutFaults(serviceTicket("a", 10 + CallNumber));
      TicketActionOutcome InnerOutcome = TicketActionNotAccepted{};
      runBeforeCall(CallNumber, [&] {
        InnerOutcome =
            WithdrawConcurrently ? withdraw(Number) : approve(Number);
      });
      TicketActionOutcome OuterOutcome =
          WithdrawConcurrently ? approve(Number) : withdraw(Number);
      EXPECT_NE(isAccepted(InnerOutcome), isAccepted(OuterOutcome))
          << describeOutcome(OuterOutcome);
      bool Withdrawn = isAccepted(InnerOutcome) == WithdrawConcurrently;
      EXPECT_EQ(record(Number)->State_,
                Withdrawn ? TicketState::Withdrawn : TicketState::Accepted);
      expectValidChain();
    }
}

TEST_F(TicketRace, FilingsOfTheSameNumberNameTheWinner) {
  for (std::size_t CallNumber = 1; CallNumber <= 2; ++CallNumber) {
    SCOPED_TRACE(CallNumber);
    Ticket Change = serviceTicket("a", 1);
    Change.Number_ = 10 * CallNumber;
    runBeforeCall(CallNumber, [&] { file(Change, "rival"); });
    TicketActionOutcome OwnOutcome = file(Change);
    EXPECT_EQ(errorKindOf(OwnOutcome), ErrorKind::Conflict);
    EXPECT_NE(describeOutcome(OwnOutcome).find("rival"), std::string::npos)
        << describeOutcome(OwnOutcome);
    EXPECT_EQ(record(Change.Number_)->Filer_, "rival");
  }
}

TEST_F(TicketRace, FilingsWithoutANumberGetDifferentNumbers) {
  for (std::size_t CallNumber = 1; CallNumber <= 2; ++CallNumber) {
    TicketActionOutcome ConcurrentOutcome;
    runBeforeCall(CallNumber, [&] {
      ConcurrentOutcome = file(serviceTicket("a", 1), "rival");
    });
    TicketActionOutcome OwnOutcome = file(serviceTicket("b", 1));
    ASSERT_TRUE(isAccepted(OwnOutcome)) << describeOutcome(OwnOutcome);
    EXPECT_GT(std::get<TicketActionAccepted>(OwnOutcome).Number_,
              std::get<TicketActionAccepted>(ConcurrentOutcome).Number_);
  }
}

TEST_F(TicketRace, FilingIsCheckedAgainstTheHeadItLandsOn) {
  fileAndApprove(serviceTicket("a", 1));
  Ticket Removal;
  Removal.Author_ = "ana";
  Removal.Services_["a"] = std::nullopt;
  Ticket Dependent = serviceTicket("b", 1);
  Dependent.Targets_["a-1"] = TargetSpec{"a", "", 6};
  std::uint64_t Number = fileWithoutFaults(Removal);
  runBeforeCall(2, [&] { approve(Number); });
  EXPECT_EQ(errorKindOf(file(Dependent)), ErrorKind::InvalidTicket);
}

TEST_F(TicketRace, BaseThatTwoCompactionsRemovedIsReadAgain) {
  fillHead();
  fileAndApprove(serviceTicket("c", 1, LargeTitleBytes));
  ASSERT_GT(head().BaseNumber_, 0U);
  std::uint64_t Base = head().BaseNumber_;
  runBeforeCall(2, [&] {
    for (std::uint32_t I = 0; I < 6; ++I)
      fileAndApprove(serviceTicket("d", I, LargeTitleBytes));
  });
  auto View = readHead(TicketSession_);
  ASSERT_TRUE(View.has_value()) << describe(View.error());
  EXPECT_EQ(View->Head_, head());
  EXPECT_FALSE(Store_.values().contains(snapshotKey(Base)));
}

TEST_F(TicketRace, PreviousBaseStaysForReadersOfTheHeadBefore) {
  fillHead();
  fileAndApprove(serviceTicket("c", 1, LargeTitleBytes));
  for (std::uint32_t I = 0; I < 4; ++I)
    fileAndApprove(serviceTicket("d", I, LargeTitleBytes));
  ASSERT_EQ(snapshotKeys().size(), 2U);
  for (std::uint32_t I = 0; I < 4; ++I) {
    std::uint64_t Base = head().BaseNumber_;
    fileAndApprove(serviceTicket("e", I, LargeTitleBytes));
    EXPECT_TRUE(Store_.values().contains(snapshotKey(Base)));
    EXPECT_LE(snapshotKeys().size(), 2U);
  }
  expectValidChain();
}
