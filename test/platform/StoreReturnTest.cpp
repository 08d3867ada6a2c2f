// Guards against configuration, seeds and departures that are lost or late
// after the store came back from a copy: it then lacks what it acknowledged
// since, and gives the revisions of that time out again.
#include "PlatformFleet.h"

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// An acknowledged configuration must be in force everywhere within this time.
constexpr Duration ConfigurationLimit = seconds(2);

/// A target that leaves must be out of use within this time (promise 7), also
/// by a daemon that starts and knows it from the store alone.
constexpr Duration DepartureLimit = seconds(5);

const std::string SeedsKey = "/sycamore/seeds/z";
const std::string DeparturesPrefix = "/sycamore/seeds/departures/";

class StoreReturn : public PlatformFleet {
protected:
  std::uint64_t ticketAt(std::size_t Index) {
    HttpClientRequest Request;
    Request.Path_ = "/status";
    auto Status = parseJson(
        send(Daemons_[Index]->addresses().Admin_, std::move(Request)).Body_,
        "status");
    return Status ? Status->value("ticket", std::uint64_t{0}) : 0;
  }

  bool allRun(std::uint64_t Ticket) {
    for (std::size_t I = 0; I < Daemons_.size(); ++I)
      if (Daemons_[I] && ticketAt(I) != Ticket)
        return false;
    return true;
  }

  void startWithSeeds() {
    startAll();
    ASSERT_TRUE(eventually([&] { return Store_->Items_.contains(SeedsKey); }));
    ASSERT_TRUE(eventually(
        [&] { return Store_->Calls_["GET /v1/kv-watch"] > 4 && allRun(5); }));
  }

  void writeOthers(int Count) {
    for (int I = 0; I < Count; ++I)
      Store_->put("servers/other", std::to_string(I));
  }

  /// Loses version 6, which is in force everywhere, and 40 writes of others.
  void losesVersionSix(bool CutsWatches = false) {
    Store_->keepCopy();
    writeOthers(40);
    writeConfiguration(6);
    ASSERT_TRUE(eventually([&] { return allRun(6); }));
    Store_->returnToCopy(CutsWatches);
  }

  /// Writes version 6 again, a new one, and as much of others that the store
  /// passes its earlier revision.
  void expectNextVersionInTime(std::uint64_t Next) {
    writeConfiguration(Next - 1);
    writeConfiguration(Next);
    TimePoint Written = monotonicNow();
    writeOthers(60);
    EXPECT_TRUE(eventually([&] { return allRun(Next); }));
    EXPECT_LT(monotonicNow() - Written, ConfigurationLimit);
  }
};

} // namespace

TEST_F(StoreReturn, AVersionIsInForceInTimeThoughTheWatchesWaitedThroughIt) {
  startWithSeeds();
  losesVersionSix();
  expectNextVersionInTime(7);
}

TEST_F(StoreReturn, AVersionIsInForceInTimeThoughTheWatchesWereCut) {
  startWithSeeds();
  losesVersionSix(/*CutsWatches=*/true);
  expectNextVersionInTime(7);
}

TEST_F(StoreReturn, AVersionIsInForceInTimeAfterTwoReturnsInARow) {
  startWithSeeds();
  losesVersionSix();
  Loop_.runFor(milliseconds(300));
  writeConfiguration(6);
  writeOthers(10);
  Store_->returnToCopy();
  expectNextVersionInTime(7);
}

// Without the header, a revision below the one waited after shows the return.
TEST_F(StoreReturn, AVersionIsInForceInTimeThoughTheStoreStatesNoEra) {
  Store_->Faults_.OmitsEra_ = true;
  startWithSeeds();
  losesVersionSix();
  writeConfiguration(6);
  writeConfiguration(7);
  TimePoint Written = monotonicNow();
  EXPECT_TRUE(eventually([&] { return allRun(7); }));
  EXPECT_LT(monotonicNow() - Written, ConfigurationLimit);
}

TEST_F(StoreReturn, SeedsThatTheStoreLostAreWrittenAgain) {
  Store_->keepCopy();
  startWithSeeds();
  Store_->returnToCopy();
  writeConfiguration(5);
  TimePoint Returned = monotonicNow();
  EXPECT_TRUE(eventually([&] { return Store_->Items_.contains(SeedsKey); }));
  EXPECT_LT(monotonicNow() - Returned, DepartureLimit);
}

TEST_F(StoreReturn, AcknowledgedDeparturesThatTheStoreLostAreWrittenAgain) {
  startWithSeeds();
  Store_->keepCopy();
  ASSERT_EQ(deregister(0), 200);
  const std::string Key = DeparturesPrefix + "m-1/i-1/1000";
  ASSERT_TRUE(Store_->Items_.contains(Key));
  Store_->returnToCopy();
  ASSERT_FALSE(Store_->Items_.contains(Key));
  TimePoint Returned = monotonicNow();
  EXPECT_TRUE(eventually([&] { return Store_->Items_.contains(Key); }));
  EXPECT_LT(monotonicNow() - Returned, DepartureLimit);
}

// What a peer has shown is not undone by a store that lacks it.
TEST_F(StoreReturn,
       ADaemonThatStartsBeforeTheSecondWritingRunsThePeersVersion) {
  startWithSeeds();
  Store_->keepCopy();
  writeConfiguration(6);
  ASSERT_TRUE(eventually([&] { return allRun(6); }));
  killDaemon(2);
  Store_->returnToCopy();
  startDaemon(2);
  TimePoint Started = monotonicNow();
  EXPECT_TRUE(eventually([&] { return ticketAt(2) == 6; }));
  EXPECT_LT(monotonicNow() - Started, ConfigurationLimit);
  EXPECT_TRUE(allRun(6));
}

// Nobody can supply the lost version, so waiting for it would never end.
TEST_F(StoreReturn, AFleetThatRestartsWithoutTheLostVersionServesTheStores) {
  startWithSeeds();
  losesVersionSix();
  for (std::size_t I = 0; I < 3; ++I)
    killDaemon(I);
  for (std::size_t I = 0; I < 3; ++I)
    startDaemon(I);
  EXPECT_TRUE(eventually(
      [&] { return isReady(0) && isReady(1) && isReady(2) && allRun(5); }));
  writeConfiguration(7);
  TimePoint Written = monotonicNow();
  EXPECT_TRUE(eventually([&] { return allRun(7); }));
  EXPECT_LT(monotonicNow() - Written, ConfigurationLimit);
}
