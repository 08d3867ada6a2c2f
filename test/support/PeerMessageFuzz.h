// Fixture for tests that send random peer messages to a real daemon.
#pragma once

#include "Cluster.h"
#include "PolicyMutation.h"
#include "RandomPeer.h"

namespace sycamore::test {

/// Two daemons with a target each, of which the first gets the messages.
class PeerMessageFuzz : public testing::Test {
protected:
  PeerMessageFuzz() {
    Cluster_.startStore();
    Cluster_.addServer("view", "dalseo");
    Cluster_.addServer("view", "dalseo");
    std::uint64_t Ticket = Cluster_.fileAndApproveTicket();
    Ready_ = Ticket != 0 && Cluster_.waitForTicket(Ticket) &&
             Cluster_.waitForTargets();
  }

  Server &receiver() { return *Cluster_.Servers_[0]; }

  /// Ends at the first round after which the daemon does not answer.
  void sendRounds(std::vector<std::string> Names) {
    RandomPeer Peer(receiver().Peer_, testSeed(), std::move(Names));
    const char *Runs = std::getenv("SYCAMORE_TEST_RUNS");
    int Rounds = Runs == nullptr ? 100 : std::atoi(Runs);
    for (int Round = 0; Round < Rounds; ++Round) {
      Peer.sendRound();
      ASSERT_EQ(Cluster_.metric(receiver(), "sycamore_serving"), 1)
          << "round " << Round;
    }
    EXPECT_TRUE(receiver().Daemon_->isRunning());
    EXPECT_GT(Cluster_.metric(receiver(), "sycamore_peer_malformed_total"), 0);
  }

  bool servesCalls() {
    return Cluster_.waitUntil([&] {
      return Cluster_.call(receiver().Caller_, "GET", "/view/echo").Status_ ==
             200;
    });
  }

  Cluster Cluster_;
  bool Ready_ = false;
};

} // namespace sycamore::test
