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
    Cluster_.startStore();
    Cluster_.addServer("shelfview", "dalseo", TargetOptions);
    Cluster_.addServer("shelfview", "dalseo", TargetOptions);
    Cluster_.addServer("shelfview", "suseong", TargetOptions);
    TicketNumber_ = Cluster_.fileAndApproveTicket();
    ASSERT_NE(TicketNumber_, 0U);
    ASSERT_TRUE(Cluster_.waitForTicket(TicketNumber_));
    ASSERT_TRUE(Cluster_.waitForTargets());
  }

  /// One daemon whose planned stop ends sooner than a request runs.
  void startOneWithStopLimit(int StopLimitMs) {
    Cluster_.startStore();
    Cluster_.addServer("shelfview", "dalseo",
                       {"--service-ms", "2000", "--slots", "4"},
                       {{"stop_limit_ms", StopLimitMs},
                        {"timing", {{"leave_notice_ms", 1000}}}});
    TicketNumber_ = Cluster_.fileAndApproveTicket();
    ASSERT_NE(TicketNumber_, 0U);
    ASSERT_TRUE(Cluster_.waitForTicket(TicketNumber_));
    ASSERT_TRUE(Cluster_.waitForTargets());
  }

  Server &server(std::size_t Index) { return *Cluster_.Servers_[Index]; }

  /// Waits until every daemon knows all three targets, so that calls succeed
  /// when one of them stops.
  bool waitForAllTargets() {
    return Cluster_.waitUntil([&] {
      for (const auto &Entry : Cluster_.Servers_)
        if (Cluster_.metric(*Entry, "sycamore_targets_known") < 3)
          return false;
      return true;
    });
  }

  /// Waits until the targets have started Count requests of a Burst; the
  /// earlier GET requests are not counted.
  bool waitForStartedPosts(std::size_t Count) {
    return Cluster_.waitUntil(
        [&] { return Cluster_.countLedger("?call=", "started") >= Count; });
  }

  CallResponse get(std::size_t Entry,
                   const std::string &Path = "/shelfview/echo") {
    return Cluster_.call(server(Entry).Caller_, "GET", Path);
  }

  Cluster Cluster_;
  std::uint64_t TicketNumber_ = 0;
};

/// Calls sent at the same time through one daemon.
class Burst {
public:
  Burst(Cluster &TestCluster, const std::string &Address, std::size_t Count,
        const std::string &Method, const std::string &Path)
      : Cluster_(TestCluster),
        Client_(HttpClient::create(TestCluster.Loop_.base()).value()),
        Count_(Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      HttpClientRequest Request;
      Request.Method_ = Method;
      Request.Path_ = Path + "?call=" + std::to_string(I);
      Request.Body_ = Method == "POST" ? "call " + std::to_string(I) : "";
      Client_->send(Address, Request, [this](HttpResponse Response) {
        Answers_.push_back(std::move(Response));
      });
    }
  }

  bool wait() {
    return Cluster_.waitUntil([&] { return Answers_.size() == Count_; });
  }

  std::size_t countOutcome(const std::string &Run) const {
    std::size_t Out = 0;
    for (const HttpResponse &Response : Answers_) {
      const std::string *Header = findHeader(Response.Headers_, "sycamore-run");
      if (Header && *Header == Run)
        ++Out;
    }
    return Out;
  }

  std::vector<HttpResponse> Answers_;

private:
  Cluster &Cluster_;
  std::unique_ptr<HttpClient> Client_;
  std::size_t Count_;
};

} // namespace

// A planned stop must interrupt no request in flight and must end with exit
// status 0.
TEST_F(RealProcess, DaemonStopInterruptsNoRequest) {
  startThree({"--service-ms", "300"});
  ASSERT_TRUE(waitForAllTargets());
  Burst Calls(Cluster_, server(0).Caller_, 10, "POST", "/shelfview/echo");
  ASSERT_TRUE(waitForStartedPosts(4));
  server(0).Daemon_->signal(SIGTERM);
  server(0).Daemon_->signal(SIGTERM);
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countOutcome("done"), 10U);
  EXPECT_EQ(server(0).Daemon_->wait(seconds(20)), 0);
  EXPECT_EQ(get(1).Status_, 200);
}

