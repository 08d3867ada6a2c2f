// Tests the cost of idempotency keys: keyed calls that are refused during store
// outages and after a holder's death, and the number of store calls.
// Prints the figures of docs/decisions/0002-idempotency-keys.md.
#include "CallWorld.h"

#include <chrono>
#include <cstdio>
#include <gtest/gtest.h>
#include <malloc.h>

using namespace sycamore;
using world::Micros;

namespace {

constexpr Micros Second = 1'000'000;
constexpr Micros FaultAt = 90 * Second;

/// Daegu's 13 servers with 100 new keyed calls a second.
world::Config fleet(Micros Outage) {
  world::Config Out;
  Out.Nodes_ = 13;
  Out.Faults_ = false;
  Out.KeyedOnly_ = true;
  Out.DetectionTime_ = 6 * Second;
  Out.LoadEnd_ = FaultAt + Outage + 60 * Second;
  Out.Length_ = Out.LoadEnd_ + 5 * Second;
  Out.Requests_ = static_cast<std::size_t>(Out.LoadEnd_ / 10'000);
  return Out;
}

struct Cost {
  double Calls_ = 0;
  std::map<std::string, double> Outcomes_;
  Micros FirstRefused_ = 0;
  Micros LastRefused_ = 0;
  double StoreCallsBefore_ = 0; ///< Per second.
  double StoreCallsAfter_ = 0;
};

/// Counts the outcomes of the calls that were sent within Window after the
/// fault.
void count(const std::vector<history::Event> &Events, Micros Window,
           Cost &Out) {
  std::map<std::string, Micros> Sent;
  for (const history::Event &Each : Events) {
    bool Counted = Each.At_ >= FaultAt && Each.At_ < FaultAt + Window;
    if (Each.Kind_ == history::EventKind::Sent && Counted)
      Sent[Each.Call_] = Each.At_ - FaultAt;
    auto Found = Each.Kind_ == history::EventKind::Answered
                     ? Sent.find(Each.Call_)
                     : Sent.end();
    if (Found == Sent.end())
      continue;
    ++Out.Outcomes_[Each.Run_];
    if (Each.Run_ == "done")
      continue;
    Out.LastRefused_ = Found->second;
    if (Out.FirstRefused_ == 0)
      Out.FirstRefused_ = Out.LastRefused_;
  }
  Out.Calls_ = static_cast<double>(Sent.size());
}

Cost measure(const world::Config &Settings, Micros Window,
             const std::function<void(world::CallSimulation &)> &Fault) {
  world::CallSimulation Run(Settings);
  Cost Out;
  std::uint64_t Before = 0;
  auto Rate = [&](Micros Span) {
    auto Calls = static_cast<double>(Run.Store_.Calls_ - Before);
    Before = Run.Store_.Calls_;
    return Calls * Second / static_cast<double>(Span);
  };
  Run.at(FaultAt - 60 * Second, [&] { Before = Run.Store_.Calls_; });
  Run.at(FaultAt, [&] {
    Out.StoreCallsBefore_ = Rate(60 * Second);
    Fault(Run);
  });
  Run.at(FaultAt + Window, [&] { Out.StoreCallsAfter_ = Rate(Window); });
  Run.run();
  EXPECT_EQ(history::describe(history::check(Run.History_.Events_)), "");
  count(Run.History_.Events_, Window, Out);
  return Out;
}

void print(const char *Name, Cost &Measured) {
  auto Share = [&](double Count) { return 100 * Count / Measured.Calls_; };
  double Unanswered = Measured.Calls_ - Measured.Outcomes_["done"] -
                      Measured.Outcomes_["not-run"] -
                      Measured.Outcomes_["unknown"];
  std::printf("| %s | %.0f | %.1f%% | %.1f%% | %.1f%% | %.1f s to %.1f s | "
              "%.1f | %.1f |\n",
              Name, Measured.Calls_, Share(Measured.Outcomes_["not-run"]),
              Share(Measured.Outcomes_["unknown"]), Share(Unanswered),
              static_cast<double>(Measured.FirstRefused_) / Second,
              static_cast<double>(Measured.LastRefused_) / Second,
              Measured.StoreCallsBefore_, Measured.StoreCallsAfter_);
}

/// A store outage in which leases expire, or are suspended with LeasesPause.
Cost outage(Micros Length, bool LeasesPause) {
  return measure(fleet(Length), Length + 30 * Second,
                 [&](world::CallSimulation &Run) {
                   Run.Store_.DownUntil_ = Run.Now_ + Length;
                   if (!LeasesPause)
                     return;
                   for (auto &[Id, End] : Run.Store_.LeaseEnds_)
                     End += Length;
                 });
}

world::Node &busiestNode(world::CallSimulation &Run) {
  world::Node *Best = &Run.Nodes_[0];
  for (world::Node &Each : Run.Nodes_)
    if (heldBuckets(Each.Holder_.Buckets_).size() >
        heldBuckets(Best->Holder_.Buckets_).size())
      Best = &Each;
  std::printf("(it holds %zu of 16 buckets)\n",
              heldBuckets(Best->Holder_.Buckets_).size());
  return *Best;
}

void printTableHeader() {
  std::puts("| fault | keyed calls | not run | unknown | no answer | refused "
            "after the fault | store calls/s before | after |");
  std::puts("| --- | --- | --- | --- | --- | --- | --- | --- |");
}

} // namespace

TEST(KeyedCost, StoreOutages) {
  printTableHeader();
  Cost Ten = outage(10 * Second, false);
  print("store down 10 s", Ten);
  EXPECT_EQ(Ten.Outcomes_["done"], Ten.Calls_);
  Cost Minute = outage(60 * Second, false);
  print("store down 60 s, leases expire", Minute);
  // A lease stays valid for at least its length less one keep-alive interval.
  EXPECT_GE(Minute.FirstRefused_, 19 * Second);
  // Retry after at most 5 s, keys unknown for 2 s after a takeover, and clocks
  // that differ by 1 s.
  EXPECT_LT(Minute.LastRefused_, 69 * Second);
  Cost Paused = outage(60 * Second, true);
  print("store down 60 s, leases pause", Paused);
  EXPECT_EQ(Paused.Outcomes_["unknown"], 0);
  Cost Long = outage(600 * Second, false);
  print("store down 600 s, leases expire", Long);
  EXPECT_LT(Long.LastRefused_, 609 * Second);
  EXPECT_LT(Minute.StoreCallsBefore_, 2.0);
}

TEST(KeyedCost, HolderLeaves) {
  printTableHeader();
  Cost Death = measure(fleet(0), 45 * Second, [](world::CallSimulation &Run) {
    Run.kill(busiestNode(Run), 600 * Second);
  });
  print("holder dies", Death);
  // Lease of 30 s, retry after 2 s, keys unknown for 2 s after a takeover, and
  // clocks that differ by 1 s.
  EXPECT_LT(Death.LastRefused_, 35 * Second);
  Cost Stop = measure(fleet(0), 45 * Second, [](world::CallSimulation &Run) {
    Run.stopGracefully(busiestNode(Run));
  });
  print("holder stops as planned", Stop);
  EXPECT_LT(Stop.LastRefused_, 2 * Second);
}

// 150,000 records must fit into a daemon's 256 MB beside everything else.
TEST(KeyedCost, MemoryAndTimePerKey) {
  constexpr int Keys = 100'000;
  BucketTable Table = makeBucketTable("a", 1, {});
  Now At{TimePoint(std::chrono::hours(1)), WallTime(std::chrono::hours(1))};
  Table.LeaseId_ = 1;
  Table.LeaseValidUntil_ = At.Monotonic_ + seconds(30);
  for (KeyBucket &Bucket : Table.Buckets_)
    Bucket.State_ = BucketState::Held;
  wire::CallAnswer Answer;
  Answer.set_run(wire::RUN_DONE);
  Answer.set_status(200);
  std::size_t Before = mallinfo2().uordblks;
  auto Start = std::chrono::steady_clock::now();
  for (int I = 0; I < Keys; ++I) {
    std::string Key =
        "key-" + std::string(26, 'x') + std::to_string(100000 + I);
    admitKey(Table, Key, 1, At);
    completeKey(Table, Key, Answer, std::string(200, 'b'), At);
    takeEvents(Table);
  }
  std::chrono::duration<double, std::micro> Spent =
      std::chrono::steady_clock::now() - Start;
  double Bytes = static_cast<double>(mallinfo2().uordblks - Before) / Keys;
  std::printf("bytes per key with an answer of 200 bytes: %.0f\n"
              "microseconds per key, admitted and completed: %.2f\n",
              Bytes, Spent.count() / Keys);
  EXPECT_EQ(Table.Records_, 100'000U);
  EXPECT_LT(Bytes, 900);
}
