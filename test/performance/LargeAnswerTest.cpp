// Guards against large answers that delay small ones over the same link, and
// against large answers that are damaged, cut or kept although nobody waits.
#include "Cluster.h"
#include "FaultProxy.h"
#include "PolicyMutation.h"
#include "TargetAnswers.h"

#include <algorithm>
#include <csignal>
#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

constexpr double LinkMbps = 16;
constexpr std::size_t LinkBytesPerSecond = 2'000'000;
constexpr std::size_t LargeBytes = 400'000;
/// Work time of all requests.
constexpr const char *ServiceMs = "100";

/// An entry daemon, and a daemon whose answers pass a slow link.
class LargeAnswer : public testing::Test {
protected:
  LargeAnswer() : Link_(Cluster_.Loop_.base()) {
    Link_.limitServerRate(LinkBytesPerSecond);
    Cluster_.startStore();
    Cluster_.addServer("desk", "dalseo");
    Json Settings = {{"peer_address", Link_.address()},
                     {"stop_limit_ms", 10'000},
                     {"timing", {{"leave_notice_ms", 100}}}};
    if (!isMutated("answers-not-paced"))
      Settings["limits"]["link_mbps"] = LinkMbps;
    Server &Maps = Cluster_.addServer(
        "maps", "dalseo", {"--service-ms", ServiceMs, "--slots", "16"},
        Settings);
    Link_.setDestination(Maps.Peer_);
    std::uint64_t Ticket = Cluster_.fileAndApproveTicket();
    Ready_ = Ticket != 0 && Cluster_.waitForTicket(Ticket) &&
             Cluster_.waitForTargets();
    Client_ = HttpClient::create(Cluster_.Loop_.base()).value();
  }

  Server &entry() { return *Cluster_.Servers_[0]; }
  Server &maps() { return *Cluster_.Servers_[1]; }

  std::shared_ptr<HttpCall> getLarge(std::function<void(HttpResponse)> Done) {
    HttpClientRequest Request;
    Request.Path_ = "/maps/bytes/" + std::to_string(LargeBytes);
    Request.Deadline_ = seconds(20);
    return Client_->send(entry().Caller_, std::move(Request), std::move(Done));
  }

  /// 99th percentile of the times of small calls, one after the other.
  Duration smallCallsP99() {
    constexpr std::size_t Calls = 40;
    std::vector<Duration> Times;
    for (std::size_t I = 0; I < Calls; ++I) {
      TimePoint Start = monotonicNow();
      EXPECT_EQ(Cluster_.call(entry().Caller_, "GET", "/maps/small").Status_,
                200);
      Times.push_back(monotonicNow() - Start);
    }
    std::sort(Times.begin(), Times.end());
    return Times[Times.size() * 99 / 100];
  }

  Cluster Cluster_;
  FaultProxy Link_;
  std::unique_ptr<HttpClient> Client_;
  bool Ready_ = false;
};

} // namespace

TEST_F(LargeAnswer, SmallCallsTakeAtMostHalfAsLongAgainBesideDownloads) {
  ASSERT_TRUE(Ready_);
  Duration Without = smallCallsP99();
  constexpr int Downloads = 6;
  int Completed = 0;
  bool Stop = false;
  std::function<void()> Start = [&] {
    getLarge([&](const HttpResponse &Response) {
      Completed += Response.Status_ == 200 &&
                           Response.Body_ == standin::patternBytes(LargeBytes)
                       ? 1
                       : 0;
      if (!Stop)
        Start();
    });
  };
  for (int I = 0; I < Downloads; ++I)
    Start();
  ASSERT_TRUE(Cluster_.waitUntil([&] { return Completed >= Downloads; }));
  Duration Beside = smallCallsP99();
  Stop = true;
  EXPECT_GT(Completed, Downloads);
  EXPECT_LE(Beside.count(), Without.count() * 3 / 2)
      << "p99 " << toMilliseconds(Beside) << " ms beside downloads, "
      << toMilliseconds(Without) << " ms without";
  EXPECT_EQ(Cluster_.metric(entry(), "sycamore_links_silent_total"), 0);
}

TEST_F(LargeAnswer, ACallerThatLeavesFreesTheLinkAndTheBuffer) {
  ASSERT_TRUE(Ready_);
  std::vector<std::shared_ptr<HttpCall>> Calls;
  for (int I = 0; I < 8; ++I)
    Calls.push_back(getLarge([](const HttpResponse &) {}));
  auto Waiting = [&] {
    return Cluster_.metric(maps(), "sycamore_answer_bytes_waiting");
  };
  ASSERT_TRUE(Cluster_.waitUntil([&] { return Waiting() > LargeBytes; }));
  for (const auto &Each : Calls)
    Each->cancel();
  // Less than the link needs for what waited.
  EXPECT_TRUE(
      Cluster_.waitUntil([&] { return Waiting() == 0; }, milliseconds(700)));
  EXPECT_TRUE(Cluster_.waitUntil([&] {
    return Cluster_.metric(maps(), "sycamore_answers_dropped_total") > 0;
  }));
}

TEST_F(LargeAnswer, ALinkThatIsReplacedMidwayDeliversTheWholeAnswer) {
  ASSERT_TRUE(Ready_);
  std::optional<HttpResponse> Received;
  getLarge([&](const HttpResponse &Response) { Received = Response; });
  ASSERT_TRUE(Cluster_.waitUntil([&] {
    return Cluster_.metric(entry(), "sycamore_answer_parts_total") >= 3;
  }));
  Link_.reset();
  ASSERT_TRUE(Cluster_.waitUntil([&] { return Received.has_value(); }));
  EXPECT_EQ(Received->Status_, 200);
  EXPECT_EQ(Received->Body_, standin::patternBytes(LargeBytes));
}

TEST_F(LargeAnswer, APlannedStopSendsTheAnswersThatWaitForTheLink) {
  ASSERT_TRUE(Ready_);
  constexpr int Downloads = 8;
  int Completed = 0;
  int Ended = 0;
  for (int I = 0; I < Downloads; ++I)
    getLarge([&](const HttpResponse &Response) {
      ++Ended;
      Completed += Response.Status_ == 200 &&
                           Response.Body_ == standin::patternBytes(LargeBytes)
                       ? 1
                       : 0;
    });
  // All have run; the link needs over a second for what waits.
  ASSERT_TRUE(Cluster_.waitUntil([&] {
    return Cluster_.metric(maps(), "sycamore_answers_paced_total") >= Downloads;
  }));
  EXPECT_GT(Cluster_.metric(maps(), "sycamore_answer_bytes_waiting"),
            LinkBytesPerSecond);
  maps().Daemon_->signal(SIGTERM);
  ASSERT_TRUE(Cluster_.waitUntil([&] { return Ended == Downloads; }));
  EXPECT_EQ(Completed, Downloads);
  EXPECT_EQ(maps().Daemon_->wait(seconds(20)), 0);
}

TEST_F(LargeAnswer, ATargetThatCutsItsAnswerIsAnErrorAndNoShortSuccess) {
  ASSERT_TRUE(Ready_);
  Cluster_.fault(maps().Target_, {{"cut", true}});
  std::optional<HttpResponse> Received;
  getLarge([&](const HttpResponse &Response) { Received = Response; });
  ASSERT_TRUE(Cluster_.waitUntil([&] { return Received.has_value(); }));
  EXPECT_GE(Received->Status_, 500);
}
