// Guards against concurrent actions that overwrite each other's changes or
// report a wrong outcome. A rival action runs before each store call of an
// action in turn.
#include "DeskFixture.h"

using namespace sycamore;

namespace {

/// Above the number of store calls of any action below.
constexpr std::size_t MaxCalls = 8;

class TicketRace : public DeskFixture {
protected:
  /// Runs Rival before store call number Step of the next action.
  template <typename Action> void before(std::size_t Step, Action Rival) {
    Store_.resetFaults();
    Store_.BeforeCall_ = [Step, Rival](std::size_t Call) {
      if (Call == Step)
        Rival();
    };
  }

  std::uint64_t filed(const Ticket &Change) {
    Store_.resetFaults();
    return std::get<DeskAccepted>(file(Change, "setup")).Number_;
  }
};

} // namespace

TEST_F(TicketRace, ApprovalsOfDifferentEntitiesBothSucceed) {
  std::uint32_t Value = 0;
  for (bool Compaction : {false, true})
    for (std::size_t Step = 1; Step <= MaxCalls; ++Step) {
      SCOPED_TRACE(Step);
      if (Compaction)
        fillHead();
      // A value that the state does not have yet, so that a lost update is
      // detected.
      ++Value;
      std::uint64_t Low = filed(serviceTicket("a", Value));
      std::uint64_t High = filed(serviceTicket("b", Value));
      DeskOutcome Rival = DeskNotAccepted{};
      before(Step, [&] { Rival = approve(Low, "rival"); });
      DeskOutcome Own = approve(High);
      Store_.resetFaults();
      EXPECT_TRUE(isAccepted(Own)) << textOf(Own);
      EXPECT_EQ(record(Low)->State_ == TicketState::Accepted,
                isAccepted(Rival));
      expectValidChain();
    }
}

TEST_F(TicketRace, ApprovalsOfTheSameEntityHaveOneWinner) {
  std::size_t Conflicts = 0;
  for (std::size_t Step = 1; Step <= MaxCalls; ++Step) {
    SCOPED_TRACE(Step);
    std::uint64_t Low = filed(serviceTicket("a", 10 + 2 * Step));
    std::uint64_t High = filed(serviceTicket("a", 11 + 2 * Step));
    before(Step, [&] { approve(Low, "rival"); });
    DeskOutcome Own = approve(High);
    bool RivalFirst = record(Low)->State_ == TicketState::Accepted;
    // A rival that runs before the first call is merely earlier, not
    // concurrent.
    if (RivalFirst && Step > 1) {
      EXPECT_EQ(failureOf(Own), ErrorKind::Conflict) << textOf(Own);
      EXPECT_NE(textOf(Own).find("rival"), std::string::npos);
      ++Conflicts;
    } else {
      EXPECT_TRUE(isAccepted(Own)) << textOf(Own);
    }
    expectValidChain();
  }
  EXPECT_GE(Conflicts, 1U);
}

TEST_F(TicketRace, ApprovalsOfTheSameTicketHaveOneWinner) {
  for (std::size_t Step = 1; Step <= MaxCalls; ++Step) {
    SCOPED_TRACE(Step);
    std::uint64_t Number = filed(serviceTicket("a", 10 + Step));
    DeskOutcome Rival = DeskNotAccepted{};
    before(Step, [&] { Rival = approve(Number, "rival"); });
    DeskOutcome Own = approve(Number);
    EXPECT_NE(isAccepted(Own), isAccepted(Rival));
    EXPECT_EQ(record(Number)->Approver_, isAccepted(Own) ? "bo" : "rival");
    EXPECT_TRUE(isAccepted(Own) || failureOf(Own) == ErrorKind::Conflict);
    expectValidChain();
  }
}

