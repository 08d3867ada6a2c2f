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

constexpr std::uint64_t ByteLimit = 3000;

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
  std::optional<Duration> oldestKnowledge() const {
    Duration Oldest(0);
    for (const SimDaemon &Daemon : Daemons_)
      for (const FleetRow &Row : fleetView(Daemon.Members_, now(Daemon))) {
        if (!Row.Age_)
          return std::nullopt;
        Oldest = std::max(Oldest, *Row.Age_);
      }
    return Oldest;
  }

  template <typename Value> std::uint64_t most(Value Of) const {
    std::uint64_t Out = 0;
    for (const SimDaemon &Daemon : Daemons_)
      Out = std::max(Out, Of(Daemon.Traffic_));
    return Out;
  }

  template <typename Value> std::uint64_t mean(Value Of) const {
    std::uint64_t Out = 0;
    for (const SimDaemon &Daemon : Daemons_)
      Out += Of(Daemon.Traffic_);
    return Out / Daemons_.size();
  }
};

double toSeconds(std::optional<Duration> Span) {
  return Span ? static_cast<double>(Span->count()) / 1e6 : -1;
}

void measureSteadyState(Fleet &Sim) {
  constexpr std::uint64_t Span = 20;
  Sim.clearTraffic();
  Sim.run(seconds(Span));
  auto Sent = [](const Traffic &Item) { return Item.Sent_ / Span; };
  auto Framed = [](const Traffic &Item) {
    return (Item.Sent_ + Item.Messages_ * MessageOverhead) / Span;
  };
  std::cout << "steady state, bytes sent per second: mean " << Sim.mean(Sent)
            << ", most " << Sim.most(Sent) << "; with framing: mean "
            << Sim.mean(Framed) << ", most " << Sim.most(Framed) << std::endl;
  EXPECT_LT(Sim.most(Framed), ByteLimit);
  auto Oldest = Sim.oldestKnowledge();
  std::cout << "largest age in a view of the fleet: " << toSeconds(Oldest)
            << " s" << std::endl;
  ASSERT_TRUE(Oldest.has_value());
  EXPECT_LT(*Oldest, seconds(60));
}

/// Withdraws 20% of the targets per minute; each is announced again 5 s later.
void measureChurn(Fleet &Sim) {
  constexpr std::uint64_t Span = 15;
  constexpr std::size_t EverySteps = 4; // Of 100 ms: 2.5 of 690 per second.
  std::vector<std::string> Targets;
  for (const SimDaemon &Daemon : Sim.Daemons_)
    Targets.push_back(Daemon.Target_);
  std::deque<std::size_t> Away;
  Sim.clearTraffic();
  for (std::size_t Step = 0; Step < Span * 10; ++Step) {
    Sim.run(milliseconds(100));
    if (Step % EverySteps != 0)
      continue;
    std::size_t I = randomIndex(Sim.Rng_, Sim.Daemons_.size());
    SimDaemon &Daemon = Sim.Daemons_[I];
    Daemon.Target_.clear();
    withdrawTarget(Daemon.Members_, Targets[I], Sim.now(Daemon));
    Away.push_back(I);
    if (Away.size() <= 50 / EverySteps)
      continue;
    Sim.Daemons_[Away.front()].Target_ = Targets[Away.front()];
    Away.pop_front();
  }
  auto Sent = [](const Traffic &Item) { return Item.Sent_ / Span; };
  auto Framed = [](const Traffic &Item) {
    return (Item.Sent_ + Item.Messages_ * MessageOverhead) / Span;
  };
  std::cout
      << "20% of targets withdrawn per minute, bytes sent per second: mean "
      << Sim.mean(Sent) << ", most " << Sim.most(Sent)
      << "; with framing: mean " << Sim.mean(Framed) << ", most "
      << Sim.most(Framed) << std::endl;
  EXPECT_LT(Sim.most(Sent), ByteLimit);
  for (std::size_t I : Away)
    Sim.Daemons_[I].Target_ = Targets[I];
}

void measureTicket(Fleet &Sim, std::size_t Padding) {
  Sim.clearTraffic();
  std::size_t Size = toJson(Sim.acceptTicket(Padding)).dump().size();
  auto Span = Sim.runUntil([&] { return Sim.converged(); }, seconds(5),
                           milliseconds(10));
  Sim.run(seconds(10));
  auto Bytes = [](const Traffic &Item) { return Item.Tickets_; };
  auto Ratio = [&](std::uint64_t Value) {
    return static_cast<double>(Value) / static_cast<double>(Size);
  };
  std::cout << "ticket of " << Size << " bytes: at all daemons after "
            << toSeconds(Span) << " s; bytes sent and received: mean "
            << Ratio(Sim.mean(Bytes)) << " times its size, most "
            << Ratio(Sim.most(Bytes)) << " times" << std::endl;
  // Baseline: every daemon reads the head, with all recent tickets, from the
  // store, which serves 2,000 reads per second.
  std::size_t Head = toJson(Sim.Store_.Head_).dump().size();
  double Baseline = static_cast<double>(Sim.Daemons_.size()) / 2000;
  std::cout << "baseline, all daemons read the store: " << Baseline << " s, "
            << Ratio(Head) << " times its size; ratio of bytes "
            << Ratio(Sim.mean(Bytes)) / Ratio(Head) << ", of the time "
            << toSeconds(Span) / Baseline << std::endl;
  EXPECT_TRUE(Span.has_value());
  EXPECT_LE(Ratio(Sim.most(Bytes)), 3.0);
}

void measureHealing(Fleet &Sim) {
  Sim.Cut_ = [](std::size_t From, std::size_t To) {
    return (From % 6 < 2) != (To % 6 < 2);
  };
  for (std::size_t I = 0; I < Sim.Daemons_.size(); ++I)
    if (I % 6 < 2)
      Sim.StoreCut_.insert(I);
  Sim.run(seconds(5));
  Sim.acceptTicket(500);
  Sim.run(seconds(15));
  EXPECT_FALSE(Sim.converged());
  Sim.Cut_ = nullptr;
  auto Span = Sim.runUntil([&] { return Sim.converged(); }, seconds(15));
  std::cout << "2 of 6 data centres cut off for 20 s: converged "
            << toSeconds(Span) << " s after healing" << std::endl;
  EXPECT_TRUE(Span.has_value());
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
