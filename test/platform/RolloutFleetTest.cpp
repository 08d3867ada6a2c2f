// Guards against a roll-out over real daemons that completes a bad version,
// never ends, or loses its verdict with the deciding daemon or the store.
#include "PlatformFleet.h"

#include <array>

using namespace sycamore;
using namespace sycamore::test;

namespace {

class RolloutFleet : public PlatformFleet {
protected:
  struct NewServer {
    std::unique_ptr<FakeServer> Server_;
    std::size_t Daemon_;
  };

  /// Starts a server of version v2 of "view" beside each of the first two
  /// daemons.
  void startNewServers(int Status) {
    for (std::size_t I = 0; I < 2; ++I) {
      auto Server = std::make_unique<FakeServer>(Loop_.base());
      Server->Name_ = "n-" + std::to_string(I + 1);
      Server->Status_ = Status;
      HttpClientRequest Request;
      Request.Method_ = "POST";
      Request.Path_ = "/v1/instances/" + Server->Name_ + "/heartbeat";
      Request.Body_ =
          Json{{"address", Server->Address_},
               {"born", 2000},
               {"information",
                {{"service", "view"},
                 {"version", "v2"},
                 {"zone", "z"},
                 {"slots", 4}}},
               {"status",
                {{"state", "ready"}, {"sequence", 1}, {"coldRemainingMs", 0}}}}
              .dump();
      ASSERT_EQ(
          send(Daemons_[I]->addresses().Announce_, std::move(Request)).Status_,
          200);
      New_.push_back(std::move(Server));
    }
  }

  void order(const std::string &Version, double DurationS = 6) {
    Store_->put("op/rollout/view", Json{{"service", "view"},
                                        {"targetVersion", Version},
                                        {"durationS", DurationS}}
                                       .dump());
    OrderedAt_ = monotonicNow();
  }

  std::string state() {
    auto Found = Store_->Items_.find("status/rollout/view");
    if (Found == Store_->Items_.end())
      return "";
    Json Document = Json::parse(Found->second.Value_);
    EXPECT_EQ(Document["service"], "view");
    return Document["state"];
  }

  std::string holder() {
    auto Found = Store_->Items_.find("/sycamore/rollouts/view");
    return Found == Store_->Items_.end()
               ? ""
               : std::string(Json::parse(Found->second.Value_)["holder"]);
  }

  std::size_t newRequests() const {
    std::size_t Out = 0;
    for (const auto &Server : New_)
      Out += Server->Requests_.size();
    return Out;
  }

  std::size_t oldRequests() const {
    return Servers_[0]->Requests_.size() + Servers_[1]->Requests_.size();
  }

  /// Sends requests to all daemons until the condition holds.
  template <typename Condition>
  bool requestUntil(Condition Holds, Duration Limit = seconds(12)) {
    TimePoint End = monotonicNow() + Limit;
    for (std::size_t I = 0; !Holds(); ++I) {
      if (monotonicNow() >= End)
        return false;
      if (Daemons_[I % Daemons_.size()]) {
        call(I % Daemons_.size(), "GET", "/x/y");
        ++Sent_;
      }
      Loop_.runFor(milliseconds(5));
    }
    return true;
  }

  bool requestFor(Duration Span) {
    return requestUntil(
        [End = monotonicNow() + Span] { return monotonicNow() >= End; });
  }

  std::vector<std::unique_ptr<FakeServer>> New_;
  std::size_t Sent_ = 0;
  TimePoint OrderedAt_;
};

} // namespace

TEST_F(RolloutFleet, CompletesAGoodVersionInTime) {
  startAll();
  order("v2");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  startNewServers(200);
  ASSERT_TRUE(requestUntil([&] { return state() == "completed"; }));
  EXPECT_LT(monotonicNow() - OrderedAt_, seconds(6));
  EXPECT_GT(newRequests(), 0U);
  // The old servers stop at the status, without draining.
  std::size_t Before = oldRequests();
  requestFor(milliseconds(500));
  EXPECT_EQ(oldRequests(), Before);
}

TEST_F(RolloutFleet, RollsBackABadVersionWithinItsBound) {
  startAll();
  order("v2");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  startNewServers(500);
  ASSERT_TRUE(requestUntil([&] { return state() == "rolled_back"; }));
  EXPECT_LT(monotonicNow() - OrderedAt_, seconds(6));
  EXPECT_LE(newRequests(), Sent_ / 10 + 50);
  std::size_t Before = newRequests();
  requestFor(milliseconds(500));
  EXPECT_EQ(newRequests(), Before);
}

