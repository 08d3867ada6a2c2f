// Guards against store calls that grow with the fleet.
#include "FleetSim.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// Store calls in 100 s of a settled fleet in 3 data centres, with one ticket.
std::uint64_t steadyCalls(std::size_t Daemons) {
  FleetOptions Options;
  Options.Seed_ = testSeed(Daemons);
  Options.PerDataCentre_ = Daemons / 3;
  Options.Loss_ = 0.05;
  Options.Tick_ = milliseconds(200);
  FleetSim Sim(Options);
  Sim.acceptTicket();
  Sim.startAll();
  Sim.run(seconds(40));
  EXPECT_TRUE(Sim.converged());
  std::uint64_t Before = Sim.Store_.Calls_;
  Sim.acceptTicket();
  Sim.run(seconds(100));
  EXPECT_TRUE(Sim.converged());
  return Sim.Store_.Calls_ - Before;
}

/// The same number if every daemon watches and reads the head like a reader.
std::uint64_t baselineCalls(std::size_t Daemons) {
  constexpr std::uint64_t Reads = 100 / 10;
  constexpr std::uint64_t Watches = 1; // Renewed after the ticket.
  return Daemons * (Reads + Watches);
}

} // namespace

TEST(StoreCalls, DoNotGrowWithTheFleet) {
  std::uint64_t MaxCalls = 0;
  for (std::size_t Daemons : {15U, 100U, 345U, 690U}) {
    std::uint64_t Calls = steadyCalls(Daemons);
    std::uint64_t Baseline = baselineCalls(Daemons / 3 * 3);
    std::cout << Daemons << " daemons: " << Calls << " store calls in 100 s, "
              << Baseline << " when all daemons watch; ratio "
              << static_cast<double>(Calls) / static_cast<double>(Baseline)
              << std::endl;
    MaxCalls = std::max(MaxCalls, Calls);
  }
  // 6 readers: a read every 9 to 10 s, the renewed watch, seeds once in 30 s.
  EXPECT_LE(MaxCalls, 6U * (12U + 1U + 4U));
}