// Requests that are running when the stop limit is reached must be answered.
TEST_F(RealProcess, DaemonStopLeavesNoRequestWithoutAnswer) {
  startOneWithStopLimit(1500);
  Burst Calls(Cluster_, server(0).Caller_, 4, "POST", "/shelfview/echo");
  ASSERT_TRUE(waitForStartedPosts(4));
  server(0).Daemon_->signal(SIGTERM);
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countOutcome("unknown"), 4U);
}

// During a planned stop, requests that would be cut at its end must be refused
// before they run.
TEST_F(RealProcess, DaemonStopTakesNoRequestThatCannotEnd) {
  startOneWithStopLimit(1500);
  server(0).Daemon_->signal(SIGTERM);
  ASSERT_TRUE(Cluster_.waitUntil(
      [&] { return Cluster_.metric(server(0), "sycamore_stopping") == 1; }));
  Burst Calls(Cluster_, server(0).Caller_, 4, "POST", "/shelfview/echo");
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countOutcome("not-run"), 4U);
  EXPECT_EQ(Cluster_.countLedger("?call=", "started"), 0U);
}

// A stopping target must get no new requests and must complete the running
// ones.
TEST_F(RealProcess, TargetStopInterruptsNoRequest) {
  startThree({"--service-ms", "200"});
  ASSERT_TRUE(waitForAllTargets());
  Burst Calls(Cluster_, server(1).Caller_, 12, "POST", "/shelfview/echo");
  ASSERT_TRUE(waitForStartedPosts(4));
  server(0).TargetProcess_->signal(SIGTERM);
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countOutcome("done"), 12U);
  EXPECT_EQ(server(0).TargetProcess_->wait(seconds(20)), 0);
}

// A killed daemon must not make a non-idempotent request run twice, and a
// request reported as not run must not have run.
TEST_F(RealProcess, KilledDaemonRunsNothingTwice) {
  startThree({"--service-ms", "100"});
  ASSERT_TRUE(waitForAllTargets());
  Burst Calls(Cluster_, server(0).Caller_, 18, "POST", "/shelfview/echo");
  ASSERT_TRUE(waitForStartedPosts(6));
  server(1).Daemon_->kill();
  ASSERT_TRUE(Calls.wait());
  EXPECT_EQ(Calls.countOutcome("done") + Calls.countOutcome("unknown") +
                Calls.countOutcome("not-run"),
            18U);
  std::size_t TotalRuns = 0;
  for (std::size_t I = 0; I < 18; ++I) {
    std::string CallText = "call=" + std::to_string(I) + "\"";
    std::size_t RunCount = Cluster_.countLedger(CallText, "started");
    EXPECT_LE(RunCount, 1U) << CallText;
    TotalRuns += RunCount;
  }
  EXPECT_LE(TotalRuns,
            Calls.countOutcome("done") + Calls.countOutcome("unknown"));
  EXPECT_GE(TotalRuns, Calls.countOutcome("done"));
}

// A frozen daemon must not delay idempotent calls, and must serve the current
// ticket after it resumes.
TEST_F(RealProcess, FrozenDaemonIsAvoidedAndComesBack) {
  startThree();
  ASSERT_TRUE(waitForAllTargets());
  server(2).Daemon_->signal(SIGSTOP);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(get(0).Status_, 200);
  std::uint64_t NextTicket = Cluster_.fileAndApproveTicket();
  ASSERT_NE(NextTicket, 0U);
  server(2).Daemon_->signal(SIGCONT);
  ASSERT_TRUE(Cluster_.waitForTicket(NextTicket));
  ASSERT_TRUE(Cluster_.waitUntil([&] { return get(2).Status_ == 200; }));
}

