// Guards against clients outside the limits that end a daemon, take its memory
// or descriptors, or keep ordinary callers from being served, on each path of
// each listener.
#include "HostileClients.h"
#include "Cluster.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

enum class Entrance { Route, NoRoute, Readiness, Admin };

constexpr std::size_t CrowdSize = 64;
/// Fields of headers take up to thirty times their bytes in memory; it takes
/// more connections than bodies do until their sum shows.
constexpr std::size_t HeaderCrowdSize = 120;

/// Longest time that a crowd sends; one that is refused ends sooner.
constexpr Duration SendTime = seconds(2);

/// Lowered limits of the daemon.
constexpr std::size_t BufferBytes = 4U << 20U;

/// Requests received, requests passed on and answers each may fill a buffer,
/// and as much again while they are copied. The rest is for the buffers of the
/// sockets, the log and the heap's fragments.
constexpr std::size_t MaxGrowthBytes = 4 * BufferBytes + (16U << 20U);

/// Descriptors beside those of the crowd: files, targets, store and peers.
constexpr std::size_t OtherDescriptors = 80;

class HostileClientsOfDaemon : public testing::Test {
protected:
  void start(const Json &ExtraLimits = Json::object()) {
    Json Limits = {{"max_header_bytes", MaxHeaderBytes},
                   {"max_body_bytes", MaxBodyBytes},
                   {"request_buffer_bytes", BufferBytes},
                   {"response_buffer_bytes", BufferBytes},
                   {"answer_buffer_bytes", BufferBytes}};
    Limits.merge_patch(ExtraLimits);
    Cluster_.startStore();
    Cluster_.addServer("view", "dalseo", {},
                       {{"ready_listen", "127.0.0.1:0"}, {"limits", Limits}});
    std::uint64_t Ticket = Cluster_.fileAndApproveTicket();
    ASSERT_NE(Ticket, 0U);
    ASSERT_TRUE(Cluster_.waitForTicket(Ticket));
    ASSERT_TRUE(Cluster_.waitForTargets());
    MemoryBefore_ = server().Daemon_->memoryBytes();
    ASSERT_GT(MemoryBefore_, 0U);
  }

  Server &server() { return *Cluster_.Servers_[0]; }

  void send(const std::string &Address, const HostileInput &Input,
            std::size_t Size = CrowdSize) {
    Crowds_.emplace_back(Cluster_.Loop_, Address, Size, Input).send(SendTime);
    Connections_ += Size;
  }

  /// Checks the daemon while the crowd is still connected, with an ordinary
  /// request for Path at the same listener and one of an ordinary caller.
  void expectUnharmed(const std::string &Address, const std::string &Path,
                      std::size_t MaxGrowth = MaxGrowthBytes) {
    EXPECT_TRUE(server().Daemon_->isRunning());
    EXPECT_TRUE(Cluster_.waitUntil([&] {
      return Cluster_.call(Address, "GET", Path).Status_ == 200 &&
             Cluster_.call(server().Caller_, "GET", "/view/echo").Status_ ==
                 200;
    }));
    EXPECT_TRUE(server().Daemon_->isRunning());
    std::size_t Peak = server().Daemon_->peakMemoryBytes();
    std::size_t Descriptors = server().Daemon_->openDescriptors();
    RecordProperty("grown_bytes", std::to_string(Peak - MemoryBefore_));
    EXPECT_LT(Peak - MemoryBefore_, MaxGrowth);
    EXPECT_LE(Descriptors, Connections_ + OtherDescriptors);
  }

  Cluster Cluster_;
  std::list<HostileCrowd> Crowds_;
  std::size_t MemoryBefore_ = 0;
  std::size_t Connections_ = 0;
};

class HostileClients : public HostileClientsOfDaemon,
                       public testing::WithParamInterface<Entrance> {
protected:
  std::string address() {
    switch (GetParam()) {
    case Entrance::Readiness:
      return server().Ready_;
    case Entrance::Admin:
      return server().Admin_;
    default:
      return server().Caller_;
    }
  }

  static std::string path() {
    switch (GetParam()) {
    case Entrance::Route:
      return "/view/echo";
    case Entrance::NoRoute:
      return "/nowhere";
    case Entrance::Readiness:
      return "/";
    case Entrance::Admin:
      return "/metrics";
    }
    return {};
  }

  /// Path of an ordinary request to the same listener.
  static std::string ordinaryPath() {
    return GetParam() == Entrance::NoRoute ? "/view/echo" : path();
  }

  void send(const HostileInput &Input, std::size_t Size = CrowdSize) {
    HostileClientsOfDaemon::send(address(), Input, Size);
  }
  void expectUnharmed() {
    HostileClientsOfDaemon::expectUnharmed(address(), ordinaryPath());
  }
};

