// Tests that a takeover is not dated before the store executed it, and that a
// lease is not counted from the arrival of its answer.
#include "CallWorld.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

/// A store that keeps the callbacks of its calls until the test answers them.
struct DeferredStore : Store {
  StoreCallback<TxnResult> Txn_;
  StoreCallback<Lease> Lease_;

  void range(const RangeRequest &, Duration,
             StoreCallback<RangeResult>) override {}
  void txn(const Txn &, Duration, StoreCallback<TxnResult> Done) override {
    Txn_ = std::move(Done);
  }
  void grantLease(seconds, Duration, StoreCallback<Lease> Done) override {
    Lease_ = std::move(Done);
  }
  void keepLeaseAlive(std::int64_t, Duration,
                      StoreCallback<Lease> Done) override {
    Lease_ = std::move(Done);
  }
  void revokeLease(std::int64_t, Duration, StoreCallback<bool>) override {}
  std::unique_ptr<WatchHandle>
  watch(const std::string &, std::int64_t,
        std::function<void(const KeyValue &)>,
        std::function<void(const Error &)>) override {
    return nullptr;
  }
};

} // namespace

TEST(BucketStore, DatesTheLeaseFromItsRequestAndTheTakeoverFromItsAnswer) {
  world::setMutationFromEnvironment();
  BucketTable Table = makeBucketTable("a", 1, {});
  DeferredStore Data;
  Random Rng(1);
  Now At{TimePoint(seconds(100)), WallTime(seconds(100))};
  auto Advance = [&](seconds Span) {
    At.Monotonic_ += Span;
    At.Wall_ += Span;
  };
  BucketStore Context{&Data, &Table, &Rng, [&] { return At; }};
  for (const BucketAction &Each :
       tickBuckets(Table, std::vector<std::string>{"a"}, {}, At, Rng))
    EXPECT_TRUE(executeStoreAction(Context, Each));
  Advance(seconds(2));
  Data.Lease_(Lease{5, seconds(30)});
  Advance(seconds(3));
  TxnResult PutResult;
  PutResult.Succeeded_ = true;
  PutResult.Revision_ = 8;
  Data.Txn_(PutResult);
  EXPECT_EQ(Table.LeaseValidUntil_, TimePoint(milliseconds(129'500)));
  EXPECT_EQ(Table.Buckets_[0].UnknownBefore_, WallTime(seconds(107)));
  EXPECT_EQ(Table.Buckets_[0].Fence_, 8U);
}
