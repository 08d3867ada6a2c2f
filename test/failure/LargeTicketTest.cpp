// Guards against a large ticket that is in force late because each daemon takes
// long to receive it and to pass it on.
#include "FleetSim.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// An accepted ticket must be in force on every server within this time.
constexpr Duration ConfigurationLimit = milliseconds(2500);

/// A fleet with slow links and a tenth of a core for most daemons.
struct SlowFleet : FleetSim {
  explicit SlowFleet(std::uint64_t Seed) : FleetSim(options(Seed)) {
    acceptTicket();
    EXPECT_TRUE(startAndConverge());
    run(seconds(5));
  }

  static FleetOptions options(std::uint64_t Seed) {
    FleetOptions Out = slowFleetOptions(Seed);
    // 5,000 routes on a tenth of a core.
    Out.Costs_.Pack_ = milliseconds(119);
    Out.Costs_.Apply_ = milliseconds(299);
    Out.Costs_.StoredBytes_ = 1'150'000;
    return Out;
  }
};

} // namespace

TEST(LargeTicket, IsInForceEverywhereInTimeOnSlowDaemons) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 5; ++Seed) {
    SlowFleet Sim(Seed);
    Sim.acceptTicket(500'000);
    auto Took = Sim.runUntil([&] { return Sim.converged(); }, seconds(20));
    ASSERT_TRUE(Took.has_value()) << "seed " << Seed;
    std::cout << "seed " << Seed << ": in force everywhere after "
              << toMilliseconds(*Took) << " ms" << std::endl;
    EXPECT_LE(*Took, ConfigurationLimit) << "seed " << Seed;
  }
}
