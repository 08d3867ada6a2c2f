// Guards against tickets that reach the fleet late because the daemons that
// should read them from the store do not reach it.
#include "FleetSim.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// An accepted ticket must be in force on every server within this time.
constexpr Duration ConfigurationLimit = seconds(2);

struct Fleet : FleetSim {
  explicit Fleet(std::uint64_t Seed, std::size_t PerDataCentre = 5)
      : Fleet(options(Seed, PerDataCentre)) {}

  explicit Fleet(FleetOptions Options) : FleetSim(std::move(Options)) {
    acceptTicket();
    EXPECT_TRUE(startAndConverge());
  }

  static FleetOptions options(std::uint64_t Seed, std::size_t PerDataCentre) {
    FleetOptions Out;
    Out.Seed_ = Seed;
    Out.PerDataCentre_ = PerDataCentre;
    Out.RemoteDelay_ = microseconds(1400);
    Out.BootstrapConfig_.MaxReadDelay_ = milliseconds(100);
    Out.BootstrapConfig_.MinRetryDelay_ = seconds(1);
    Out.BootstrapConfig_.MaxRetryDelay_ = seconds(2);
    Out.BootstrapConfig_.ReaderDelay_ = seconds(1);
    return Out;
  }

  /// With the probe times of the deployed settings, and more servers than a
  /// started daemon learns from the seeds.
  static FleetOptions withDeployedProbes(std::uint64_t Seed) {
    FleetOptions Out = options(Seed, 25);
    Out.Membership_.ProbeInterval_ = milliseconds(500);
    Out.Membership_.ProbeTimeout_ = milliseconds(200);
    Out.Membership_.SuspicionTimeout_ = milliseconds(1500);
    return Out;
  }

  /// A server that is not a reader.
  std::size_t someNonReader() const {
    std::size_t Out = 0;
    while (isReader(Daemons_[Out].Members_))
      ++Out;
    return Out;
  }

  /// Starts a server that finds its peers by the seeds in the store alone.
  void startFromSeeds(std::size_t I) {
    Options_.BootstrapPeers_ = false;
    start(I);
  }

  /// Drops all messages between these servers and the others.
  void cutOff(const std::set<std::size_t> &Group) {
    DropsLink_ = [Group](std::size_t From, std::size_t To) {
      return Group.contains(From) != Group.contains(To);
    };
  }

  bool waitForFloor(const std::set<std::size_t> &Group) {
    auto HasFloor = [this](std::size_t I) {
      return hasFloor(Daemons_[I].Bootstrap_);
    };
    return runUntil(
               [&] {
                 return std::all_of(Group.begin(), Group.end(), HasFloor);
               },
               seconds(3))
        .has_value();
  }

  std::vector<std::size_t> readers() const {
    std::vector<std::size_t> Out;
    for (std::size_t I = 0; I < Daemons_.size(); ++I)
      if (isReader(Daemons_[I].Members_))
        Out.push_back(I);
    return Out;
  }

  void cutOffReaders() {
    for (std::size_t I : readers())
      CutOffFromStore_.insert(I);
  }

  bool convergesInTime() {
    return runUntil([this] { return converged(); }, ConfigurationLimit)
        .has_value();
  }
};

} // namespace

TEST(ReaderFailure, ATicketIsInForceInTimeThoughTheStoreRefusesAllReaders) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    Fleet Sim(Seed);
    Sim.cutOffReaders();
    Sim.run(seconds(3));
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.convergesInTime()) << "seed " << Seed;
  }
}

TEST(ReaderFailure, ATicketIsInForceInTimeThoughTheReadersJustLostTheStore) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    Fleet Sim(Seed);
    Sim.cutOffReaders();
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.convergesInTime()) << "seed " << Seed;
  }
}

