// Checks the guarantees for callers and operators with real processes that are
// killed, frozen, stopped and cut off from the store.
#include "Cluster.h"

#include <csignal>
#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

class RealProcess : public testing::Test {
protected:
  void startThree(const std::vector<std::string> &TargetOptions = {}) {
    Running_.startStore();
    Running_.addServer("shelfview", "dalseo", TargetOptions);
    Running_.addServer("shelfview", "dalseo", TargetOptions);
    Running_.addServer("shelfview", "suseong", TargetOptions);
    Number_ = Running_.acceptTicket();
    ASSERT_NE(Number_, 0U);
    ASSERT_TRUE(Running_.waitForTicket(Number_));
    ASSERT_TRUE(Running_.waitForTargets());
  }

  Server &server(std::size_t Index) { return *Running_.Servers_[Index]; }

  /// Waits until every daemon knows all three targets, so that calls succeed
  /// when one of them stops.
  bool waitForAllTargets() {
    return Running_.waitUntil([&] {
      for (const auto &Entry : Running_.Servers_)
        if (Running_.metric(*Entry, "sycamore_targets_known") < 3)
          return false;
      return true;
    });
  }

  /// Waits until the targets have started Count requests of a Burst; the
  /// earlier GET requests are not counted.
  bool waitForStartedPosts(std::size_t Count) {
    return Running_.waitUntil(
        [&] { return Running_.countLedger("?call=", "started") >= Count; });
  }

  Answer get(std::size_t Entry, const std::string &Path = "/shelfview/echo") {
    return Running_.call(server(Entry).Caller_, "GET", Path);
  }

  Cluster Running_;
  std::uint64_t Number_ = 0;
};

/// Calls sent at the same time through one daemon.
class Burst {
public:
  Burst(Cluster &Running, const std::string &Address, std::size_t Count,
        const std::string &Method, const std::string &Path)
      : Running_(Running),
        Client_(HttpClient::create(Running.Loop_.base()).value()),
        Count_(Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      HttpClientRequest Request;
      Request.Method_ = Method;
      Request.Path_ = Path + "?call=" + std::to_string(I);
      Request.Body_ = Method == "POST" ? "call " + std::to_string(I) : "";
      Client_->send(Address, Request, [this](HttpAnswer Whole) {
        Answers_.push_back(std::move(Whole));
      });
    }
  }

  bool wait() {
    return Running_.waitUntil([&] { return Answers_.size() == Count_; });
  }

  std::size_t countRun(const std::string &Run) const {
    std::size_t Out = 0;
    for (const HttpAnswer &Whole : Answers_) {
      const std::string *Header = findHeader(Whole.Headers_, "sycamore-run");
      if (Header && *Header == Run)
        ++Out;
    }
    return Out;
  }

  std::vector<HttpAnswer> Answers_;

private:
  Cluster &Running_;
  std::unique_ptr<HttpClient> Client_;
  std::size_t Count_;
};

} // namespace

// A planned stop must interrupt no request in flight and must end with exit
// status 0.
TEST_F(RealProcess, StopOfADaemonCutsNothing) {
  startThree({"--service-ms", "300"});
  ASSERT_TRUE(waitForAllTargets());
  Burst Calls(Running_, server(0).Caller_, 10, "POST", "/shelfview/echo");
  ASSERT_TRUE(waitForStartedPosts(4));
  server(0).Daemon_->signal(SIGTERM);
  server(0).Daemon_->signal(SIGTERM);
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countRun("done"), 10U);
  EXPECT_EQ(server(0).Daemon_->wait(seconds(20)), 0);
  EXPECT_EQ(get(1).Status_, 200);
}

// A stopping target must get no new requests and must complete the running
// ones.
TEST_F(RealProcess, StopOfATargetCutsNothing) {
  startThree({"--service-ms", "200"});
  ASSERT_TRUE(waitForAllTargets());
  Burst Calls(Running_, server(1).Caller_, 12, "POST", "/shelfview/echo");
  ASSERT_TRUE(waitForStartedPosts(4));
  server(0).TargetProcess_->signal(SIGTERM);
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countRun("done"), 12U);
  EXPECT_EQ(server(0).TargetProcess_->wait(seconds(20)), 0);
}

// A killed daemon must not make a non-idempotent request run twice, and a
// request reported as not run must not have run.
TEST_F(RealProcess, KilledDaemonRunsNothingTwice) {
  startThree({"--service-ms", "100"});
  ASSERT_TRUE(waitForAllTargets());
  Burst Calls(Running_, server(0).Caller_, 18, "POST", "/shelfview/echo");
  ASSERT_TRUE(waitForStartedPosts(6));
  server(1).Daemon_->kill();
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countRun("done") + Calls.countRun("unknown") +
                Calls.countRun("not-run"),
            18U);
  std::size_t Ran = 0;
  for (std::size_t I = 0; I < 18; ++I) {
    std::string Mark = "call=" + std::to_string(I) + "\"";
    std::size_t Times = Running_.countLedger(Mark, "started");
    EXPECT_LE(Times, 1U) << Mark;
    Ran += Times;
  }
  EXPECT_LE(Ran, Calls.countRun("done") + Calls.countRun("unknown"));
  EXPECT_GE(Ran, Calls.countRun("done"));
}

