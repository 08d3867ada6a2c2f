// Guards against a fleet status that shows information as newer than it is.
#include "FleetSim.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// A fleet that records when each daemon last ran each ticket.
struct Fleet : FleetSim {
  std::vector<std::map<std::uint64_t, TimePoint>> LastRunAt_;
  std::map<std::size_t, std::uint64_t> LastTicket_;
  std::uint64_t RowsChecked_ = 0;

  explicit Fleet(const FleetOptions &Options) : FleetSim(Options) {
    LastRunAt_.resize(Daemons_.size());
  }

  /// Records the ticket in force and, if it was replaced since the last call,
  /// the previous one.
  void recordTickets() {
    for (std::size_t I = 0; I < Daemons_.size(); ++I) {
      std::uint64_t Number = Daemons_[I].Replica_.Current_->Number_;
      if (Daemons_[I].FrozenUntil_ > time())
        continue;
      LastRunAt_[I][std::exchange(LastTicket_[I], Number)] = time();
      LastRunAt_[I][Number] = time();
    }
  }

  /// Each row must have been true at most its age ago.
  void checkAges(Duration Slack) {
    for (const SimDaemon &Daemon : Daemons_) {
      if (Daemon.FrozenUntil_ > time())
        continue;
      for (const FleetRow &Row : fleetView(Daemon.Members_, now(Daemon))) {
        if (!Row.Age_ || Row.Name_ == Daemon.Name_)
          continue;
        std::size_t Index = std::stoul(Row.Name_.substr(7));
        auto LastRun = LastRunAt_[Index].find(Row.Ticket_);
        ASSERT_NE(LastRun, LastRunAt_[Index].end())
            << Row.Name_ << " " << Row.Ticket_;
        Duration TrueAge = time() - LastRun->second;
        ++RowsChecked_;
        ASSERT_LE(TrueAge, *Row.Age_ + Slack)
            << Daemon.Name_ << " about " << Row.Name_ << " ticket "
            << Row.Ticket_ << " seed " << Options_.Seed_;
      }
    }
  }
};

} // namespace

// With slow links, freezes and new tickets, the reported age is never below the
// true age by more than the interval of this check.
TEST(Heartbeats, AgesAreNeverTooLow) {
  FleetOptions Options;
  Options.Seed_ = testSeed(11);
  Options.PerDataCentre_ = 8;
  Options.Loss_ = 0.05;
  Options.RemoteDelay_ = milliseconds(600);
  Options.ExtraDelay_ = milliseconds(300);
  Fleet Sim(Options);
  Sim.acceptTicket();
  Sim.startAll();
  for (int Step = 0; Step < 2400; ++Step) {
    Sim.run(milliseconds(50));
    Sim.recordTickets();
    if (Step % 200 == 150)
      Sim.acceptTicket();
    if (Step % 300 == 100)
      Sim.freeze(randomIndex(Sim.Rng_, Sim.Daemons_.size()), seconds(8));
    Sim.checkAges(milliseconds(60));
    if (HasFatalFailure())
      return;
  }
  EXPECT_GT(Sim.RowsChecked_, 100000U);
}

TEST(Heartbeats, ShowsRejectedTicketsAndServersWithoutHeartbeat) {
  FleetOptions Options;
  FleetSim Sim(Options);
  Sim.acceptTicket();
  ASSERT_TRUE(Sim.startAndConverge());
  setOwnRejectedTicket(Sim.Daemons_[3].Members_, 9);
  Sim.run(seconds(40));
  wire::ServerRecord Seed;
  Seed.set_name("never-heard");
  Seed.set_data_centre("dc0");
  SimDaemon &Viewer = Sim.Daemons_[1];
  addSeeds(Viewer.Members_, std::span(&Seed, 1), Sim.now(Viewer));
  for (const FleetRow &Row : fleetView(Viewer.Members_, Sim.now(Viewer))) {
    EXPECT_EQ(Row.Age_.has_value(), Row.Name_ != "never-heard");
    EXPECT_EQ(Row.RejectedTicket_, Row.Name_ == "server-3" ? 9U : 0U);
  }
}
