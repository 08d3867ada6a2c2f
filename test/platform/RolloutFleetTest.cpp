// Guards against a roll-out over real daemons that completes a bad version,
// never ends, or loses its verdict with the deciding daemon or the store.
#include "RolloutFleet.h"

#include <array>

using namespace sycamore;
using namespace sycamore::test;

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