// A frozen daemon must not delay idempotent calls, and must serve the current
// ticket after it resumes.
TEST_F(RealProcess, FrozenDaemonIsAvoidedAndComesBack) {
  startThree();
  ASSERT_TRUE(waitForAllTargets());
  server(2).Daemon_->signal(SIGSTOP);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(get(0).Status_, 200);
  std::uint64_t Next = Running_.acceptTicket();
  ASSERT_NE(Next, 0U);
  server(2).Daemon_->signal(SIGCONT);
  ASSERT_TRUE(Running_.waitForTicket(Next));
  ASSERT_TRUE(Running_.waitUntil([&] { return get(2).Status_ == 200; }));
}

// A store outage must not affect calls, and sycamorectl must report it to
// operators.
TEST_F(RealProcess, StoreOutageLeavesCallsAlone) {
  startThree();
  Running_.fault(Running_.storeAddress(), {{"down", true}});
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(get(static_cast<std::size_t>(I % 3)).Status_, 200);
  std::string Output;
  int Exit = Running_.control({"--timeout", "2", "ticket", "list"}, &Output);
  EXPECT_EQ(Exit, 5) << Output;
  Running_.fault(Running_.storeAddress(), {{"down", false}});
  std::uint64_t Next = Running_.acceptTicket();
  ASSERT_NE(Next, 0U);
  EXPECT_TRUE(Running_.waitForTicket(Next));
}

// A daemon that restarts while the store is down must adopt its peers' ticket
// and serve it.
TEST_F(RealProcess, RestartWithoutAStoreTakesThePeersTicket) {
  startThree();
  Running_.fault(Running_.storeAddress(), {{"down", true}});
  Json Peers = Json::array();
  for (std::size_t Index : {std::size_t{0}, std::size_t{2}})
    Peers.push_back({{"name", server(Index).Name_},
                     {"data_centre", server(Index).DataCentre_},
                     {"peer_address", server(Index).Peer_}});
  Running_.restartDaemon(server(1), {{"bootstrap_peers", Peers}});
  ASSERT_TRUE(Running_.waitUntil([&] { return get(1).Status_ == 200; }));
  EXPECT_EQ(Running_.admin(server(1), "/status")["ticket"], Number_);
  EXPECT_EQ(Running_.admin(server(1), "/status")["floor_basis"], "peers");
}

// After a restart of all daemons while the store is down, no daemon can know
// the current ticket. None may serve; each must refuse requests as not run
// until the store is back.
TEST_F(RealProcess, RestartOfAllWithoutAStoreRefusesTruthfully) {
  startThree();
  Running_.fault(Running_.storeAddress(), {{"down", true}});
  for (const auto &Entry : Running_.Servers_)
    Entry->Daemon_->kill();
  for (const auto &Entry : Running_.Servers_)
    Running_.restartDaemon(*Entry);
  Running_.Loop_.runFor(seconds(3));
  for (std::size_t Index = 0; Index < 3; ++Index) {
    Answer Refused = get(Index);
    EXPECT_EQ(Refused.Status_, 503);
    EXPECT_EQ(Refused.Run_, "not-run");
    EXPECT_NE(findHeader(Refused.Headers_, "retry-after"), nullptr);
  }
  Running_.fault(Running_.storeAddress(), {{"down", false}});
  ASSERT_TRUE(Running_.waitForTicket(Number_));
  ASSERT_TRUE(Running_.waitForTargets());
}

// A request that crashes every target that runs it must crash few targets,
// however often its caller resends it, and an operator must find it in the
// quarantine list in order to clear it.
TEST_F(RealProcess, CrashRequestLosesFewTargets) {
  startThree();
  ASSERT_TRUE(waitForAllTargets());
  for (const auto &Entry : Running_.Servers_)
    Running_.fault(Entry->Target_, {{"crash_marker", "poison"}});
  bool Refused = false;
  for (std::size_t I = 0; I < 8 && !Refused; ++I)
    Refused =
        Running_
            .call(server(I % 3).Caller_, "POST", "/shelfview/echo", "poison")
            .Status_ == 429;
  EXPECT_TRUE(Refused);
  std::size_t Lost = 0;
  for (const auto &Entry : Running_.Servers_)
    if (!Entry->TargetProcess_->isRunning())
      ++Lost;
  EXPECT_LE(Lost, 2U);
  EXPECT_TRUE(Running_.waitUntil([&] { return get(0).Status_ == 200; }));
  std::string Output;
  EXPECT_EQ(Running_.control({"quarantine", "list"}, &Output), 0);
  EXPECT_NE(Output.find("/shelfview/echo"), std::string::npos) << Output;
}
