// Guards against a daemon that runs out of memory, or stops serving, when a
// peer sends large messages without end.
#include "Cluster.h"

#include <gtest/gtest.h>
#include <zmq.hpp>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// Memory of the smallest hosts that are served.
constexpr std::size_t HostMemoryBytes = 160'000'000;

constexpr std::size_t AllBytes = 512U << 20U;

class EndlessPeerBytes : public testing::Test {
protected:
  EndlessPeerBytes() {
    Cluster_.startStore();
    Cluster_.addServer("view", "dalseo");
    std::uint64_t Ticket = Cluster_.fileAndApproveTicket();
    Ready_ = Ticket != 0 && Cluster_.waitForTicket(Ticket) &&
             Cluster_.waitForTargets();
  }

  Server &receiver() { return *Cluster_.Servers_[0]; }

  void expectUnharmed() {
    EXPECT_TRUE(receiver().Daemon_->isRunning());
    EXPECT_EQ(Cluster_.call(receiver().Caller_, "GET", "/view/echo").Status_,
              200);
    std::size_t Peak = receiver().Daemon_->peakMemoryBytes();
    RecordProperty("peak_bytes", std::to_string(Peak));
    EXPECT_GT(Peak, 0U);
    EXPECT_LT(Peak, HostMemoryBytes);
  }

  Cluster Cluster_;
  bool Ready_ = false;
};

} // namespace

TEST_F(EndlessPeerBytes, OfLargeMessagesFitIntoTheHost) {
  constexpr std::size_t MessageBytes = 8U << 20U;
  ASSERT_TRUE(Ready_);
  zmq::context_t Context(1);
  zmq::socket_t Peer(Context, ZMQ_DEALER);
  Peer.set(zmq::sockopt::linger, 0);
  Peer.set(zmq::sockopt::sndhwm, 1);
  Peer.set(zmq::sockopt::sndtimeo, 1000);
  Peer.connect("tcp://" + receiver().Peer_);
  const std::string Message(MessageBytes, 'x');
  bool Taken = true;
  for (std::size_t Sent = 0; Taken && Sent < AllBytes; Sent += MessageBytes)
    Taken = Peer.send(zmq::buffer(Message)).has_value();
  expectUnharmed();
}
