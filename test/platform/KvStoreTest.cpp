// Guards against a store client that reports a lost response as a refusal,
// misses a change after the store compacted its history, or reads only the
// first page of a range.
#include "KvStore.h"
#include "EventLoop.h"
#include "FaultProxy.h"
#include "KvStandin.h"
#include "sycamore/Clock.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

struct KvStoreTest : testing::Test {
  EventLoop Loop_;
  std::unique_ptr<KvStandin> Standin_ =
      std::make_unique<KvStandin>(Loop_.base());
  std::shared_ptr<StoreCounters> Counters_ = std::make_shared<StoreCounters>();
  std::unique_ptr<Store> Store_ = openStore(1000);

  ~KvStoreTest() override {
    Store_.reset();
    Standin_.reset();
    Loop_.runFor(milliseconds(5));
  }

  std::unique_ptr<Store> openStore(std::uint64_t CallsPerSecond,
                                   const std::string &Address = "") {
    StoreSettings Settings;
    Settings.Endpoints_ = {Address.empty() ? Standin_->address() : Address};
    Settings.CallsPerSecond_ = CallsPerSecond;
    return platform::makeKvStore(Loop_.base(), Settings, Counters_);
  }

  template <typename T, typename Start> Result<T> waitFor(Start StartCall) {
    auto Response = std::make_shared<std::optional<Result<T>>>();
    StartCall([Response](Result<T> Value) { *Response = std::move(Value); });
    if (!Loop_.runUntil([&] { return Response->has_value(); }))
      return fail(ErrorKind::Internal, "no response in time", "");
    return **Response;
  }

  Result<RangeResult> range(const std::string &Key,
                            const std::string &End = "") {
    RangeRequest Request;
    Request.Key_ = Key;
    Request.RangeEnd_ = End;
    return waitFor<RangeResult>([&](StoreCallback<RangeResult> Done) {
      Store_->range(Request, Deadline_, std::move(Done));
    });
  }

  Result<TxnResult> put(const std::string &Key, std::int64_t Revision,
                        std::int64_t Lease = 0) {
    Txn Request;
    Request.Compares_ = {{Key, Revision}};
    Request.Puts_ = {{Key, "value", Lease}};
    return waitFor<TxnResult>([&](StoreCallback<TxnResult> Done) {
      Store_->txn(Request, Deadline_, std::move(Done));
    });
  }

  Duration Deadline_ = milliseconds(300);
};

} // namespace

TEST_F(KvStoreTest, ReadsEveryPageOfARange) {
  Standin_->Faults_.PageItems_ = 2;
  for (const char *Key : {"a/1", "a/2", "a/3", "a/4", "a/5", "b/1"})
    Standin_->put(Key, std::string("\0bytes", 6));
  auto Read = range("a/", "a0");
  ASSERT_TRUE(Read.has_value()) << describe(Read.error());
  ASSERT_EQ(Read->Values_.size(), 5U);
  EXPECT_EQ(Read->Values_[4].Key_, "a/5");
  EXPECT_EQ(Read->Values_[4].Value_, std::string("\0bytes", 6));
}

TEST_F(KvStoreTest, AnAbsentKeyIsAnEmptyRange) {
  auto Read = range("none");
  ASSERT_TRUE(Read.has_value());
  EXPECT_TRUE(Read->Values_.empty());
}

TEST_F(KvStoreTest, OneOfTwoWritersWins) {
  auto First = put("key", 0);
  auto Second = put("key", 0);
  ASSERT_TRUE(First.has_value() && Second.has_value());
  EXPECT_TRUE(First->Succeeded_);
  EXPECT_FALSE(Second->Succeeded_);
  EXPECT_TRUE(put("key", First->Revision_)->Succeeded_);
}

TEST_F(KvStoreTest, AWriteWithALostResponseIsUnknown) {
  Standin_->Faults_.DropWriteResponses_ = true;
  auto Written = put("key", 0);
  ASSERT_FALSE(Written.has_value());
  EXPECT_EQ(Written.error().Kind_, ErrorKind::OutcomeUnknown);
  EXPECT_TRUE(Standin_->Items_.contains("key"));
}

