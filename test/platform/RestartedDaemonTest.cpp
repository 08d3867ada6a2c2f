// Guards against a restarted daemon that no longer knows which targets have
// left: a delayed announcement of such a target would bring it back.
#include "PlatformFleet.h"

using namespace sycamore;
using namespace sycamore::test;

namespace {

class RestartedDaemon : public PlatformFleet {
protected:
  /// Announcements of the target beside daemon 0 that arrive after it has left.
  void announceLate(std::int64_t Born = 1000) {
    for (std::uint64_t Sequence : {2, 3}) {
      EXPECT_EQ(announce(0, "ready", Sequence, Born), 200);
      expectUnused();
    }
  }

  /// Calls through every running daemon for longer than an announcement takes
  /// to spread.
  void expectUnused() {
    std::size_t Before = Servers_[0]->Requests_.size();
    for (int I = 0; I < 30; ++I) {
      for (std::size_t Entry = 0; Entry < Daemons_.size(); ++Entry)
        callTogether(Entry, 6);
      Loop_.runFor(milliseconds(30));
    }
    EXPECT_EQ(Servers_[0]->Requests_.size(), Before);
  }

  /// Announces the target beside daemon 0 and expects that calls reach it once
  /// the only other target of its service has left.
  void expectUsed(std::uint64_t Sequence, std::int64_t Born) {
    EXPECT_EQ(announce(0, "ready", Sequence, Born), 200);
    EXPECT_EQ(deregister(1), 200);
    EXPECT_TRUE(
        eventually([&] { return call(2, "GET", "/x/y").Body_ == "from i-1"; }));
  }

  void expectNewProcessUsed(std::int64_t Born = 2000) { expectUsed(1, Born); }

  /// Starts daemon 0 again and announces the target while it is not ready yet,
  /// and once it is.
  void restartAndAnnounceLate(std::int64_t Born = 1000) {
    startDaemon(0);
    EXPECT_EQ(announce(0, "ready", 2, Born), 200);
    EXPECT_TRUE(eventually([&] { return isReady(0); }));
    announceLate(Born);
  }

  /// Whether the daemon takes the target beside it for leaving.
  bool isLeaving(std::size_t Index) {
    HttpClientRequest Request;
    Request.Path_ = "/status";
    std::string Status =
        send(Daemons_[Index]->addresses().Admin_, std::move(Request)).Body_;
    return Json::parse(Status).at("targets").at(0).at("leaving").get<bool>();
  }

  const std::string DeparturesPrefix_ = "/sycamore/seeds/departures/";
};

} // namespace

TEST_F(RestartedDaemon, DoesNotBringBackATargetThatDeregistered) {
  startAll();
  ASSERT_EQ(deregister(0), 200);
  killDaemon(0);
  restartAndAnnounceLate();
  expectNewProcessUsed();
}

TEST_F(RestartedDaemon, DoesNotBringBackATargetThatAnnouncedDraining) {
  startAll();
  ASSERT_EQ(announce(0, "draining", 4), 200);
  killDaemon(0);
  restartAndAnnounceLate();
  expectNewProcessUsed();
}

// With all processes gone, only the store remembers.
TEST_F(RestartedDaemon, LearnsFromTheStoreAfterAllDaemonsWereKilled) {
  startAll();
  ASSERT_EQ(deregister(0), 200);
  for (std::size_t I = 0; I < 3; ++I)
    killDaemon(I);
  for (std::size_t I = 1; I < 3; ++I)
    startDaemon(I);
  restartAndAnnounceLate();
  expectNewProcessUsed();
}

// A departure is acknowledged while the store is down, and binds as well.
TEST_F(RestartedDaemon, LearnsFromPeersIfTheStoreWasDownAtTheDeparture) {
  startAll();
  Store_->Faults_.Unavailable_ = true;
  TimePoint Start = monotonicNow();
  ASSERT_EQ(deregister(0), 200);
  // The messages to the peers need time to leave the process.
  EXPECT_GE(monotonicNow() - Start, milliseconds(100));
  EXPECT_EQ(metric(0, "sycamore_departure_store_failures_total"), 1);
  killDaemon(0);
  Store_->Faults_.Unavailable_ = false;
  restartAndAnnounceLate();
  expectNewProcessUsed();
}

