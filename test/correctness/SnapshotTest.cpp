// Guards against tickets that are applied in part, out of order or with
// dangling references.
#include "sycamore/Head.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

Ticket firstTicket() {
  Ticket Out;
  Out.Number_ = 1;
  Out.Author_ = "ana";
  Out.Services_["shelfview"] = Service{};
  Out.Targets_["shelfview-1"] = TargetSpec{"shelfview", "dalseo", 6};
  Route Stock;
  Stock.PathPrefix_ = "/stock";
  Stock.Service_ = "shelfview";
  Out.Routes_["stock"] = Stock;
  return Out;
}

AcceptedTicket accept(const Snapshot &Before, const Ticket &Change) {
  TicketRecord Record;
  Record.Ticket_ = Change;
  Record.Filer_ = "ana";
  Head HeadBefore;
  HeadBefore.Number_ = Before.Number_;
  AcceptanceRequest Request;
  Request.Approver_ = "bo";
  Request.AcceptanceId_ = "id";
  auto Plan = planAcceptance(HeadBefore, Before, Record, Request);
  EXPECT_TRUE(Plan.has_value());
  return Plan ? Plan->Accepted_ : AcceptedTicket{};
}

} // namespace

TEST(Snapshot, AppliesAnAcceptedTicket) {
  Snapshot Empty;
  auto Next = applyTicket(Empty, accept(Empty, firstTicket()));
  ASSERT_TRUE(Next.has_value()) << describe(Next.error());
  EXPECT_EQ(Next->Number_, 1U);
  std::string Name;
  const Route *Matched = matchRoute(*Next, "any", "GET", "/stock/7", &Name);
  ASSERT_NE(Matched, nullptr);
  EXPECT_EQ(Name, "stock");
  EXPECT_EQ(matchRoute(*Next, "any", "GET", "/stocks"), nullptr);
}

TEST(Snapshot, RefusesAnOlderTicket) {
  Snapshot Empty;
  AcceptedTicket Accepted = accept(Empty, firstTicket());
  auto Next = applyTicket(Empty, Accepted);
  ASSERT_TRUE(Next.has_value());
  EXPECT_FALSE(applyTicket(*Next, Accepted).has_value());
}

TEST(Snapshot, RefusesAForgedTicket) {
  Snapshot Empty;
  AcceptedTicket Forged = accept(Empty, firstTicket());
  Forged.Ticket_.Routes_["stock"]->PathPrefix_ = "/";
  EXPECT_FALSE(applyTicket(Empty, Forged).has_value());
}

TEST(Snapshot, RefusesAResultWithAnotherStateDigest) {
  Snapshot Empty;
  AcceptedTicket Wrong = accept(Empty, firstTicket());
  Wrong.StateDigest_ = std::string(64, '0');
  Wrong.Digest_ = chainDigest(Wrong);
  EXPECT_FALSE(applyTicket(Empty, Wrong).has_value());
}

TEST(Snapshot, AppliesAChainAsItsTicketsOneByOne) {
  std::vector<AcceptedTicket> Chain;
  Snapshot Current;
  for (std::uint32_t Number = 1; Number <= 5; ++Number) {
    Ticket Change = firstTicket();
    Change.Number_ = Number;
    Change.Services_["shelfview"]->QueueLimit_ = Number;
    Chain.push_back(accept(Current, Change));
    Current = *applyTicket(Current, Chain.back());
  }
  auto FromChain = applyTickets(Snapshot{}, Chain);
  ASSERT_TRUE(FromChain.has_value()) << describe(FromChain.error());
  EXPECT_EQ(FromChain->State_, Current.State_);
  EXPECT_EQ(FromChain->Digest_, Current.Digest_);
  EXPECT_EQ(FromChain->LastAcceptance_, Current.LastAcceptance_);
  for (std::size_t I = 0; I < Chain.size(); ++I) {
    std::vector<AcceptedTicket> Forged = Chain;
    Forged[I].Ticket_.Services_["shelfview"]->QueueLimit_ = 99;
    EXPECT_FALSE(applyTickets(Snapshot{}, Forged).has_value()) << I;
    std::vector<AcceptedTicket> Incomplete = Chain;
    Incomplete.erase(Incomplete.begin() + static_cast<std::ptrdiff_t>(I));
    EXPECT_EQ(applyTickets(Snapshot{}, Incomplete).has_value(),
              I + 1 == Chain.size());
  }
}

TEST(Snapshot, RefusesDanglingReferences) {
  Ticket Change = firstTicket();
  Change.Services_.clear();
  auto After = applyToState(State{}, Change);
  ASSERT_FALSE(After.has_value());
  EXPECT_NE(After.error().Message_.find("routes.stock.service"),
            std::string::npos);
}

TEST(Snapshot, RefusesToRemoveAServiceInUse) {
  Snapshot Empty;
  auto Next = applyTicket(Empty, accept(Empty, firstTicket()));
  ASSERT_TRUE(Next.has_value());
  Ticket Removal;
  Removal.Number_ = 2;
  Removal.Services_["shelfview"] = std::nullopt;
  EXPECT_FALSE(applyToState(Next->State_, Removal).has_value());
}

TEST(Snapshot, SurvivesEncoding) {
  Snapshot Empty;
  auto Next = applyTicket(Empty, accept(Empty, firstTicket()));
  ASSERT_TRUE(Next.has_value());
  auto Read = parseSnapshot(toJson(*Next), "test");
  ASSERT_TRUE(Read.has_value()) << describe(Read.error());
  EXPECT_EQ(Read->State_, Next->State_);
  EXPECT_EQ(Read->Digest_, Next->Digest_);
}

TEST(Head, ResolvesToTheSameSnapshotAfterCompaction) {
  Snapshot Current;
  Head Value;
  Snapshot Base;
  for (std::uint64_t Number = 1; Number <= 40; ++Number) {
    TicketRecord Record;
    Record.Ticket_.Number_ = Number;
    Record.Ticket_.Author_ = "ana";
    Record.Ticket_.Title_ = std::string(8000, 'x');
    Record.Ticket_.Services_["s" + std::to_string(Number)] = Service{};
    auto Plan = planAcceptance(Value, Current, Record, {});
    ASSERT_TRUE(Plan.has_value()) << describe(Plan.error());
    if (Plan->Snapshot_) {
      auto Stored = parseJson(Plan->Snapshot_->Value_, "snapshot");
      ASSERT_TRUE(Stored.has_value());
      Base = *parseSnapshot(*Stored, "snapshot");
    }
    Value = *parseHead(Plan->Puts_[0].Value_);
    EXPECT_EQ(Base.Number_, Value.BaseNumber_);
    auto Next = resolveHead(Value, Base);
    ASSERT_TRUE(Next.has_value()) << describe(Next.error());
    Current = *Next;
  }
  EXPECT_GT(Value.BaseNumber_, 0U);
  EXPECT_EQ(Current.State_.Services_.size(), 40U);
}
