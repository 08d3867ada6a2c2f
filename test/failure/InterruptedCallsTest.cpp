// Guards against a signal that ends the process: ZeroMQ reports calls that a
// signal interrupts as errors, and its C++ interface throws them.
#include "EventLoop.h"
#include "LoopSocket.h"

#include <csignal>
#include <gtest/gtest.h>
#include <sys/time.h>

using namespace sycamore;

namespace {

/// Signals this process at a high rate while it exists.
class SignalStorm {
public:
  SignalStorm() {
    struct sigaction Action {};
    Action.sa_handler = [](int) {};
    sigaction(SIGALRM, &Action, &Before_);
    itimerval Rate{{0, 25}, {0, 25}};
    setitimer(ITIMER_REAL, &Rate, nullptr);
  }
  SignalStorm(const SignalStorm &) = delete;
  SignalStorm &operator=(const SignalStorm &) = delete;
  ~SignalStorm() {
    itimerval Off{};
    setitimer(ITIMER_REAL, &Off, nullptr);
    sigaction(SIGALRM, &Before_, nullptr);
  }

private:
  struct sigaction Before_ {};
};

} // namespace

TEST(InterruptedCalls, OfZeroMqAreRepeated) {
  constexpr std::size_t MessageCount = 300000;
  EventLoop Loop;
  zmq::context_t Context;
  zmq::socket_t Left(Context, ZMQ_PAIR);
  zmq::socket_t Right(Context, ZMQ_PAIR);
  Left.bind("inproc://interrupted");
  Right.connect("inproc://interrupted");
  std::size_t Returned = 0;
  std::unique_ptr<LoopSocket> Echo;
  std::unique_ptr<LoopSocket> Sender;
  Echo = std::make_unique<LoopSocket>(
      Loop.base(), std::move(Right), [&](std::vector<zmq::message_t> &Parts) {
        ASSERT_EQ(Parts.size(), 2U);
        Echo->send({Parts[0].to_string_view(), Parts[1].to_string_view()},
                   false);
      });
  Sender = std::make_unique<LoopSocket>(
      Loop.base(), std::move(Left), [&](std::vector<zmq::message_t> &Parts) {
        ASSERT_EQ(Parts.size(), 2U);
        EXPECT_EQ(Parts[0].to_string_view(), "message");
        EXPECT_EQ(Parts[1].to_string_view(), "body");
        ++Returned;
        Sender->send({"message", "body"}, false);
      });
  SignalStorm Storm;
  Sender->send({"message", "body"}, false);
  EXPECT_TRUE(Loop.runUntil([&] { return Returned >= MessageCount; }));
}