/// Lowers the limit of descriptors of processes started meanwhile.
class DescriptorLimit {
public:
  explicit DescriptorLimit(std::size_t Limit) {
    getrlimit(RLIMIT_NOFILE, &Before_);
    rlimit Lowered = Before_;
    Lowered.rlim_cur = Limit;
    EXPECT_EQ(setrlimit(RLIMIT_NOFILE, &Lowered), 0);
  }
  DescriptorLimit(const DescriptorLimit &) = delete;
  DescriptorLimit &operator=(const DescriptorLimit &) = delete;
  ~DescriptorLimit() { setrlimit(RLIMIT_NOFILE, &Before_); }

private:
  rlimit Before_{};
};

std::string entranceName(const testing::TestParamInfo<Entrance> &Parameter) {
  switch (Parameter.param) {
  case Entrance::Route:
    return "Route";
  case Entrance::NoRoute:
    return "NoRoute";
  case Entrance::Readiness:
    return "Readiness";
  case Entrance::Admin:
    return "Admin";
  }
  return {};
}

} // namespace

TEST_P(HostileClients, ThatStopShortOfTheEndOfABody) {
  start();
  send(almostWholeBody(path(), SIZE_MAX));
  expectUnharmed();
}

TEST_P(HostileClients, ThatSendWholeBodiesAtOnce) {
  start();
  HostileInput Input = almostWholeBody(path(), SIZE_MAX);
  Input.Rest_ += 'x';
  send(Input);
  expectUnharmed();
}

TEST_P(HostileClients, ThatSendABodyInSmallPieces) {
  start();
  send(almostWholeBody(path(), 8192));
  expectUnharmed();
}

TEST_P(HostileClients, ThatSendABodyInChunks) {
  start();
  send(almostWholeChunks(path()));
  expectUnharmed();
}

TEST_P(HostileClients, ThatSendBodiesOverTheLimit) {
  start();
  send(bodyOverLimit(path(), false));
  send(bodyOverLimit(path(), true));
  expectUnharmed();
}

TEST_P(HostileClients, ThatSendManyShortFields) {
  start();
  send(shortFields(path(), false), HeaderCrowdSize);
  send(shortFields(path(), true), HeaderCrowdSize);
  expectUnharmed();
}

TEST_P(HostileClients, ThatSendRequestsAheadAndReadNothing) {
  start();
  send(requestsAhead(path()));
  expectUnharmed();
}

TEST_P(HostileClients, ThatSendSlowly) {
  start();
  send(slowHeaders(path()));
  expectUnharmed();
}

TEST_P(HostileClients, ThatLeaveAnswersUnread) {
  start();
  bool HasLargeAnswers = GetParam() == Entrance::Route;
  send(unreadAnswer(HasLargeAnswers ? "/view/bytes/1000000" : path()));
  expectUnharmed();
}

TEST_P(HostileClients, ThatStopHalfWay) {
  start();
  send({"", ""});
  send({requestStart("GET", path()).substr(0, 9), ""});
  send({requestStart("POST", path()) + "Content-Length: 10\r\n\r\nhalf", ""});
  expectUnharmed();
}

// More connections than the process may have descriptors.
TEST_P(HostileClients, ThatOpenMoreConnectionsThanDescriptors) {
  constexpr std::size_t Descriptors = 256;
  constexpr std::size_t Reserve = 32;
  {
    DescriptorLimit Lowered(Descriptors);
    start();
  }
  send({requestStart("GET", path()), ""}, Descriptors);
  Cluster_.Loop_.runFor(seconds(1));
  EXPECT_LE(server().Daemon_->openDescriptors(), Descriptors - Reserve);
  expectUnharmed();
}

// Guards against a limit that each listener counts for itself, so that their
// sum exceeds the memory of the machine.
TEST_F(HostileClientsOfDaemon, ThatHoldBodiesAtAllListeners) {
  constexpr std::size_t Buffer = 16U << 20U;
  start({{"request_buffer_bytes", Buffer}});
  for (const std::string &Address :
       {server().Caller_, server().Ready_, server().Admin_})
    send(Address, almostWholeBody("/view/echo", SIZE_MAX));
  expectUnharmed(server().Caller_, "/view/echo", Buffer + (16U << 20U));
}

INSTANTIATE_TEST_SUITE_P(Paths, HostileClients,
                         testing::Values(Entrance::Route, Entrance::NoRoute,
                                         Entrance::Readiness, Entrance::Admin),
                         entranceName);