TEST_F(KvStoreTest, ARefusedWriteDidNotTakeEffect) {
  Standin_->Faults_.Unavailable_ = true;
  auto Written = put("key", 0);
  ASSERT_FALSE(Written.has_value());
  EXPECT_EQ(Written.error().Kind_, ErrorKind::Unavailable);
  EXPECT_FALSE(Standin_->Items_.contains("key"));
}

TEST_F(KvStoreTest, CallsToASilentStoreEndAtTheDeadline) {
  Standin_->Faults_.Silent_ = true;
  auto Read = range("key");
  ASSERT_FALSE(Read.has_value());
  EXPECT_EQ(Read.error().Kind_, ErrorKind::Unavailable);
  auto Written = put("key", 0);
  ASSERT_FALSE(Written.has_value());
  EXPECT_EQ(Written.error().Kind_, ErrorKind::OutcomeUnknown);
}

TEST_F(KvStoreTest, AWriteWithAnExpiredLeaseIsRefused) {
  auto Granted = waitFor<Lease>([&](StoreCallback<Lease> Done) {
    Store_->grantLease(seconds(10), Deadline_, std::move(Done));
  });
  ASSERT_TRUE(Granted.has_value());
  EXPECT_TRUE(put("key", 0, Granted->Id_)->Succeeded_);
  Standin_->expireLease(Granted->Id_);
  EXPECT_FALSE(Standin_->Items_.contains("key"));
  auto Written = put("other", 0, Granted->Id_);
  ASSERT_FALSE(Written.has_value());
  EXPECT_EQ(Written.error().Kind_, ErrorKind::NotFound);
  auto Renewed = waitFor<Lease>([&](StoreCallback<Lease> Done) {
    Store_->keepLeaseAlive(Granted->Id_, Deadline_, std::move(Done));
  });
  EXPECT_EQ(Renewed->Ttl_, seconds(0));
}

// Another server has to find a change within 2 s of its acceptance.
TEST_F(KvStoreTest, AWatchOfASilentStoreFailsBeforeAChangeIsLate) {
  Standin_->put("op/doc", "1");
  std::optional<TimePoint> SilentAt;
  bool Failed = false;
  auto Watch = Store_->watch(
      "op/doc", 0,
      [&](const KeyValue &) {
        Standin_->Faults_.Silent_ = true;
        SilentAt = monotonicNow();
      },
      [&](const Error &) { Failed = true; });
  ASSERT_TRUE(Loop_.runUntil([&] { return Failed; }));
  EXPECT_LT(monotonicNow() - *SilentAt, seconds(2));
}

