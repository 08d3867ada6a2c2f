// Guards against two holders of one bucket of idempotency keys, and against a
// fleet that goes back to an older ticket or waits for one that nobody has,
// after the store was restored from a copy.
#include "RestoredFleet.h"
#include "StoreSetup.h"
#include "sycamore/BucketStore.h"
#include "sycamore/Clock.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

constexpr seconds LeaseTtl{4};

/// A daemon's buckets and its store client.
struct Holder {
  Holder(StoreSetup &Setup, const std::string &Name)
      : Store_(makeEtcdStore(Setup.Loop_.base(), Setup.Config_)) {
    KeyedLimits Limits;
    Limits.BucketCount_ = 1;
    Limits.LeaseTtl_ = LeaseTtl;
    Limits.KeepAliveInterval_ = seconds(2);
    Limits.LeaseSafetyMargin_ = milliseconds(100);
    Limits.AcquireDelayPerRank_ = Duration(0);
    Table_ = makeBucketTable(Name, 1, Limits);
    Context_ = {Store_.get(), &Table_, &Rng_, readClocks, seconds(1)};
    Store_->setRestorationHandler([this](const StoreRestoration &) {
      if (!mutationEnabled("keep-buckets"))
        onStoreRestored(Table_, readClocks());
    });
  }

  void tick(const std::vector<std::string> &Alive) {
    for (const BucketAction &Action :
         tickBuckets(Table_, Alive, {}, readClocks(), Rng_))
      executeStoreAction(Context_, Action);
  }

  bool holds() const { return holdsBucket(Table_, 0, monotonicNow()); }

  Random Rng_{1};
  std::unique_ptr<Store> Store_;
  BucketTable Table_;
  BucketStore Context_;
};

} // namespace

TEST(RestoredStore,
     NoSecondHolderTakesABucketWhileTheFirstStillTrustsItsLease) {
  StoreSetup Setup;
  Holder First(Setup, "a");
  Holder Second(Setup, "b");
  Setup.Standin_->model().keepCopy();
  // The second one knows the store from before.
  ASSERT_TRUE(Setup.put("/other", "1").has_value());
  std::optional<Result<RangeResult>> Read;
  Second.Store_->range(singleKeyRange("/other"), seconds(1),
                       [&](Result<RangeResult> Value) { Read = Value; });
  ASSERT_TRUE(Setup.Loop_.runUntil([&] {
    First.tick({"a", "b"});
    return Read.has_value() && First.holds();
  }));
  Setup.Standin_->restore();
  // The second takes the first for dead, as after a partition of the peers.
  EXPECT_TRUE(Setup.Loop_.runUntil([&] {
    Second.tick({"b"});
    EXPECT_FALSE(First.holds() && Second.holds());
    return Second.holds();
  }));
}

TEST(RestoredStore, AFleetKeepsTheLostTicketAndTakesTheNextOne) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 5; ++Seed) {
    RestoredFleet Sim(Seed);
    Sim.losesATicket();
    std::size_t Restarted = 0;
    while (isReader(Sim.Daemons_[Restarted].Members_))
      ++Restarted;
    Sim.kill(Restarted);
    Sim.run(milliseconds(300));
    Sim.start(Restarted);
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.allRun(2); }, seconds(3)))
        << "seed " << Seed;
    EXPECT_TRUE(
        Sim.runUntil([&] { return Sim.Store_.Seeds_.size() == 3; }, seconds(3)))
        << "seed " << Seed;
    Sim.writesItAgain();
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.allRun(3); }, seconds(2)))
        << "seed " << Seed;
    EXPECT_TRUE(Sim.Violations_.empty()) << "seed " << Seed;
  }
}

TEST(RestoredStore, AFleetThatRestartsMeanwhileServesTheStoresTicket) {
  std::uint64_t First = testSeed(1);
  for (std::uint64_t Seed = First; Seed < First + 5; ++Seed) {
    RestoredFleet Sim(Seed);
    Sim.losesATicket();
    for (std::size_t I = 0; I < Sim.Daemons_.size(); ++I)
      Sim.kill(I);
    Sim.run(milliseconds(500));
    Sim.startAll();
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.allRun(1); }, seconds(10)))
        << "seed " << Seed;
    Sim.run(seconds(5));
    Sim.writesItAgain();
    Sim.acceptTicket();
    EXPECT_TRUE(Sim.runUntil([&] { return Sim.allRun(3); }, seconds(5)))
        << "seed " << Seed;
  }
}