// A target takes an acknowledgement for lost after one second.
TEST_F(RestartedDaemon, AcknowledgesADepartureInTimeThoughTheStoreIsSilent) {
  startAll();
  Store_->Faults_.Silent_ = true;
  TimePoint Start = monotonicNow();
  EXPECT_EQ(deregister(0), 200);
  EXPECT_LT(monotonicNow() - Start, seconds(1));
  Store_->Faults_.Silent_ = false;
  EXPECT_TRUE(eventually(
      [&] { return metric(0, "sycamore_departures_stored_total") == 1; }));
}

TEST_F(RestartedDaemon, UsesARunningTargetAgain) {
  startAll();
  killDaemon(0);
  startDaemon(0);
  expectUsed(2, 1000);
}

TEST_F(RestartedDaemon, OldDeparturesAreRemovedFromTheStore) {
  startAll();
  ASSERT_EQ(deregister(0), 200);
  Store_->put(DeparturesPrefix_ + "m-9/i-9/5",
              R"({"server":"m-9","name":"i-9","started_unix_ms":5,)"
              R"("recorded_unix_ms":1000})");
  EXPECT_TRUE(eventually([&] {
    return !Store_->Items_.contains(DeparturesPrefix_ + "m-9/i-9/5");
  }));
  EXPECT_TRUE(Store_->Items_.contains(DeparturesPrefix_ + "m-1/i-1/1000"));
}

// A target restarts under its name and leaves before its first announcement
// arrives. That announcement took the target into use again, because the
// departure had been recorded for the earlier process.
TEST_F(RestartedDaemon, DoesNotBringBackATargetThatRestartedAndLeft) {
  startAll();
  ASSERT_EQ(deregister(0, 2000), 200);
  EXPECT_TRUE(Store_->Items_.contains(DeparturesPrefix_ + "m-1/i-1/2000"));
  announceLate(2000);
  EXPECT_EQ(announce(0, "ready", 9, 1000), 200);
  expectUnused();
  expectNewProcessUsed(3000);
}

// The next process of the daemon learns of the departure from the store or the
// peers.
TEST_F(RestartedDaemon, RemembersATargetThatRestartedAndLeft) {
  startAll();
  ASSERT_EQ(deregister(0, 2000), 200);
  killDaemon(0);
  restartAndAnnounceLate(2000);
  expectNewProcessUsed(3000);
}

TEST_F(RestartedDaemon, LearnsFromPeersThatATargetRestartedAndLeft) {
  startAll();
  Store_->Faults_.Unavailable_ = true;
  ASSERT_EQ(deregister(0, 2000), 200);
  killDaemon(0);
  Store_->Faults_.Unavailable_ = false;
  restartAndAnnounceLate(2000);
  expectNewProcessUsed(3000);
}

// A departure that the daemon learns of while it knows an earlier process of
// the target binds the process that left.
TEST_F(RestartedDaemon, ALearnedDepartureBindsALaterProcess) {
  startAll();
  std::int64_t NowUnixMs =
      std::chrono::floor<milliseconds>(wallNow().time_since_epoch()).count();
  Store_->put(DeparturesPrefix_ + "m-1/i-1/2000",
              Json{{"server", "m-1"},
                   {"name", "i-1"},
                   {"started_unix_ms", 2000},
                   {"recorded_unix_ms", NowUnixMs}}
                  .dump());
  ASSERT_TRUE(eventually([&] { return isLeaving(0); }));
  for (std::int64_t Born = 1001; Born <= 2000; Born += 111) {
    EXPECT_EQ(announce(0, "ready", 1, Born), 200);
    // Not even until the next tick of the daemon.
    EXPECT_TRUE(isLeaving(0)) << Born;
  }
  announceLate(2000);
  expectNewProcessUsed(3000);
}

// A departure that arrives late must not end the process that came after it.
TEST_F(RestartedDaemon, ALateDepartureLeavesALaterProcessInUse) {
  startAll();
  ASSERT_EQ(announce(0, "ready", 1, 2000), 200);
  ASSERT_EQ(deregister(0, 1000), 200);
  EXPECT_EQ(metric(0, "sycamore_announcements_ignored_total"), 1);
  expectUsed(2, 2000);
}
