// Guards the guarantees of calls and tickets against unforeseen combinations of
// faults: real processes are killed, frozen, stopped and reloaded, their links
// delayed, silenced, cut and reset, and the store fails, in overlapping series.
//
//   SYCAMORE_SOAK_SEED     first seed (1)
//   SYCAMORE_SOAK_RUNS     number of consecutive seeds (1)
//   SYCAMORE_SOAK_SECONDS  duration of the faults in each run (12)
//   SYCAMORE_SOAK_SERVERS  daemons, each with a target (6)
#include "Soak.h"

#include <cstdlib>
#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

std::uint64_t fromEnvironment(const char *Name, std::uint64_t Default) {
  const char *Text = std::getenv(Name);
  return Text ? std::strtoull(Text, nullptr, 10) : Default;
}

SoakConfig configFromEnvironment() {
  SoakConfig Out;
  Out.Servers_ = fromEnvironment("SYCAMORE_SOAK_SERVERS", Out.Servers_);
  Out.FaultDuration_ = seconds(fromEnvironment("SYCAMORE_SOAK_SECONDS", 12));
  return Out;
}

std::string describe(const SoakReport &Report) {
  std::string Out = history::describe(Report.Violations_) + "faults:\n";
  for (const std::string &Each : Report.Faults_)
    Out += "  " + Each + "\n";
  return Out;
}

void expectNoViolation(SoakConfig Config) {
  std::uint64_t First = fromEnvironment("SYCAMORE_SOAK_SEED", 1);
  std::uint64_t Runs = fromEnvironment("SYCAMORE_SOAK_RUNS", 1);
  for (Config.Seed_ = First; Config.Seed_ < First + Runs; ++Config.Seed_) {
    SoakReport Report = Soak(Config).run();
    std::printf("seed %llu: %zu sent, %zu done, %zu not run, %zu unknown, %zu "
                "faults, %zu violations\n",
                static_cast<unsigned long long>(Config.Seed_), Report.Sent_,
                Report.Done_, Report.NotRun_, Report.Unknown_,
                Report.Faults_.size(), Report.Violations_.size());
    std::fflush(stdout);
    EXPECT_TRUE(Report.Violations_.empty())
        << "SYCAMORE_SOAK_SEED=" << Config.Seed_ << "\n"
        << describe(Report);
    // A run in which few requests succeed would check too little.
    EXPECT_GT(Report.Done_, Report.Sent_ / 4) << describe(Report);
  }
}

} // namespace

TEST(Soak, NoViolationUnderFaults) {
  expectNoViolation(configFromEnvironment());
}

TEST(Soak, NoViolationThoughTheStoreIsRestoredAgainAndAgain) {
  SoakConfig Config = configFromEnvironment();
  Config.RestoreInterval_ = seconds(4);
  expectNoViolation(Config);
}

// While nobody of its data centre stays, a stopped daemon carries its calls to
// the end and exits with status 0.
TEST(Soak, NoViolationThoughWholeDataCentresAreStopped) {
  SoakConfig Config = configFromEnvironment();
  Config.StopInterval_ = seconds(4);
  expectNoViolation(Config);
}

// The check must detect answers that say "not run" although the request ran.
TEST(Soak, DetectsFalseNotRun) {
  SoakConfig Config;
  Config.Servers_ = 2;
  Config.FaultDuration_ = seconds(1);
  Config.RecordDoneAsNotRun_ = true;
  SoakReport Report = Soak(Config).run();
  EXPECT_FALSE(Report.Violations_.empty());
}
