// Tests that no key runs twice after its bucket changed its holder, and that
// refusals claim no more than the holder knows.
#include "CallWorld.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

constexpr std::uint64_t Hash = 1;
const std::vector<std::string> OneServer = {"a"};

Now at(double Seconds) {
  Duration Since(static_cast<std::int64_t>(Seconds * 1e6));
  return {TimePoint(seconds(500) + Since),
          WallTime(seconds(1'800'000'000) + Since)};
}

/// A UUIDv7 created at a time; keys of the same time differ in Tail.
std::string key(double Created, int Tail = 0) {
  char Text[80];
  auto Ms = static_cast<unsigned long long>(
      at(Created).Wall_.time_since_epoch().count() / 1000);
  std::snprintf(Text, sizeof Text, "%08llx-%04llx-7000-8000-%012x", Ms >> 16U,
                Ms & 0xffffU, static_cast<unsigned>(Tail));
  return Text;
}

/// A table that holds all buckets since time 0, under a lease granted then.
BucketTable tableHoldingAll(const std::string &Name, KeyedLimits Limits = {}) {
  world::setMutationFromEnvironment();
  BucketTable Out = makeBucketTable(Name, 1, Limits);
  Random Rng(1);
  std::int64_t Lease = 0;
  for (int Round = 0; Round < 2; ++Round)
    for (const BucketAction &Each :
         tickBuckets(Out, std::vector{Name}, {}, at(0), Rng))
      if (const auto *Acquire = std::get_if<AcquireBucket>(&Each)) {
        std::optional<LeaseGrant> Granted;
        if (Acquire->LeaseId_ == 0)
          Granted = LeaseGrant{++Lease, Acquire->LeaseTtl_, at(0).Monotonic_};
        onAcquired(Out, Acquire->Bucket_, 10, Granted, at(0));
      }
  return Out;
}

wire::CallAnswer outcome(wire::RunOutcome Run) {
  wire::CallAnswer Out;
  Out.set_run(Run);
  Out.set_status(200);
  return Out;
}

KeyAdmission admit(BucketTable &Table, const std::string &Key, double When) {
  return admitKey(Table, Key, Hash, at(When)).Admission_;
}

} // namespace

TEST(KeyedCalls, RunsOnceThenReplays) {
  BucketTable Table = tableHoldingAll("a");
  std::string Key = key(5);
  EXPECT_EQ(admit(Table, Key, 5), KeyAdmission::Run);
  EXPECT_EQ(admit(Table, Key, 6), KeyAdmission::JoinRunning);
  completeKey(Table, Key, outcome(wire::RUN_DONE), "answer", at(7));
  KeyDecision Again = admitKey(Table, Key, Hash, at(8));
  ASSERT_EQ(Again.Admission_, KeyAdmission::Replay);
  EXPECT_EQ(Again.Answer_->Body_, "answer");
  EXPECT_EQ(admitKey(Table, Key, Hash + 1, at(9)).Admission_,
            KeyAdmission::RefuseMismatch);
}

TEST(KeyedCalls, OnlyAProvenNotRunAllowsAnotherRun) {
  BucketTable Table = tableHoldingAll("a");
  admit(Table, key(5), 5);
  completeKey(Table, key(5), outcome(wire::RUN_NOT_RUN), "", at(6));
  EXPECT_EQ(admit(Table, key(5), 7), KeyAdmission::Run);
  completeKey(Table, key(5), outcome(wire::RUN_UNKNOWN), "", at(8));
  EXPECT_EQ(admit(Table, key(5), 9), KeyAdmission::RefuseUnknown);
}

// What a caller may do next depends on the reason, and on whether the refusal
// covers earlier requests with the key.
TEST(KeyedCalls, RefusalsReportWhatIsKnown) {
  KeyedLimits Limits;
  Limits.MaxRecords_ = 1;
  BucketTable Table = tableHoldingAll("a", Limits);
  auto Decide = [&](const std::string &Key, double When) {
    KeyDecision Out = admitKey(Table, Key, Hash, at(When));
    return std::tuple(Out.Admission_, Out.Reason_, Out.NeverRan_);
  };
  using A = KeyAdmission;
  using R = KeyReason;
  EXPECT_EQ(Decide(key(2), 5),
            std::tuple(A::RefuseUnknown, R::TakenOver, false));
  EXPECT_EQ(Decide("order-1", 5),
            std::tuple(A::RefuseUnknown, R::TakenOver, false));
  EXPECT_EQ(Decide(key(6.1), 5),
            std::tuple(A::RefuseNotRun, R::FromTheFuture, true));
  EXPECT_EQ(admit(Table, key(4), 5), A::Run);
  EXPECT_EQ(Decide(key(4, 1), 5), std::tuple(A::RefuseNotRun, R::Full, true));
  EXPECT_EQ(Decide(key(4, 2), 29.6),
            std::tuple(A::RefuseNotRun, R::LeaseLapsed, false));
  completeKey(Table, key(4), outcome(wire::RUN_DONE), "x", at(6));
  EXPECT_EQ(admit(Table, key(4), 40), A::Replay);
  onKeptAlive(Table, {1, seconds(30), at(600).Monotonic_}, at(601));
  EXPECT_EQ(Decide(key(2.5, 1), 605),
            std::tuple(A::RefuseUnknown, R::TooOld, false));
}

// Old answers may be dropped, but not the record that the key ran.
TEST(KeyedCalls, DroppingAnswersKeepsOutcomes) {
  KeyedLimits Limits;
  Limits.MaxAnswerBytes_ = 10;
  BucketTable Table = tableHoldingAll("a", Limits);
  for (int I = 0; I < 3; ++I) {
    admit(Table, key(5, I), 5);
    completeKey(Table, key(5, I), outcome(wire::RUN_DONE), "8 bytes.", at(6));
  }
  EXPECT_LE(Table.AnswerBytes_, 10U);
  EXPECT_EQ(admit(Table, key(5, 0), 7), KeyAdmission::RefuseUnknown);
  EXPECT_EQ(admit(Table, key(5, 2), 7), KeyAdmission::Replay);
  Random Rng(1);
  tickBuckets(Table, OneServer, {}, at(620), Rng);
  EXPECT_EQ(Table.Records_, 0U);
}

// A claim whose answer was lost must not block the bucket until the lease ends.
TEST(KeyedCalls, RecognisesItsOwnClaimAfterALostAnswer) {
  BucketTable Table = makeBucketTable("a", 1, {});
  Random Rng(1);
  auto Actions = tickBuckets(Table, OneServer, {}, at(0), Rng);
  auto Acquire = std::get<AcquireBucket>(Actions.at(0));
  LeaseGrant Granted{9, seconds(30), at(0).Monotonic_};
  onAcquireFailed(Table, Acquire.Bucket_, Granted, at(1), Rng);
  tickBuckets(Table, OneServer, {}, at(4), Rng);
  KeyValue Found;
  Found.Value_ = Acquire.Value_;
  Found.Lease_ = 9;
  Found.ModRevision_ = 33;
  onAcquireConflict(Table, Acquire.Bucket_, Found, {}, at(5), Rng);
  EXPECT_TRUE(holdsBucket(Table, Acquire.Bucket_, at(6).Monotonic_));
  EXPECT_EQ(Table.Buckets_[Acquire.Bucket_].Fence_, 33U);
}

// A planned stop must neither lose the outcome of a key nor allow a second run.
TEST(KeyedCalls, HandoverCarriesRecordsAndLaterOutcomes) {
  BucketTable Old = tableHoldingAll("a");
  BucketTable New = makeBucketTable("b", 2, {});
  admit(Old, key(5), 5);
  std::uint32_t BucketIndex = bucketOf(key(5), 16);
  for (const BucketAction &Each :
       beginHandover(Old, std::vector<std::string>{"a", "b"}, at(6)))
    onHandover(New, std::get<SendHandover>(Each).Handover_, at(6));
  EXPECT_EQ(admit(Old, key(5.5), 6), KeyAdmission::RefuseNotRun);
  Random Rng(1);
  bool Acquired = false;
  for (const BucketAction &Each :
       tickBuckets(New, std::vector<std::string>{"b"}, {}, at(7), Rng)) {
    const auto &Acquire = std::get<AcquireBucket>(Each);
    EXPECT_EQ(Acquire.ExpectedFence_, 10U);
    LeaseGrant Granted{2, seconds(30), at(7).Monotonic_};
    onAcquired(New, Acquire.Bucket_, 11, Granted, at(7));
    Acquired = Acquired || Acquire.Bucket_ == BucketIndex;
  }
  for (int Round = 0; Round < 16 && !Acquired; ++Round)
    for (const BucketAction &Each :
         tickBuckets(New, std::vector<std::string>{"b"}, {}, at(7), Rng))
      if (const auto *Acquire = std::get_if<AcquireBucket>(&Each)) {
        onAcquired(New, Acquire->Bucket_, 11, {}, at(7));
        Acquired = Acquired || Acquire->Bucket_ == BucketIndex;
      }
  EXPECT_EQ(admit(New, key(5), 8), KeyAdmission::JoinRunning);
  for (const BucketAction &Each :
       completeKey(Old, key(5), outcome(wire::RUN_DONE), "x", at(9)))
    onHandover(New, std::get<SendHandover>(Each).Handover_, at(9));
  EXPECT_EQ(admit(New, key(5), 10), KeyAdmission::Replay);
}

// Another holder may have run the key between the handover and the takeover.
TEST(KeyedCalls, HandoverAppliesOnlyIfNobodyHeldTheBucketSince) {
  BucketTable New = makeBucketTable("b", 2, {});
  wire::BucketHandover Part;
  std::uint32_t BucketIndex = bucketOf(key(5), 16);
  Part.set_bucket(BucketIndex);
  Part.set_fence(10);
  Part.set_parts(1);
  onHandover(New, Part, at(6));
  New.Buckets_[BucketIndex].State_ = BucketState::Acquiring;
  LeaseGrant Granted{2, seconds(30), at(7).Monotonic_};
  onAcquired(New, BucketIndex, 12, Granted, at(7));
  EXPECT_EQ(admit(New, key(5), 8), KeyAdmission::RefuseUnknown);
}

TEST(KeyedCalls, HighestFenceWins) {
  std::vector<wire::ServerRecord> Records(2);
  for (std::uint64_t I = 0; I < 2; ++I) {
    Records[I].set_name(I == 0 ? "old" : "new");
    wire::HeldBucket *Held = Records[I].add_buckets();
    Held->set_bucket(3);
    Held->set_fence(7 + I);
  }
  EXPECT_EQ(holderOf(3, Records)->Server_, "new");
  Records[1].set_state(wire::SERVER_DEAD);
  EXPECT_FALSE(holderOf(3, Records));
}

RC_GTEST_PROP(KeyedCalls, ReadsTheCreationTimeOfUuid7Only,
              (std::uint64_t Seed)) {
  double Created = static_cast<double>(Seed % 1'000'000);
  std::string Key = key(Created, static_cast<int>(Seed % 1000));
  RC_ASSERT(keyCreationTime(Key) == at(Created).Wall_);
  RC_ASSERT(parseKey("\"" + Key + "\"").value() == Key);
  Key[*rc::gen::inRange<std::size_t>(0, Key.size())] = 'x';
  RC_ASSERT(!keyCreationTime(Key));
}

// With daemon clocks within the skew and any caller's clock, no key may be
// accepted both by a holder and by its successor.
RC_GTEST_PROP(KeyedCalls, NoKeyIsAcceptedByHolderAndSuccessor, ()) {
  double OldSkew = *rc::gen::inRange(-500, 501) / 1000.0;
  double NewSkew = *rc::gen::inRange(-500, 501) / 1000.0;
  // Times around the lease's end; the key is created up to one skew ahead of
  // the old holder's clock.
  double TakeoverTime = 29.5 + *rc::gen::inRange(0, 300) / 1000.0;
  double AcceptedAt = 29.49 - *rc::gen::inRange(0, 300) / 1000.0;
  std::string Key =
      key(AcceptedAt + OldSkew + *rc::gen::inRange(0, 1000) / 1000.0);
  auto Clock = [](double TrueTime, double Skew) {
    return Now{at(TrueTime).Monotonic_, at(TrueTime + Skew).Wall_};
  };
  BucketTable Old = tableHoldingAll("a");
  BucketTable New = makeBucketTable("b", 2, {});
  Random Rng(1);
  auto Ran = admitKey(Old, Key, Hash, Clock(AcceptedAt, OldSkew)).Admission_;
  RC_PRE(Ran == KeyAdmission::Run);
  std::uint32_t BucketIndex = bucketOf(Key, 16);
  LeaseGrant Granted{2, seconds(30), at(TakeoverTime).Monotonic_};
  New.Buckets_[BucketIndex].State_ = BucketState::Acquiring;
  onAcquired(New, BucketIndex, 11, Granted, Clock(TakeoverTime, NewSkew));
  double ResentAt = TakeoverTime + *rc::gen::inRange(0, 10'000) / 1000.0;
  RC_ASSERT(admitKey(New, Key, Hash, Clock(ResentAt, NewSkew)).Admission_ !=
            KeyAdmission::Run);
}
