// Guards against requests that run twice, false "not run" answers and answers
// that reach the wrong caller, while daemons, links and the store fail at each
// step of a call.
//
//   SYCAMORE_TEST_SEED     first seed (1)
//   SYCAMORE_TEST_RUNS     number of consecutive seeds (1000)
//   SYCAMORE_TEST_HISTORY  file for the history of a failed run
//   SYCAMORE_CALL_MUTATION rule to disable; see test/mutations-calls.txt
#include "CallWorld.h"

#include <cstdlib>
#include <fstream>
#include <gtest/gtest.h>
#include <iostream>

using namespace sycamore;

namespace {

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text == nullptr ? Default : std::strtoull(Text, nullptr, 10);
}

/// Runs seeds until one has a violation; returns the number of runs.
std::uint64_t runSeeds(world::Config (*Configure)(std::uint64_t),
                       std::uint64_t First, std::uint64_t Count,
                       std::vector<history::Violation> &Violations,
                       std::map<std::string, std::uint64_t> &Totals) {
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    world::CallSimulation Simulation(Configure(Seed));
    Simulation.run();
    for (const auto &[Name, Value] : Simulation.Totals_)
      Totals[Name] += Value;
    for (const auto &[Name, Value] : Simulation.Outcomes_)
      Totals["answers: " + Name] += Value;
    Violations = history::check(Simulation.History_.Events_);
    if (Violations.empty())
      continue;
    if (const char *Path = std::getenv("SYCAMORE_TEST_HISTORY"))
      std::ofstream(Path) << history::toJsonLines(Simulation.History_.Events_);
    return Seed - First + 1;
  }
  return Count;
}

} // namespace

namespace {

void expectNoViolation(world::Config (*Configure)(std::uint64_t),
                       bool RequireAllPaths) {
  world::setMutationFromEnvironment();
  std::uint64_t First = fromEnvironment("SYCAMORE_TEST_SEED", 1);
  std::uint64_t Count = fromEnvironment("SYCAMORE_TEST_RUNS", 1000);
  std::vector<history::Violation> Violations;
  std::map<std::string, std::uint64_t> Totals;
  std::uint64_t SeedsRun =
      runSeeds(Configure, First, Count, Violations, Totals);
  EXPECT_TRUE(Violations.empty())
      << "SYCAMORE_TEST_SEED=" << First + SeedsRun - 1
      << " SYCAMORE_TEST_RUNS=1\n"
      << history::describe(Violations);
  std::cout << "seeds " << First << " to " << First + SeedsRun - 1 << "\n";
  for (const auto &[Name, Value] : Totals)
    std::cout << "  " << Name << ": " << Value << "\n";
  // A counter at 0 means that no run took its path, so the rules for it would
  // be unchecked.
  if (RequireAllPaths && Count >= 1000 && Violations.empty()) {
    // Only a faulty peer uses one ordinal for two calls; none is simulated.
    Totals.erase("target mismatched");
    for (const auto &[Name, Value] : Totals)
      EXPECT_GT(Value, 0U) << Name;
  }
}

} // namespace

TEST(CallHistory, SeededRunsHaveNoViolation) {
  expectNoViolation(world::shortConfig, true);
}

// A holder that still considers its lapsed lease valid must not run keys beside
// its successor.
TEST(CallHistory, HolderChangeRunsKeyAtMostOnce) {
  expectNoViolation(world::takeoverConfig, false);
}
