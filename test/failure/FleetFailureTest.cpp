// Guards against restarts of many daemons, store outages and partitions that
// end in old tickets, overload of the store or a split fleet.
#include "FleetSim.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

FleetOptions fleetOptions(std::uint64_t Seed) {
  FleetOptions Out;
  Out.Seed_ = testSeed(Seed);
  Out.PerDataCentre_ = 20;
  Out.Loss_ = 0.05;
  Out.Tick_ = milliseconds(50);
  return Out;
}

struct Fleet : FleetSim {
  explicit Fleet(const FleetOptions &Options) : FleetSim(Options) {
    acceptTicket();
    EXPECT_TRUE(startAndConverge());
  }

  void killAll() {
    for (std::size_t I = 0; I < Daemons_.size(); ++I)
      kill(I);
  }

  std::size_t servingCount() const {
    return std::count_if(Daemons_.begin(), Daemons_.end(), [](const auto &D) {
      return D.Up_ && hasFloor(D.Bootstrap_);
    });
  }
};

} // namespace

TEST(FleetFailure, SimultaneousRestartWithTheStoreUp) {
  Fleet Sim(fleetOptions(1));
  Sim.killAll();
  Sim.run(seconds(2));
  Sim.Store_.resetPeak();
  Sim.startAll();
  EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(10)));
  std::cout << "60 daemons at once: most store calls in a second "
            << Sim.Store_.peakPerSecond() << std::endl;
  // The limit is 200 store calls in a second for 690 daemons; 60 daemons have
  // their share of these, rounded up (17 + 10).
  EXPECT_LT(Sim.Store_.peakPerSecond(), 200U * 60U / 690U + 10U);
  EXPECT_TRUE(Sim.Violations_.empty());
}

// With the store down and no floor known to any daemon, no daemon can tell the
// latest ticket, so none may serve.
TEST(FleetFailure, SimultaneousRestartWithTheStoreDownServesNothing) {
  Fleet Sim(fleetOptions(2));
  Sim.Store_.Mode_ = StoreMode::Down;
  Sim.killAll();
  Sim.run(seconds(2));
  Sim.startAll();
  Sim.Store_.resetPeak();
  Sim.run(seconds(30));
  EXPECT_EQ(Sim.servingCount(), 0U);
  std::cout << "60 daemons, store down: most store calls in a second "
            << Sim.Store_.peakPerSecond() << std::endl;
  EXPECT_LT(Sim.Store_.peakPerSecond(), 200U * 60U / 690U + 10U);
  Sim.Store_.Mode_ = StoreMode::Up;
  EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(20)));
}

TEST(FleetFailure, SimultaneousRestartWithTheStoreSlow) {
  Fleet Sim(fleetOptions(3));
  Sim.killAll();
  Sim.Store_.Mode_ = StoreMode::Slow;
  Sim.run(seconds(2));
  Sim.startAll();
  EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(30)));
  EXPECT_TRUE(Sim.Violations_.empty());
}

// With the store down, the highest ticket among the peers is the floor.
TEST(FleetFailure, RestartsOneByOneWithTheStoreDown) {
  Fleet Sim(fleetOptions(4));
  for (int I = 0; I < 3; ++I)
    Sim.acceptTicket();
  Sim.run(seconds(5));
  Sim.Store_.Mode_ = StoreMode::Down;
  for (std::size_t I = 0; I < 6; ++I) {
    Sim.kill(I);
    Sim.run(milliseconds(500));
    Sim.start(I);
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(30)));
    EXPECT_EQ(Sim.Daemons_[I].Bootstrap_.Basis_, FloorBasis::Peers);
  }
  EXPECT_TRUE(Sim.Violations_.empty());
}

// A daemon that restarts alone needs no store read of its own when a reader
// answers first.
TEST(FleetFailure, VerifiedAnswersReplaceStoreReads) {
  Fleet Sim(fleetOptions(5));
  std::uint64_t Verified = 0;
  for (std::size_t I = 0; I < 12; ++I) {
    Sim.kill(I);
    Sim.run(milliseconds(300));
    Sim.start(I);
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(10)));
    Verified += Sim.Daemons_[I].Bootstrap_.Basis_ == FloorBasis::VerifiedAnswer;
  }
  std::cout << Verified
            << " of 12 restarts got their floor from a verified answer"
            << std::endl;
  EXPECT_GE(Verified, 6U);
}

TEST(FleetFailure, DataCentreRestarts) {
  Fleet Sim(fleetOptions(6));
  for (std::size_t I = 0; I < Sim.Daemons_.size(); I += 3)
    Sim.kill(I);
  Sim.run(seconds(30));
  Sim.acceptTicket();
  Sim.run(seconds(5));
  for (std::size_t I = 0; I < Sim.Daemons_.size(); I += 3)
    Sim.start(I);
  EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(15)));
  EXPECT_TRUE(
      Sim.runUntil([&] { return Sim.membershipConverged(); }, seconds(30)));
  EXPECT_TRUE(Sim.Violations_.empty());
}

// The fleet must converge within 15 s after a partition heals. The isolated
// data centre cannot reach the store either, not even after the healing, so it
// gets the tickets from its peers.
TEST(FleetFailure, ConvergesAfterAPartitionHeals) {
  Fleet Sim(fleetOptions(7));
  Sim.DropsLink_ = [](std::size_t From, std::size_t To) {
    return (From % 3 == 0) != (To % 3 == 0);
  };
  for (std::size_t I = 0; I < Sim.Daemons_.size(); I += 3)
    Sim.CutOffFromStore_.insert(I);
  Sim.run(seconds(10));
  Sim.acceptTicket();
  Sim.acceptTicket();
  Sim.run(seconds(60));
  for (std::size_t I = 0; I < Sim.Daemons_.size(); ++I)
    EXPECT_EQ(Sim.Daemons_[I].Replica_.Current_->Number_, I % 3 == 0 ? 1U : 3U);
  Sim.DropsLink_ = nullptr;
  auto Elapsed = Sim.runUntil([&] { return Sim.converged(); }, seconds(15));
  std::cout << "after healing, by peers alone: "
            << (Elapsed ? static_cast<double>(Elapsed->count()) / 1e6 : -1)
            << " s" << std::endl;
  EXPECT_TRUE(Elapsed.has_value());
  EXPECT_TRUE(
      Sim.runUntil([&] { return Sim.membershipConverged(); }, seconds(30)));
}

// All announcements of one ticket to one daemon are lost.
TEST(FleetFailure, AntiEntropyRepairsLostAnnouncements) {
  Fleet Sim(fleetOptions(8));
  Sim.DropsLink_ = [](std::size_t, std::size_t To) { return To == 10; };
  Sim.acceptTicket();
  Sim.run(seconds(2));
  Sim.DropsLink_ = nullptr;
  EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(15)));
}
