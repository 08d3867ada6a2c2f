// Guards against readers that stay without a watch of the configuration after
// the store ended it, or that flood a store that ends each watch at once.
#include "ControlPlane.h"
#include "FakeStore.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

/// The control plane of a single daemon, which is the only reader.
class LostWatch : public testing::Test {
protected:
  LostWatch() {
    configureLog(LogLevel::Error, "", "test");
    runUntilWatches(1);
    run(seconds(10));
  }

  void run(Duration Span) {
    for (TimePoint End = Time_.Monotonic_ + Span; Time_.Monotonic_ < End;)
      tick();
  }

  void tick() {
    Time_.Monotonic_ += milliseconds(20);
    Time_.Wall_ += milliseconds(20);
    Control_.tick(Time_);
  }

  void runUntilWatches(std::uint64_t Count) {
    TimePoint End = Time_.Monotonic_ + seconds(60);
    while (watches() < Count && Time_.Monotonic_ < End)
      tick();
    ASSERT_EQ(watches(), Count);
  }

  std::uint64_t watches() const { return Control_.counters().WatchesStarted_; }

  static Settings settings() {
    Settings Out;
    Out.Server_ = "s-1";
    Out.DataCentre_ = "z";
    return Out;
  }

  Now Time_ = readClocks();
  FakeStore Store_;
  Random Rng_{1};
  LoopWork Work_;
  ControlPlane Control_{
      settings(), "127.0.0.1:1", "",
      1,          Store_,        nullptr,
      Rng_,       Work_,         [](Outbox &Out) { Out.clear(); },
      Time_};
};

} // namespace

TEST_F(LostWatch, IsReplacedWithin200Milliseconds) {
  for (std::uint64_t Lost = 1; Lost <= 20; ++Lost) {
    Store_.breakWatches();
    run(milliseconds(200));
    EXPECT_EQ(watches(), Lost + 1);
    run(seconds(10));
  }
}

TEST_F(LostWatch, IsReplacedTenTimesInTenSecondsAtMost) {
  for (TimePoint End = Time_.Monotonic_ + seconds(10);
       Time_.Monotonic_ < End;) {
    Store_.breakWatches();
    tick();
  }
  EXPECT_LE(watches(), 1U + 10U);
}