TEST(ReaderFailure, ATicketIsInForceInTimeThoughTheStoreRefusesMostServers) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    Fleet Sim(Seed, 20);
    Sim.cutOffReaders();
    for (std::size_t I = 0; I < Sim.Daemons_.size(); ++I)
      if (randomUnit(Sim.Rng_) < 0.85)
        Sim.CutOffFromStore_.insert(I);
    Sim.run(seconds(3));
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.convergesInTime()) << "seed " << Seed;
  }
}

TEST(ReaderFailure, AnOutageOfTheStoreDoesNotRaiseItsCallsBeyondTheBound) {
  Fleet Sim(testSeed(1), 115);
  Sim.Store_.resetPeak();
  Sim.Store_.Mode_ = StoreMode::Down;
  Sim.run(seconds(20));
  std::cout << "345 daemons, store down: most store calls in a second "
            << Sim.Store_.peakPerSecond() << std::endl;
  // Half of the 690 daemons that have a bound of 200 calls in a second.
  EXPECT_LT(Sim.Store_.peakPerSecond(), 100U);
  Sim.Store_.Mode_ = StoreMode::Up;
  Sim.acceptTicket();
  EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(5)));
}

TEST(ReaderFailure, OneReaderWithTheStoreSuppliesAllDataCentresInASecond) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    FleetOptions Options = Fleet::options(Seed, 5);
    Options.Delegation_.EnabledForTest_ = false;
    Fleet Sim(std::move(Options));
    std::vector<std::size_t> Readers = Sim.readers();
    Sim.CutOffFromStore_.insert(Readers.begin() + 1, Readers.end());
    Sim.run(seconds(3));
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(1),
                             milliseconds(20)))
        << "seed " << Seed;
  }
}

TEST(ReaderFailure, AStartedServerWithoutPeersReadsTheStoreItself) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    Fleet Sim(Seed);
    std::size_t Alone = Sim.someNonReader();
    Sim.kill(Alone);
    Sim.cutOff({Alone});
    Sim.start(Alone);
    EXPECT_TRUE(Sim.runUntil(
        [&] { return hasFloor(Sim.Daemons_[Alone].Bootstrap_); }, seconds(2)));
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.convergesInTime()) << "seed " << Seed;
  }
}

// A table comparison that arrives before the peers go dark proves nothing
// later.
TEST(ReaderFailure, AStartedServerWhoseSeedsGoDarkReadsTheStoreItself) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    Fleet Sim(Fleet::withDeployedProbes(Seed));
    std::size_t Started = Sim.someNonReader();
    Sim.kill(Started);
    Sim.run(milliseconds(100));
    Sim.startFromSeeds(Started);
    Sim.Daemons_[Started].Members_.Joined_ = true;
    Sim.cutOff({Started});
    EXPECT_TRUE(Sim.waitForFloor({Started}));
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.convergesInTime()) << "seed " << Seed;
  }
}

// Two such servers hear each other, but neither of them reads the store.
TEST(ReaderFailure, TwoStartedServersWhoseSeedsGoDarkReadTheStoreThemselves) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    Fleet Sim(Fleet::withDeployedProbes(Seed));
    std::set<std::size_t> Started;
    for (std::size_t I = 0; Started.size() < 2; I += 3)
      if (!isReader(Sim.Daemons_[I].Members_))
        Started.insert(I);
    for (std::size_t I : Started)
      Sim.kill(I);
    Sim.run(milliseconds(100));
    Sim.cutOff(Started);
    for (std::size_t I : Started) {
      Sim.startFromSeeds(I);
      Sim.Daemons_[I].Members_.Joined_ = true;
    }
    EXPECT_TRUE(Sim.waitForFloor(Started));
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.convergesInTime()) << "seed " << Seed;
  }
}

// A server that had a complete table may lose all its peers later.
TEST(ReaderFailure, AServerThatLosesAllPeersReadsTheStoreItself) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 10; ++Seed) {
    Fleet Sim(Fleet::withDeployedProbes(Seed));
    Sim.cutOff({Sim.someNonReader()});
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.convergesInTime()) << "seed " << Seed;
  }
}