// A store outage must not affect calls, and sycamorectl must report it to
// operators.
TEST_F(RealProcess, StoreOutageDoesNotAffectCalls) {
  startThree();
  Cluster_.fault(Cluster_.storeAddress(), {{"down", true}});
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(get(static_cast<std::size_t>(I % 3)).Status_, 200);
  std::string Output;
  int Exit =
      Cluster_.runSycamorectl({"--timeout", "2", "ticket", "list"}, &Output);
  EXPECT_EQ(Exit, 5) << Output;
  Cluster_.fault(Cluster_.storeAddress(), {{"down", false}});
  std::uint64_t NextTicket = Cluster_.fileAndApproveTicket();
  ASSERT_NE(NextTicket, 0U);
  EXPECT_TRUE(Cluster_.waitForTicket(NextTicket));
}

// A daemon that restarts while the store is down must adopt its peers' ticket
// and serve it.
TEST_F(RealProcess, RestartWithoutAStoreAdoptsThePeersTicket) {
  startThree();
  Cluster_.fault(Cluster_.storeAddress(), {{"down", true}});
  Json Peers = Json::array();
  for (std::size_t Index : {std::size_t{0}, std::size_t{2}})
    Peers.push_back({{"name", server(Index).Name_},
                     {"data_centre", server(Index).DataCentre_},
                     {"peer_address", server(Index).Peer_}});
  Cluster_.restartDaemon(server(1), {{"bootstrap_peers", Peers}});
  ASSERT_TRUE(Cluster_.waitUntil([&] { return get(1).Status_ == 200; }));
  EXPECT_EQ(Cluster_.admin(server(1), "/status")["ticket"], TicketNumber_);
  EXPECT_EQ(Cluster_.admin(server(1), "/status")["floor_basis"], "peers");
}

// After a restart of all daemons while the store is down, no daemon can know
// the current ticket. None may serve; each must refuse requests as not run
// until the store is back.
TEST_F(RealProcess, RestartOfAllWithoutAStoreRefusesAsNotRun) {
  startThree();
  Cluster_.fault(Cluster_.storeAddress(), {{"down", true}});
  for (const auto &Entry : Cluster_.Servers_)
    Entry->Daemon_->kill();
  for (const auto &Entry : Cluster_.Servers_)
    Cluster_.restartDaemon(*Entry);
  Cluster_.Loop_.runFor(seconds(3));
  for (std::size_t Index = 0; Index < 3; ++Index) {
    CallResponse Refused = get(Index);
    EXPECT_EQ(Refused.Status_, 503);
    EXPECT_EQ(Refused.Run_, "not-run");
    EXPECT_NE(findHeader(Refused.Headers_, "retry-after"), nullptr);
  }
  Cluster_.fault(Cluster_.storeAddress(), {{"down", false}});
  ASSERT_TRUE(Cluster_.waitForTicket(TicketNumber_));
  ASSERT_TRUE(Cluster_.waitForTargets());
}

// A request that crashes every target that runs it must crash few targets,
// however often its caller resends it, and an operator must find it in the
// quarantine list in order to clear it.
TEST_F(RealProcess, CrashRequestLosesFewTargets) {
  startThree();
  ASSERT_TRUE(waitForAllTargets());
  for (const auto &Entry : Cluster_.Servers_)
    Cluster_.fault(Entry->Target_, {{"crash_marker", "poison"}});
  bool Refused = false;
  for (std::size_t I = 0; I < 8 && !Refused; ++I)
    Refused =
        Cluster_
            .call(server(I % 3).Caller_, "POST", "/shelfview/echo", "poison")
            .Status_ == 429;
  EXPECT_TRUE(Refused);
  std::size_t CrashedTargets = 0;
  for (const auto &Entry : Cluster_.Servers_)
    if (!Entry->TargetProcess_->isRunning())
      ++CrashedTargets;
  EXPECT_LE(CrashedTargets, 2U);
  EXPECT_TRUE(Cluster_.waitUntil([&] { return get(0).Status_ == 200; }));
  std::string Output;
  EXPECT_EQ(Cluster_.runSycamorectl({"quarantine", "list"}, &Output), 0);
  EXPECT_NE(Output.find("/shelfview/echo"), std::string::npos) << Output;
}