TEST_F(RolloutFleet, DecidesAlthoughTheHolderDies) {
  startAll();
  order("v2", 12);
  startNewServers(200);
  ASSERT_TRUE(requestUntil([&] { return !holder().empty(); }));
  std::string First = holder();
  std::size_t Index = 0;
  while (Settings_[Index].Server_ != First)
    ++Index;
  killDaemon(Index);
  ASSERT_TRUE(
      requestUntil([&] { return state() == "completed" && holder() != First; },
                   seconds(16)));
}

// The answer to the write of the verdict is lost, as is the first write itself
// while the store is away.
TEST_F(RolloutFleet, WritesTheVerdictWhenTheStoreAnswersAgain) {
  startAll();
  order("v2");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  startNewServers(500);
  ASSERT_TRUE(requestUntil([&] { return newRequests() > 0; }));
  Store_->Faults_.Unavailable_ = true;
  std::size_t Before = 0;
  requestFor(seconds(2));
  // The verdict is in force without the store.
  Before = newRequests();
  requestFor(milliseconds(500));
  EXPECT_EQ(newRequests(), Before);
  EXPECT_EQ(state(), "running");
  Store_->Faults_.Unavailable_ = false;
  Store_->Faults_.DropWriteResponses_ = true;
  requestFor(seconds(1));
  Store_->Faults_.DropWriteResponses_ = false;
  ASSERT_TRUE(requestUntil([&] { return state() == "rolled_back"; }));
}

TEST_F(RolloutFleet, WritesTheVerdictAgainToARestoredStore) {
  startAll();
  order("v2");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  Store_->keepCopy();
  startNewServers(500);
  ASSERT_TRUE(requestUntil([&] { return state() == "rolled_back"; }));
  requestFor(seconds(3));
  Store_->returnToCopy(/*CutsWatches=*/true);
  EXPECT_EQ(state(), "running");
  ASSERT_TRUE(requestUntil([&] { return state() == "rolled_back"; }));
  std::size_t Before = newRequests();
  requestFor(milliseconds(500));
  EXPECT_EQ(newRequests(), Before);
}

TEST_F(RolloutFleet, ASecondOrderReplacesTheFirst) {
  startAll();
  order("v2");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  startNewServers(500);
  ASSERT_TRUE(requestUntil([&] { return state() == "rolled_back"; }));
  // Not readable, or for a version that nobody runs: neither ends v1.
  Store_->put("op/rollout/view", R"({"service":"view","durationS":"soon"})");
  requestFor(milliseconds(300));
  EXPECT_EQ(state(), "rolled_back");
  order("v9");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  std::size_t New = newRequests();
  std::size_t Old = oldRequests();
  requestFor(seconds(1));
  EXPECT_EQ(newRequests(), New);
  EXPECT_GT(oldRequests(), Old);
}

// A bad version of one service must not stop another service's roll-out.
TEST_F(RolloutFleet, TwoServicesRollOutAtOnce) {
  startAll();
  order("v2");
  Store_->put("op/rollout/desk",
              R"({"service":"desk","targetVersion":"v1","durationS":6})");
  startNewServers(500);
  auto Desk = [&]() -> std::string {
    auto Found = Store_->Items_.find("status/rollout/desk");
    return Found == Store_->Items_.end()
               ? ""
               : std::string(Json::parse(Found->second.Value_)["state"]);
  };
  ASSERT_TRUE(requestUntil(
      [&] { return state() == "rolled_back" && Desk() == "completed"; }));
  EXPECT_LT(monotonicNow() - OrderedAt_, seconds(6));
}

// A daemon that starts after the verdict learns it from its peers.
TEST_F(RolloutFleet, ADaemonThatStartsLaterKnowsTheVerdict) {
  startAll();
  order("v2");
  ASSERT_TRUE(requestUntil([&] { return state() == "running"; }));
  startNewServers(500);
  ASSERT_TRUE(requestUntil([&] { return state() == "rolled_back"; }));
  requestFor(seconds(3));
  std::size_t Before = newRequests();
  killDaemon(2);
  startDaemon(2);
  ASSERT_TRUE(eventually([&] { return isReady(2); }));
  for (int I = 0; I < 50; ++I)
    call(2, "GET", "/x/y");
  EXPECT_EQ(newRequests(), Before);
}
