// A simulated fleet whose store is restored from a copy.
#pragma once

#include "FleetSim.h"

#include <gtest/gtest.h>

namespace sycamore::test {

struct RestoredFleet : FleetSim {
  explicit RestoredFleet(std::uint64_t Seed) : FleetSim(options(Seed)) {
    acceptTicket();
    EXPECT_TRUE(startAndConverge());
    run(seconds(5));
  }

  static FleetOptions options(std::uint64_t Seed) {
    FleetOptions Out;
    Out.Seed_ = Seed;
    Out.PerDataCentre_ = 20;
    Out.BootstrapConfig_.MaxReadDelay_ = milliseconds(100);
    Out.BootstrapConfig_.MinRetryDelay_ = seconds(1);
    Out.BootstrapConfig_.MaxRetryDelay_ = seconds(2);
    Out.BootstrapConfig_.ReaderDelay_ = seconds(1);
    return Out;
  }

  /// Loses a ticket that is in force everywhere, and all seeds.
  void losesATicket() {
    SimStore Copy = Store_;
    Copy.Seeds_.clear();
    acceptTicket();
    EXPECT_TRUE(runUntil([this] { return converged(); }, seconds(5)));
    Lost_ = Store_;
    Store_.Head_ = Copy.Head_;
    Store_.Current_ = Copy.Current_;
    Store_.Seeds_ = Copy.Seeds_;
    for (std::size_t I : Store_.Watchers_)
      noticeRestoration(I);
  }

  /// The operators write the lost ticket again.
  void writesItAgain() {
    Store_.Head_ = Lost_.Head_;
    Store_.Current_ = Lost_.Current_;
  }

  bool allRun(std::uint64_t Number) const {
    return std::all_of(Daemons_.begin(), Daemons_.end(),
                       [Number](const SimDaemon &Daemon) {
                         return hasFloor(Daemon.Bootstrap_) &&
                                Daemon.Replica_.Current_->Number_ == Number;
                       });
  }

  SimStore Lost_;
};

} // namespace sycamore::test
