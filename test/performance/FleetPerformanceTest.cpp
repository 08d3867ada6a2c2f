// Measures the control plane of 690 daemons in 6 data centres with 5% loss
// against the limits of docs/design.md, and compares it with a baseline in
// which every daemon reads the store.
#include "FleetSim.h"

#include <deque>
#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// Bytes of framing, encryption and TCP/IP headers that each message may add
/// to its encoded size.
constexpr std::uint64_t MessageOverhead = 60;

constexpr std::uint64_t MaxBytesPerSecond = 3000;

struct Fleet : FleetSim {
  explicit Fleet(const FleetOptions &Options) : FleetSim(Options) {}

  static FleetOptions options() {
    FleetOptions Out;
    Out.Seed_ = testSeed(1);
    Out.DataCentres_ = 6;
    Out.PerDataCentre_ = 115;
    Out.Loss_ = 0.05;
    Out.Tick_ = milliseconds(100);
    return Out;
  }

  /// Largest age in any daemon's view of the fleet; unset when a daemon has not
  /// heard of another.
  std::optional<Duration> largestAge() const {
    Duration LargestAge(0);
    for (const SimDaemon &Daemon : Daemons_)
      for (const FleetRow &Row : fleetView(Daemon.Members_, now(Daemon))) {
        if (!Row.Age_)
          return std::nullopt;
        LargestAge = std::max(LargestAge, *Row.Age_);
      }
    return LargestAge;
  }

  template <typename Value> std::uint64_t maximum(Value Measure) const {
    std::uint64_t Out = 0;
    for (const SimDaemon &Daemon : Daemons_)
      Out = std::max(Out, Measure(Daemon.Traffic_));
    return Out;
  }

  template <typename Value> std::uint64_t mean(Value Measure) const {
    std::uint64_t Out = 0;
    for (const SimDaemon &Daemon : Daemons_)
      Out += Measure(Daemon.Traffic_);
    return Out / Daemons_.size();
  }
};

double toSeconds(std::optional<Duration> Elapsed) {
  return Elapsed ? static_cast<double>(Elapsed->count()) / 1e6 : -1;
}

void measureSteadyState(Fleet &Sim) {
  constexpr std::uint64_t Seconds = 20;
  Sim.clearTraffic();
  Sim.run(seconds(Seconds));
  auto Sent = [](const Traffic &Item) { return Item.Sent_ / Seconds; };
  auto SentWithOverhead = [](const Traffic &Item) {
    return (Item.Sent_ + Item.Messages_ * MessageOverhead) / Seconds;
  };
  std::cout << "steady state, bytes sent per second: mean " << Sim.mean(Sent)
            << ", most " << Sim.maximum(Sent) << "; with framing: mean "
            << Sim.mean(SentWithOverhead) << ", most "
            << Sim.maximum(SentWithOverhead) << std::endl;
  EXPECT_LT(Sim.maximum(SentWithOverhead), MaxBytesPerSecond);
  auto LargestAge = Sim.largestAge();
  std::cout << "largest age in a view of the fleet: " << toSeconds(LargestAge)
            << " s" << std::endl;
  ASSERT_TRUE(LargestAge.has_value());
  EXPECT_LT(*LargestAge, seconds(60));
}

