// Guards against a fleet that stays on a ticket that the store has lost for
// ever, because the operators filed another one under its number.
#include "RestoredFleet.h"

using namespace sycamore;
using namespace sycamore::test;

TEST(RefiledTicket, AFleetOnALostTicketTakesThoseFiledInItsPlace) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 5; ++Seed) {
    RestoredFleet Sim(Seed);
    Sim.losesATicket();
    Sim.run(seconds(3));
    // Another ticket 2, and one after it.
    Sim.acceptTicket(/*Padding=*/1000);
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.converged(); }, seconds(15)))
        << "seed " << Seed;
  }
}
