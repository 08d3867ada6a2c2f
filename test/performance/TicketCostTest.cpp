// Guards against operator actions that make more store calls than stated in
// docs/decisions/0001, and prints the figures of that decision.
#include "TicketFixture.h"

#include <chrono>

using namespace sycamore;

namespace {

class TicketCost : public TicketFixture {
protected:
  template <typename Action> std::size_t callsOf(Action Run) {
    Store_.resetFaults();
    Run();
    return Store_.calls();
  }

  /// The fleet of docs/CAPACITY.md: 70 services, 690 targets, 140 routes.
  static Ticket fullFleetTicket() {
    Ticket Out;
    Out.Author_ = "ana";
    for (int I = 0; I < 690; ++I) {
      std::string Name = "service-" + std::to_string(I % 70);
      Out.Services_[Name] = Service{};
      Out.Targets_["server-" + std::to_string(I)] =
          TargetSpec{Name, "dalseo", 6};
      Route Entry;
      Entry.PathPrefix_ = "/" + Name + "/" + std::to_string(I % 140);
      Entry.Service_ = Name;
      Out.Routes_["route-" + std::to_string(I % 140)] = Entry;
    }
    return Out;
  }

  /// A typical daily ticket, which changes one route and one target.
  static Ticket typicalTicket(int Index) {
    static const Ticket Out = fullFleetTicket();
    std::string Target = "server-" + std::to_string(Index % 690);
    std::string Name = "route-" + std::to_string(Index % 140);
    Ticket Small;
    Small.Author_ = "ana";
    Small.Title_ =
        "move one route and one target, number " + std::to_string(Index);
    Small.Targets_[Target] = Out.Targets_.at(Target);
    Small.Targets_[Target]->Slots_ = 6 + Index % 5;
    Small.Routes_[Name] = Out.Routes_.at(Name);
    Small.Routes_[Name]->Timeout_ = milliseconds(100 + Index);
    return Small;
  }
};

} // namespace

TEST_F(TicketCost, StoreCallsOfEachAction) {
  EXPECT_EQ(callsOf([&] { file(serviceTicket("a", 1)); }), 2U);
  EXPECT_EQ(callsOf([&] { approve(1); }), 2U);
  file(serviceTicket("a", 2));
  EXPECT_EQ(callsOf([&] { withdraw(2); }), 2U);
  fillHead();
  file(serviceTicket("c", 1, LargeTitleBytes));
  std::uint64_t Number = records().back().Ticket_.Number_;
  EXPECT_EQ(callsOf([&] { approve(Number); }), 4U)
      << "read, snapshot, accept, list of older snapshots";
  file(serviceTicket("d", 1));
  EXPECT_EQ(callsOf([&] { approve(Number + 1); }), 3U) << "head, base, accept";
  EXPECT_EQ(callsOf([&] { ticketStatus(TicketSession_, 1); }), 1U);
}

TEST_F(TicketCost, SizesAndTimesAtTheFleetOfTheCapacityPage) {
  fileAndApprove(fullFleetTicket());
  std::size_t HeadBytes = 0;
  std::size_t LargestHead = 0;
  std::size_t Snapshots = 0;
  constexpr int TicketCount = 220;
  auto Start = std::chrono::steady_clock::now();
  std::uint64_t Base = 0;
  for (int Index = 0; Index < TicketCount; ++Index) {
    fileAndApprove(typicalTicket(Index));
    std::size_t Bytes = Store_.values().at(headKey()).Value_.size();
    HeadBytes += Bytes;
    LargestHead = std::max(LargestHead, Bytes);
    std::uint64_t CurrentBase = head().BaseNumber_;
    Snapshots += CurrentBase != Base ? 1 : 0;
    Base = CurrentBase;
  }
  auto Elapsed = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - Start);
  std::size_t SnapshotBytes = 0;
  for (const std::string &Key : snapshotKeys())
    SnapshotBytes =
        std::max(SnapshotBytes, Store_.values().at(Key).Value_.size());
  std::printf("ticket %zu bytes, inline acceptance %zu bytes, head mean %zu, "
              "largest %zu bytes, snapshot %zu bytes, one compaction per %d "
              "tickets, %.1f ms per filing and approval\n",
              toJson(typicalTicket(1)).dump().size(),
              toJson(head().Recent_.back()).dump().size(),
              HeadBytes / TicketCount, LargestHead, SnapshotBytes,
              Snapshots ? TicketCount / static_cast<int>(Snapshots) : 0,
              static_cast<double>(Elapsed.count()) / TicketCount);
  EXPECT_LE(LargestHead, MaxRecentBytes + 4096);
  EXPECT_LT(Elapsed.count() / TicketCount, 1000);
  expectValidChain();
}
