// Guards against wrong reports on whether a call took effect, with each fault
// that the stand-in for the store can inject.
#include "RawSocket.h"
#include "StoreSetup.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

ErrorKind errorKindOf(const Result<TxnResult> &Response) {
  return Response ? ErrorKind::Internal : Response.error().Kind_;
}

} // namespace

TEST(EtcdStoreFailure, IsUnavailableWhileTheStoreIsDown) {
  StoreSetup Setup;
  Setup.configureFaults(R"({"down": true})");
  EXPECT_EQ(errorKindOf(Setup.put("/k", "1")), ErrorKind::Unavailable);
  EXPECT_EQ(Setup.get("/k").error().Kind_, ErrorKind::Unavailable);
  EXPECT_EQ(Setup.grant(seconds(5)).error().Kind_, ErrorKind::Unavailable);
  Setup.configureFaults(R"({"down": false})");
  EXPECT_TRUE(Setup.put("/k", "1").has_value());
  EXPECT_EQ(Setup.Config_.Counters_->Calls_["txn"]["not-done"], 1U);
}

// Guards against a write that took effect but is reported as "not done" because
// its response was lost.
TEST(EtcdStoreFailure, AWriteWithALostResponseIsUnknown) {
  StoreSetup Setup;
  Setup.configureFaults(R"({"lose_answers": 1})");
  EXPECT_EQ(errorKindOf(Setup.put("/k", "1")), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(Setup.get("/k")->Values_.size(), 1U);
  Setup.configureFaults(R"({"refuse": 1})");
  EXPECT_EQ(errorKindOf(Setup.put("/k", "2")), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(Setup.get("/k")->Values_[0].Value_, "1");
  EXPECT_EQ(Setup.Config_.Counters_->Calls_["txn"]["unknown"], 2U);
}

TEST(EtcdStoreFailure, AReadWithALostResponseIsUnavailable) {
  StoreSetup Setup;
  Setup.configureFaults(R"({"refuse": true, "fault_reads": true})");
  EXPECT_EQ(Setup.get("/k").error().Kind_, ErrorKind::Unavailable);
  EXPECT_EQ(errorKindOf(Setup.txn({{}, {}, {}, {singleKeyRange("/k")}})),
            ErrorKind::Unavailable);
}

TEST(EtcdStoreFailure, ASlowWriteIsUnknownAndASlowReadUnavailable) {
  StoreSetup Setup;
  Setup.configureFaults(R"({"slow_ms": 400})");
  Setup.Deadline_ = milliseconds(100);
  EXPECT_EQ(errorKindOf(Setup.put("/k", "1")), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(Setup.get("/k").error().Kind_, ErrorKind::Unavailable);
  Setup.Deadline_ = seconds(5);
  TimePoint Start = monotonicNow();
  EXPECT_EQ(Setup.get("/k")->Values_.size(), 1U);
  EXPECT_GE(monotonicNow() - Start, milliseconds(390));
}

TEST(EtcdStoreFailure, CallsToASilentStoreEndAtTheDeadline) {
  StoreSetup Setup;
  Setup.configureFaults(R"({"silent": true})");
  Setup.Deadline_ = milliseconds(100);
  EXPECT_EQ(errorKindOf(Setup.put("/k", "1")), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(Setup.get("/k").error().Kind_, ErrorKind::Unavailable);
}

TEST(EtcdStoreFailure, ACallOverTheStoresRateLimitTakesNoEffect) {
  StoreSetup Setup;
  Setup.configureFaults(
      R"({"writes_per_second": 1, "reads_per_second": 1000})");
  int Refused = 0;
  int Done = 0;
  for (int I = 0; I < 4; ++I) {
    auto Response = Setup.put("/k" + std::to_string(I), "1");
    Done += Response.has_value();
    Refused += errorKindOf(Response) == ErrorKind::Unavailable;
  }
  EXPECT_EQ(Refused + Done, 4);
  EXPECT_GE(Refused, 2);
  RangeRequest All{"/k", prefixEnd("/k"), 0, false, false};
  EXPECT_EQ(static_cast<int>(Setup.range(All)->Values_.size()), Done);
  EXPECT_EQ(Setup.Standin_->counters()["refused_by_rate"], Refused);
}

// Guards against one process that overloads the store.
TEST(EtcdStoreFailure, KeepsWithinItsCallBudget) {
  StoreSetup Setup(5);
  int Refused = 0;
  for (int I = 0; I < 20; ++I)
    Refused += !Setup.get("/k").has_value();
  EXPECT_GE(Refused, 14);
  auto &Counted = Setup.Config_.Counters_->Calls_["range"];
  EXPECT_EQ(Counted["over-budget"], static_cast<std::uint64_t>(Refused));
  EXPECT_EQ(Setup.Standin_->counters()["all"]["total"], 20 - Refused);
  EXPECT_TRUE(Setup.Loop_.runUntil([&] {
    Setup.Loop_.runFor(milliseconds(50));
    return Setup.get("/k").has_value();
  }));
}

// Guards against an outage of one endpoint that makes every call fail, and
// against a write that is sent twice.
TEST(EtcdStoreFailure, RetriesAtTheNextEndpointOnlyIfSafe) {
  StoreSetup Setup;
  int Writes = 0;
  RawServer ClosingServer(Setup.Loop_.base(), [&](RawServer::Peer &Item) {
    Writes += Item.Input_.find("/v3/kv/txn") != std::string::npos;
    shutdown(bufferevent_getfd(Item.Stream_), SHUT_RDWR);
  });
  std::string RefusingAddress;
  {
    RawServer StoppedServer(Setup.Loop_.base(), [](RawServer::Peer &) {});
    RefusingAddress = StoppedServer.Address_;
  }
  Setup.Config_.Endpoints_ = {RefusingAddress, Setup.Standin_->address()};
  Setup.Store_ = makeEtcdStore(Setup.Loop_.base(), Setup.Config_);
  EXPECT_TRUE(Setup.put("/k", "1").has_value());
  Setup.Config_.Endpoints_ = {ClosingServer.Address_,
                              Setup.Standin_->address()};
  Setup.Store_ = makeEtcdStore(Setup.Loop_.base(), Setup.Config_);
  EXPECT_EQ(errorKindOf(Setup.put("/k", "2")), ErrorKind::OutcomeUnknown);
  EXPECT_EQ(Writes, 1);
  auto Read = Setup.get("/k");
  ASSERT_TRUE(Read.has_value()) << describe(Read.error());
  EXPECT_EQ(Read->Values_[0].Value_, "1");
}

TEST(EtcdStoreFailure, AWriteWithAMalformedResponseIsUnknown) {
  StoreSetup Setup;
  RawServer MalformedServer(Setup.Loop_.base(), [](RawServer::Peer &Item) {
    Item.write("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n{\"a\":");
  });
  Setup.Config_.Endpoints_ = {MalformedServer.Address_};
  Setup.Store_ = makeEtcdStore(Setup.Loop_.base(), Setup.Config_);
  EXPECT_EQ(errorKindOf(Setup.put("/k", "1")), ErrorKind::OutcomeUnknown);
}

namespace {

struct WatchProbe {
  explicit WatchProbe(StoreSetup &Setup)
      : Handle_(Setup.Store_->watch(
            "/k", 0, [this](const KeyValue &) { ++Seen_; },
            [this](const Error &Why) {
              ++Failures_;
              Kind_ = Why.Kind_;
            })) {}

  int Seen_ = 0;
  int Failures_ = 0;
  ErrorKind Kind_ = ErrorKind::Internal;
  std::unique_ptr<WatchHandle> Handle_;
};

} // namespace

// Guards against a broken watch that never reports its failure.
TEST(EtcdStoreFailure, AWatchReportsItsFailure) {
  StoreSetup Setup;
  WatchProbe Probe(Setup);
  ASSERT_TRUE(Setup.Loop_.runUntil(
      [&] { return Setup.Standin_->counters()["watches_open"] == 1; }));
  Setup.configureFaults(R"({"down": true})");
  EXPECT_TRUE(Setup.Loop_.runUntil([&] { return Probe.Failures_ == 1; }));
  EXPECT_EQ(Probe.Kind_, ErrorKind::Unavailable);
  Probe.Handle_.reset();
  WatchProbe Refused(Setup);
  EXPECT_TRUE(Setup.Loop_.runUntil([&] { return Refused.Failures_ == 1; }));
}

// Guards against a connection that stays open but delivers no more data: the
// watch would miss all later changes. Progress notifications keep a working
// watch from timing out.
TEST(EtcdStoreFailure, AWatchFailsAtItsIdleTimeout) {
  StoreSetup Setup(10000, milliseconds(400));
  WatchProbe Probe(Setup);
  Setup.Loop_.runFor(milliseconds(1000));
  EXPECT_EQ(Probe.Failures_, 0);
  Setup.configureFaults(R"({"silent": true})");
  EXPECT_TRUE(Setup.Loop_.runUntil([&] { return Probe.Failures_ == 1; }));
  Setup.Loop_.runFor(milliseconds(500));
  EXPECT_EQ(Probe.Failures_, 1);
}

TEST(EtcdStoreFailure, AWatchOverTheBudgetFails) {
  StoreSetup Setup(1);
  Setup.get("/k");
  WatchProbe Probe(Setup);
  EXPECT_EQ(Probe.Failures_, 0);
  EXPECT_TRUE(Setup.Loop_.runUntil([&] { return Probe.Failures_ == 1; }));
}

TEST(EtcdStoreFailure, AWatchMayOutliveItsStore) {
  StoreSetup Setup;
  WatchProbe Probe(Setup);
  Setup.Loop_.runFor(milliseconds(20));
  Setup.Store_.reset();
  Setup.Loop_.runFor(milliseconds(20));
  Probe.Handle_.reset();
}

TEST(EtcdStoreFailure, FailsEveryCallWithTheErrorOfItsSettings) {
  StoreSetup Setup;
  Setup.Config_.Tls_.Ca_ = "/nonexistent/ca.pem";
  Setup.Store_ = makeEtcdStore(Setup.Loop_.base(), Setup.Config_);
  EXPECT_EQ(errorKindOf(Setup.put("/k", "1")), ErrorKind::InvalidSettings);
}
