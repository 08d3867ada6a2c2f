// Guards against requests that stay quarantined forever, escape quarantine, or
// are quarantined because several daemons report the same loss.
#include "PolicyMutation.h"

#include "sycamore/Quarantine.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using sycamore::test::isMutated;

namespace {

constexpr std::uint64_t TestFingerprint = 42;

struct QuarantineTest : testing::Test {
  Quarantine Table_;
  Quarantine Peer_;
  WallTime Now_{seconds(1'000'000'000)};

  QuarantineTest() {
    if (isMutated("quarantine-no-limit"))
      Table_.Options_.LossLimit_ = Peer_.Options_.LossLimit_ = 1000;
    if (isMutated("quarantine-counts-reports"))
      Table_.Options_.SameLossWindow_ = Peer_.Options_.SameLossWindow_ =
          Duration{0};
  }

  QuarantineDecision decide(Quarantine &Table) {
    return check(Table, TestFingerprint, Now_).Decision_;
  }

  void gossip(Quarantine &From, Quarantine &To) {
    for (const auto &Each : list(From))
      merge(To, Each, Now_);
  }

  void loseTwice() {
    recordLoss(Table_, TestFingerprint, "server-1", "POST /issue", Now_);
    Now_ += seconds(1);
    recordLoss(Table_, TestFingerprint, "server-2", "POST /issue", Now_);
  }
};

} // namespace

TEST_F(QuarantineTest, FingerprintsDistinguishAllParts) {
  EXPECT_EQ(fingerprintOf("a", "GET", "/x", "b"),
            fingerprintOf("a", "GET", "/x", "b"));
  EXPECT_NE(fingerprintOf("a", "GET", "/x", "b"),
            fingerprintOf("a", "GET", "/xb", ""));
  EXPECT_NE(fingerprintOf("a", "GET", "/x", "b"),
            fingerprintOf("aG", "ET", "/x", "b"));
}

TEST_F(QuarantineTest, RunsARequestAloneAfterItsFirstLoss) {
  EXPECT_EQ(decide(Table_), QuarantineDecision::Allow);
  EXPECT_EQ(recordLoss(Table_, TestFingerprint, "server-1", "s", Now_),
            Table_.Options_.PropagationTime_);
  EXPECT_EQ(decide(Table_), QuarantineDecision::AllowAsSuspect);
  QuarantineVerdict Second = check(Table_, TestFingerprint, Now_);
  EXPECT_EQ(Second.Decision_, QuarantineDecision::Refuse);
  EXPECT_TRUE(Second.Busy_);
  endSuspectRun(Table_, TestFingerprint);
  EXPECT_EQ(decide(Table_), QuarantineDecision::AllowAsSuspect);
}

TEST_F(QuarantineTest, RefusesAfterTwoLossesForAMinute) {
  loseTwice();
  QuarantineVerdict Verdict = check(Table_, TestFingerprint, Now_);
  EXPECT_EQ(Verdict.Decision_, QuarantineDecision::Refuse);
  EXPECT_EQ(Verdict.RetryAfter_, seconds(60));
  EXPECT_EQ(checkAtTarget(Table_, TestFingerprint, Now_),
            QuarantineDecision::Refuse);
  Now_ += seconds(60);
  EXPECT_EQ(decide(Table_), QuarantineDecision::AllowAsSuspect);
  recordLoss(Table_, TestFingerprint, "server-3", "s", Now_);
  EXPECT_EQ(decide(Table_), QuarantineDecision::Refuse);
}

TEST_F(QuarantineTest, CountsALossOnceWhenSeveralDaemonsReportIt) {
  recordLoss(Table_, TestFingerprint, "server-1", "s", Now_);
  recordLoss(Table_, TestFingerprint, "server-1", "s", Now_ + milliseconds(5));
  recordLoss(Peer_, TestFingerprint, "server-1", "s", Now_ + milliseconds(9));
  gossip(Peer_, Table_);
  EXPECT_EQ(Table_.Entries_.at(TestFingerprint).LossCount_, 1U);
  // The target was restarted and lost again.
  recordLoss(Table_, TestFingerprint, "server-1", "s", Now_ + seconds(20));
  EXPECT_EQ(Table_.Entries_.at(TestFingerprint).LossCount_, 2U);
}

TEST_F(QuarantineTest, AddsUpLossesReportedByDifferentDaemons) {
  recordLoss(Table_, TestFingerprint, "server-1", "s", Now_);
  recordLoss(Peer_, TestFingerprint, "server-2", "s", Now_);
  gossip(Peer_, Table_);
  EXPECT_EQ(decide(Table_), QuarantineDecision::Refuse);
}

TEST_F(QuarantineTest, ASuccessClearsTheLossesOnAllDaemons) {
  recordLoss(Table_, TestFingerprint, "server-1", "s", Now_);
  gossip(Table_, Peer_);
  recordSuccess(Peer_, TestFingerprint, Now_);
  gossip(Peer_, Table_);
  EXPECT_EQ(decide(Table_), QuarantineDecision::Allow);
  recordLoss(Table_, TestFingerprint, "server-2", "s", Now_ + seconds(1));
  EXPECT_EQ(decide(Table_), QuarantineDecision::AllowAsSuspect);
}

TEST_F(QuarantineTest, TheOperatorsClearOverridesOlderLosses) {
  loseTwice();
  auto Old = list(Table_);
  clear(Peer_, TestFingerprint, Now_ + milliseconds(1));
  gossip(Peer_, Table_);
  EXPECT_EQ(decide(Table_), QuarantineDecision::Allow);
  for (const auto &Each : Old) // Delayed gossip.
    EXPECT_FALSE(merge(Table_, Each, Now_));
  EXPECT_EQ(decide(Table_), QuarantineDecision::Allow);
  gossip(Table_, Peer_);
  EXPECT_EQ(decide(Peer_), QuarantineDecision::Allow);
}

TEST_F(QuarantineTest, ExpiresAndIsRemoved) {
  loseTwice();
  Now_ += Table_.Options_.RetentionTime_;
  EXPECT_EQ(decide(Table_), QuarantineDecision::Allow);
  expire(Table_, Now_);
  EXPECT_TRUE(Table_.Entries_.empty());
  EXPECT_EQ(Table_.Bytes_, 0U);
}

TEST_F(QuarantineTest, APeerWhoseClockIsAheadDoesNotExtendTheRefusal) {
  wire::QuarantineRecord Record;
  Record.set_fingerprint(TestFingerprint);
  Record.set_losses(2);
  Record.add_servers("server-1");
  Record.add_servers("server-2");
  Record.set_version(1);
  Record.set_expires_unix_us(UINT64_MAX);
  EXPECT_TRUE(merge(Table_, Record, Now_));
  EXPECT_LE(check(Table_, TestFingerprint, Now_).RetryAfter_, seconds(61));
  Now_ += seconds(61);
  EXPECT_NE(decide(Table_), QuarantineDecision::Refuse);
  Record.set_version(UINT64_MAX);
  EXPECT_FALSE(merge(Table_, Record, Now_));
  EXPECT_EQ(Table_.Counters_.Rejected_, 1U);
}

TEST_F(QuarantineTest, SendsEachChangeInALimitedNumberOfRounds) {
  recordLoss(Table_, TestFingerprint, "server-1", "s", Now_);
  int Rounds = 0;
  while (!changedRecords(Table_, 690).empty())
    ++Rounds;
  EXPECT_EQ(Rounds, 11); // log2(690) + 2, rounded down.
}

TEST_F(QuarantineTest, StaysWithinItsBounds) {
  Table_.Options_.MaxRecords_ = 100;
  Table_.Options_.MaxBytes_ = 20000;
  std::string Sample(10000, 'x');
  for (std::uint64_t Each = 0; Each < 1000; ++Each) {
    Now_ += milliseconds(1);
    recordLoss(Table_, Each, "server-1", Sample, Now_);
    ASSERT_LE(Table_.Entries_.size(), 100U);
    ASSERT_LE(Table_.Bytes_, 20000U);
  }
  EXPECT_TRUE(Table_.Entries_.count(999) == 1);
}

/// Daemons with different records agree after exchanging them, whatever the
/// order of changes and exchanges before.
RC_GTEST_PROP(QuarantineProperty, DaemonsAgreeAfterExchangingRecords, ()) {
  std::vector<Quarantine> Tables(3);
  WallTime Now{seconds(1'000'000'000)};
  auto Steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
      rc::gen::tuple(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3),
                     rc::gen::inRange(0, 4)));
  for (auto [Kind, Daemon, Server] : Steps) {
    Now += milliseconds(700);
    auto &Table = Tables[static_cast<std::size_t>(Daemon)];
    if (Kind < 3)
      recordLoss(Table, TestFingerprint, "server-" + std::to_string(Server),
                 "s", Now);
    else if (Kind == 3)
      recordSuccess(Table, TestFingerprint, Now);
    else if (Kind == 4)
      clear(Table, TestFingerprint, Now);
    else
      for (const auto &Each : list(Table))
        merge(Tables[static_cast<std::size_t>(Server) % 3], Each, Now);
  }
  for (int Round = 0; Round < 3; ++Round)
    for (auto &From : Tables)
      for (auto &To : Tables)
        for (const auto &Each : list(From))
          merge(To, Each, Now);
  auto Verdict = checkAtTarget(Tables[0], TestFingerprint, Now);
  for (const auto &Each : Tables)
    RC_ASSERT(checkAtTarget(Each, TestFingerprint, Now) == Verdict);
}

/// No record received from the network, whatever its content, stays in the
/// table past its retention time.
RC_GTEST_PROP(QuarantineProperty, AnyReceivedRecordExpires, ()) {
  Quarantine Table;
  WallTime Now{seconds(1'000'000'000)};
  auto Bytes = *rc::gen::arbitrary<std::string>();
  wire::QuarantineRecord Record;
  if (!Record.ParseFromString(Bytes)) {
    Record.set_fingerprint(*rc::gen::arbitrary<std::uint64_t>());
    Record.set_losses(*rc::gen::arbitrary<std::uint32_t>());
    Record.set_version(*rc::gen::arbitrary<std::uint64_t>());
    Record.set_expires_unix_us(*rc::gen::arbitrary<std::uint64_t>());
    Record.set_cleared(*rc::gen::arbitrary<bool>());
    for (const auto &Each : *rc::gen::arbitrary<std::vector<std::string>>())
      Record.add_servers(Each);
  }
  merge(Table, Record, Now);
  check(Table, Record.fingerprint(), Now);
  expire(Table, Now + seconds(700));
  RC_ASSERT(Table.Entries_.empty());
}