/// Withdraws 20% of the targets per minute; each is announced again 5 s later.
void measureChurn(Fleet &Sim) {
  constexpr std::uint64_t Seconds = 15;
  // Steps of 100 ms: 2.5 of 690 targets per second.
  constexpr std::size_t StepsPerWithdrawal = 4;
  std::vector<std::string> Targets;
  for (const SimDaemon &Daemon : Sim.Daemons_)
    Targets.push_back(Daemon.Target_);
  std::deque<std::size_t> Withdrawn;
  Sim.clearTraffic();
  for (std::size_t Step = 0; Step < Seconds * 10; ++Step) {
    Sim.run(milliseconds(100));
    if (Step % StepsPerWithdrawal != 0)
      continue;
    std::size_t I = randomIndex(Sim.Rng_, Sim.Daemons_.size());
    SimDaemon &Daemon = Sim.Daemons_[I];
    Daemon.Target_.clear();
    withdrawTarget(Daemon.Members_, Targets[I], Sim.now(Daemon));
    Withdrawn.push_back(I);
    if (Withdrawn.size() <= 50 / StepsPerWithdrawal)
      continue;
    Sim.Daemons_[Withdrawn.front()].Target_ = Targets[Withdrawn.front()];
    Withdrawn.pop_front();
  }
  auto Sent = [](const Traffic &Item) { return Item.Sent_ / Seconds; };
  auto SentWithOverhead = [](const Traffic &Item) {
    return (Item.Sent_ + Item.Messages_ * MessageOverhead) / Seconds;
  };
  std::cout
      << "20% of targets withdrawn per minute, bytes sent per second: mean "
      << Sim.mean(Sent) << ", most " << Sim.maximum(Sent)
      << "; with framing: mean " << Sim.mean(SentWithOverhead) << ", most "
      << Sim.maximum(SentWithOverhead) << std::endl;
  EXPECT_LT(Sim.maximum(Sent), MaxBytesPerSecond);
  for (std::size_t I : Withdrawn)
    Sim.Daemons_[I].Target_ = Targets[I];
}

void measureTicket(Fleet &Sim, std::size_t Padding) {
  Sim.clearTraffic();
  std::size_t Size = toJson(Sim.acceptTicket(Padding)).dump().size();
  auto Elapsed = Sim.runUntil([&] { return Sim.converged(); }, seconds(5),
                              milliseconds(10));
  Sim.run(seconds(10));
  auto Bytes = [](const Traffic &Item) { return Item.Tickets_; };
  auto Ratio = [&](std::uint64_t Value) {
    return static_cast<double>(Value) / static_cast<double>(Size);
  };
  std::cout << "ticket of " << Size << " bytes: at all daemons after "
            << toSeconds(Elapsed) << " s; bytes sent and received: mean "
            << Ratio(Sim.mean(Bytes)) << " times its size, most "
            << Ratio(Sim.maximum(Bytes)) << " times" << std::endl;
  // Baseline: every daemon reads the head, with all recent tickets, from the
  // store, which serves 2,000 reads per second.
  std::size_t Head = toJson(Sim.Store_.Head_).dump().size();
  double Baseline = static_cast<double>(Sim.Daemons_.size()) / 2000;
  std::cout << "baseline, all daemons read the store: " << Baseline << " s, "
            << Ratio(Head) << " times its size; ratio of bytes "
            << Ratio(Sim.mean(Bytes)) / Ratio(Head) << ", of the time "
            << toSeconds(Elapsed) / Baseline << std::endl;
  EXPECT_TRUE(Elapsed.has_value());
  EXPECT_LE(Ratio(Sim.maximum(Bytes)), 3.0);
}

void measureHealing(Fleet &Sim) {
  Sim.DropsLink_ = [](std::size_t From, std::size_t To) {
    return (From % 6 < 2) != (To % 6 < 2);
  };
  for (std::size_t I = 0; I < Sim.Daemons_.size(); ++I)
    if (I % 6 < 2)
      Sim.CutOffFromStore_.insert(I);
  Sim.run(seconds(5));
  Sim.acceptTicket(500);
  Sim.run(seconds(15));
  EXPECT_FALSE(Sim.converged());
  Sim.DropsLink_ = nullptr;
  auto Elapsed = Sim.runUntil([&] { return Sim.converged(); }, seconds(15));
  std::cout << "2 of 6 data centres cut off for 20 s: converged "
            << toSeconds(Elapsed) << " s after healing" << std::endl;
  EXPECT_TRUE(Elapsed.has_value());
}

} // namespace

TEST(FleetPerformance, KeepsTheLimitsWith690Daemons) {
  Fleet Sim(Fleet::options());
  Sim.addTargets();
  Sim.startAll();
  Sim.run(seconds(50));
  EXPECT_LT(Sim.Store_.peakPerSecond(), 200U);
  std::cout << "690 daemons start at once: most store calls in a second "
            << Sim.Store_.peakPerSecond() << std::endl;
  measureSteadyState(Sim);
  measureChurn(Sim);
  measureTicket(Sim, 2000);
  measureTicket(Sim, 20000);
  measureHealing(Sim);
}