// The answers take 2 s, longer than a silent store is waited for.
TEST_F(KvStoreTest, ALargeValueArrivesOverASlowLink) {
  FaultProxy Link(Loop_.base());
  Link.setDestination(Standin_->address());
  Link.limitServerRate(200'000);
  Store_ = openStore(1000, Link.address());
  std::string Large = randomBody(300'000);
  Standin_->put("op/doc", Large);
  auto Read = range("op/doc");
  ASSERT_TRUE(Read.has_value()) << describe(Read.error());
  EXPECT_EQ(Read->Values_.front().Value_, Large);

  std::vector<std::string> Seen;
  auto Watch = Store_->watch(
      "op/", 0, [&](const KeyValue &Entry) { Seen.push_back(Entry.Value_); },
      [](const Error &Failure) { ADD_FAILURE() << describe(Failure); });
  ASSERT_TRUE(Loop_.runUntil([&] { return Seen.size() == 1; }));
  Standin_->put("op/doc", Large + "2");
  ASSERT_TRUE(Loop_.runUntil([&] { return Seen.size() == 2; }));
  EXPECT_EQ(Seen.back(), Large + "2");
  Store_.reset();
}

TEST_F(KvStoreTest, AReadWhoseAnswerStopsHalfWayFails) {
  FaultProxy Link(Loop_.base());
  Link.setDestination(Standin_->address());
  Link.limitServerRate(200'000);
  Store_ = openStore(1000, Link.address());
  Standin_->put("op/doc", randomBody(300'000));
  std::optional<Result<RangeResult>> Read;
  Store_->range({"op/doc", "", 0, false, false}, Deadline_,
                [&](Result<RangeResult> Value) { Read = std::move(Value); });
  Loop_.runFor(milliseconds(200));
  Link.discardTraffic(/*FromClient=*/false, /*FromServer=*/true);
  TimePoint SilentAt = monotonicNow();
  ASSERT_TRUE(Loop_.runUntil([&] { return Read.has_value(); }));
  EXPECT_FALSE(Read->has_value());
  EXPECT_LT(monotonicNow() - SilentAt, seconds(2));
  Store_.reset();
}

TEST_F(KvStoreTest, AWatchReportsEachValueAfterTheFirst) {
  Standin_->put("op/doc", "1");
  std::vector<std::string> Seen;
  auto Watch = Store_->watch(
      "op/doc", 0, [&](const KeyValue &Entry) { Seen.push_back(Entry.Value_); },
      [](const Error &Failure) { ADD_FAILURE() << describe(Failure); });
  EXPECT_TRUE(Loop_.runUntil([&] { return Seen.size() == 1; }));
  Standin_->put("op/doc", "2");
  Standin_->put("op/doc2", "of another key");
  EXPECT_TRUE(Loop_.runUntil([&] { return Seen.size() == 2; }));
  Standin_->put("op/doc", "3");
  EXPECT_TRUE(Loop_.runUntil([&] { return Seen.size() == 3; }));
  EXPECT_EQ(Seen, (std::vector<std::string>{"1", "2", "3"}));
}

// Parsing each version of a long series would delay the last one.
TEST_F(KvStoreTest, AWatchSkipsValuesThatAreOvertakenInTheSameAnswer) {
  std::vector<std::string> Seen;
  auto Watch = Store_->watch(
      "op/", 0,
      [&](const KeyValue &Entry) {
        Seen.push_back(Entry.Key_ + Entry.Value_);
        if (Entry.Value_ != "1")
          return;
        for (const char *Value : {"2", "3", "4"})
          Standin_->put("op/doc", Value);
        Standin_->put("op/other", "5");
        Standin_->put("op/doc", "6");
      },
      [](const Error &Failure) { ADD_FAILURE() << describe(Failure); });
  Loop_.runFor(milliseconds(50));
  Standin_->put("op/doc", "1");
  ASSERT_TRUE(Loop_.runUntil([&] { return Seen.size() >= 3; }));
  EXPECT_EQ(Seen,
            (std::vector<std::string>{"op/doc1", "op/other5", "op/doc6"}));
}

// A reader that begins to watch has to learn the orders written before, also
// when they fill more than one page.
TEST_F(KvStoreTest, AWatchOfAPrefixReportsEveryKeyAndItsChanges) {
  Standin_->Faults_.PageItems_ = 2;
  for (const char *Key : {"op/a", "op/b", "op/c", "other/d"})
    Standin_->put(Key, "1");
  std::vector<std::string> Seen;
  auto Watch = Store_->watch(
      "op/", 0,
      [&](const KeyValue &Entry) { Seen.push_back(Entry.Key_ + Entry.Value_); },
      [](const Error &Failure) { ADD_FAILURE() << describe(Failure); });
  EXPECT_TRUE(Loop_.runUntil([&] { return Seen.size() == 3; }));
  Standin_->put("other/d", "2");
  Standin_->put("op/b", "2");
  EXPECT_TRUE(Loop_.runUntil([&] { return Seen.size() == 4; }));
  EXPECT_EQ(Seen,
            (std::vector<std::string>{"op/a1", "op/b1", "op/c1", "op/b2"}));
  EXPECT_EQ(Standin_->Calls_["GET /v1/kv-range"], 2U);
}

TEST_F(KvStoreTest, AWatchReadsTheKeyAgainAfterACompaction) {
  std::vector<std::string> Seen;
  auto Watch = Store_->watch(
      "key", 0, [&](const KeyValue &Entry) { Seen.push_back(Entry.Value_); },
      [](const Error &Failure) { ADD_FAILURE() << describe(Failure); });
  Loop_.runFor(milliseconds(50));
  Standin_->Faults_.AbortWatches_ = false;
  Standin_->Items_["key"] = {"missed", 11, 11, 0};
  Standin_->compact();
  Standin_->put("unrelated", "x");
  Standin_->compact();
  EXPECT_TRUE(Loop_.runUntil([&] { return !Seen.empty(); }));
  EXPECT_EQ(Seen.front(), "missed");
  // Nor must the client poll the absent key in a tight loop.
  EXPECT_LT(Standin_->Calls_["GET /v1/kv-watch"], 20U);
}

TEST_F(KvStoreTest, AnAbortedWatchFailsOnce) {
  Standin_->Faults_.AbortWatches_ = true;
  Standin_->put("key", "1");
  int Failures = 0;
  auto Watch = Store_->watch(
      "key", 0, [](const KeyValue &) {}, [&](const Error &) { ++Failures; });
  EXPECT_TRUE(Loop_.runUntil([&] { return Failures > 0; }));
  Loop_.runFor(milliseconds(50));
  EXPECT_EQ(Failures, 1);
}

TEST_F(KvStoreTest, CallsOverTheBudgetAreNotSent) {
  Store_ = openStore(2);
  int Refused = 0;
  for (int I = 0; I < 10; ++I)
    Refused += range("key").has_value() ? 0 : 1;
  EXPECT_GE(Refused, 7);
  EXPECT_LE(Standin_->Calls_["GET /v1/kv-key"], 3U);
}

TEST_F(KvStoreTest, ARestorationIsReportedOnceBeforeTheAnswerThatShowsIt) {
  Standin_->put("key", "1");
  Standin_->keepCopy();
  std::vector<StoreRestoration> Reported;
  Store_->setRestorationHandler(
      [&](const StoreRestoration &Each) { Reported.push_back(Each); });
  for (int I = 0; I < 20; ++I)
    Standin_->put("other", "x");
  ASSERT_TRUE(range("key").has_value());
  std::int64_t Before = Standin_->revision();
  Standin_->returnToCopy();
  std::size_t ReportedBefore = 9;
  Store_->range(
      {"key", "", 0, false, false}, Deadline_,
      [&](const Result<RangeResult> &) { ReportedBefore = Reported.size(); });
  ASSERT_TRUE(Loop_.runUntil([&] { return ReportedBefore != 9; }));
  EXPECT_EQ(ReportedBefore, 1U);
  EXPECT_TRUE(range("key").has_value());
  EXPECT_TRUE(put("new", 0).has_value());
  ASSERT_EQ(Reported.size(), 1U);
  EXPECT_EQ(Reported.front().Identity_, "2");
  EXPECT_EQ(Reported.front().RevisionBefore_, Before);
}

// A response of the store before may be on its way while the store returns.
TEST_F(KvStoreTest, AResponseFromBeforeARestorationThatIsKnownFails) {
  Standin_->put("key", "lost later");
  ASSERT_TRUE(range("key").has_value());
  Standin_->Faults_.HoldResponses_ = true;
  std::optional<Result<RangeResult>> Late;
  Store_->range({"key", "", 0, false, false}, Deadline_,
                [&](Result<RangeResult> Read) { Late = std::move(Read); });
  ASSERT_TRUE(Loop_.runUntil([&] { return Standin_->heldResponses() == 1; }));
  Standin_->Faults_.HoldResponses_ = false;
  Standin_->keepCopy();
  Standin_->returnToCopy();
  ASSERT_TRUE(range("key").has_value());
  Standin_->sendHeldResponses();
  ASSERT_TRUE(Loop_.runUntil([&] { return Late.has_value(); }));
  ASSERT_FALSE(Late->has_value());
  EXPECT_EQ(Late->error().Kind_, ErrorKind::Unavailable);
}

TEST_F(KvStoreTest, AWatchThatWaitedThroughARestorationReportsTheNextValue) {
  for (bool OmitsEra : {false, true}) {
    Standin_->Faults_.OmitsEra_ = OmitsEra;
    Standin_->put("op/doc", "1");
    Standin_->keepCopy();
    for (int I = 0; I < 20; ++I)
      Standin_->put("other", "x");
    std::vector<std::string> Seen;
    auto Watch = Store_->watch(
        "op/doc", 0,
        [&](const KeyValue &Entry) { Seen.push_back(Entry.Value_); },
        [](const Error &Failure) { ADD_FAILURE() << describe(Failure); });
    ASSERT_TRUE(Loop_.runUntil([&] { return Seen.size() == 1; }));
    Loop_.runFor(milliseconds(50));
    Standin_->returnToCopy();
    Standin_->put("op/doc", "2");
    ASSERT_TRUE(Loop_.runUntil([&] { return Seen.back() == "2"; }));
  }
}