TEST_F(TicketRace, WithdrawalAndApprovalHaveOneWinner) {
  for (bool WithdrawInside : {false, true})
    for (std::size_t Step = 1; Step <= MaxCalls; ++Step) {
      SCOPED_TRACE(Step);
      std::uint64_t Number = filed(serviceTicket("a", 10 + Step));
      DeskOutcome Inner = DeskNotAccepted{};
      before(Step, [&] {
        Inner = WithdrawInside ? withdraw(Number) : approve(Number);
      });
      DeskOutcome Outer = WithdrawInside ? approve(Number) : withdraw(Number);
      EXPECT_NE(isAccepted(Inner), isAccepted(Outer)) << textOf(Outer);
      bool Withdrawn = isAccepted(Inner) == WithdrawInside;
      EXPECT_EQ(record(Number)->State_,
                Withdrawn ? TicketState::Withdrawn : TicketState::Accepted);
      expectValidChain();
    }
}

TEST_F(TicketRace, FilingsOfTheSameNumberNameTheWinner) {
  for (std::size_t Step = 1; Step <= 2; ++Step) {
    SCOPED_TRACE(Step);
    Ticket Change = serviceTicket("a", 1);
    Change.Number_ = 10 * Step;
    before(Step, [&] { file(Change, "rival"); });
    DeskOutcome Own = file(Change);
    EXPECT_EQ(failureOf(Own), ErrorKind::Conflict);
    EXPECT_NE(textOf(Own).find("rival"), std::string::npos) << textOf(Own);
    EXPECT_EQ(record(Change.Number_)->Filer_, "rival");
  }
}

TEST_F(TicketRace, FilingsWithoutANumberTakeDifferentOnes) {
  for (std::size_t Step = 1; Step <= 2; ++Step) {
    DeskOutcome Rival;
    before(Step, [&] { Rival = file(serviceTicket("a", 1), "rival"); });
    DeskOutcome Own = file(serviceTicket("b", 1));
    ASSERT_TRUE(isAccepted(Own)) << textOf(Own);
    EXPECT_GT(std::get<DeskAccepted>(Own).Number_,
              std::get<DeskAccepted>(Rival).Number_);
  }
}

TEST_F(TicketRace, FilingIsCheckedAgainstTheHeadItLandsOn) {
  accept(serviceTicket("a", 1));
  Ticket Removal;
  Removal.Author_ = "ana";
  Removal.Services_["a"] = std::nullopt;
  Ticket Use = serviceTicket("b", 1);
  Use.Targets_["a-1"] = TargetSpec{"a", "", 6};
  std::uint64_t Number = filed(Removal);
  before(2, [&] { approve(Number); });
  EXPECT_EQ(failureOf(file(Use)), ErrorKind::InvalidTicket);
}

TEST_F(TicketRace, BaseThatTwoCompactionsRemovedIsReadAgain) {
  fillHead();
  accept(serviceTicket("c", 1, LargeTitleBytes));
  ASSERT_GT(head().BaseNumber_, 0U);
  std::uint64_t Base = head().BaseNumber_;
  before(2, [&] {
    for (std::uint32_t I = 0; I < 6; ++I)
      accept(serviceTicket("d", I, LargeTitleBytes));
  });
  auto View = readHead(Desk_);
  ASSERT_TRUE(View.has_value()) << describe(View.error());
  EXPECT_EQ(View->Head_, head());
  EXPECT_FALSE(Store_.values().contains(snapshotKey(Base)));
}

TEST_F(TicketRace, PreviousBaseStaysForReadersOfTheHeadBefore) {
  fillHead();
  accept(serviceTicket("c", 1, LargeTitleBytes));
  for (std::uint32_t I = 0; I < 4; ++I)
    accept(serviceTicket("d", I, LargeTitleBytes));
  ASSERT_EQ(snapshotKeys().size(), 2U);
  for (std::uint32_t I = 0; I < 4; ++I) {
    std::uint64_t Base = head().BaseNumber_;
    accept(serviceTicket("e", I, LargeTitleBytes));
    EXPECT_TRUE(Store_.values().contains(snapshotKey(Base)));
    EXPECT_LE(snapshotKeys().size(), 2U);
  }
  expectValidChain();
}
