// Guards against reads, transactions, leases and watches that violate the
// contract of the Store interface.
#include "StoreSetup.h"
#include "TestCertificates.h"

#include <gtest/gtest.h>

using namespace sycamore;

TEST(EtcdStore, ReadsWhatWasWritten) {
  StoreSetup Setup;
  std::string Binary = randomBody(300);
  ASSERT_TRUE(Setup.put("/sycamore/a", Binary).has_value());
  ASSERT_TRUE(Setup.put("/sycamore/b", "").has_value());
  ASSERT_TRUE(Setup.put("/sycamore/c", "3").has_value());
  ASSERT_TRUE(Setup.put("/other", "4").has_value());
  RangeRequest Request{"/sycamore/", prefixEnd("/sycamore/"), 0, false, false};
  auto All = Setup.range(Request);
  ASSERT_TRUE(All.has_value()) << describe(All.error());
  ASSERT_EQ(All->Values_.size(), 3U);
  EXPECT_EQ(All->Values_[0].Value_, Binary);
  EXPECT_EQ(All->Values_[1].Value_, "");
  EXPECT_EQ(All->Values_[2].ModRevision_, All->Revision_ - 1);
  Request.Limit_ = 1;
  Request.Descending_ = true;
  Request.KeysOnly_ = true;
  auto Last = Setup.range(Request);
  ASSERT_EQ(Last->Values_.size(), 1U);
  EXPECT_EQ(Last->Values_[0].Key_, "/sycamore/c");
  EXPECT_EQ(Last->Values_[0].Value_, "");
  EXPECT_TRUE(Setup.get("/absent")->Values_.empty());
}

// Guards against a write that is applied although its comparison fails.
TEST(EtcdStore, AppliesATransactionAtomically) {
  StoreSetup Setup;
  Txn Create{{{"/k", 0}},
             {{"/k", "1", 0}, {"/l", "1", 0}},
             {},
             {singleKeyRange("/k")}};
  auto First = Setup.txn(Create);
  ASSERT_TRUE(First.has_value());
  EXPECT_TRUE(First->Succeeded_);
  ASSERT_EQ(First->Reads_.size(), 1U);
  std::int64_t Revision = First->Reads_[0].Values_[0].ModRevision_;
  EXPECT_EQ(Revision, First->Revision_);
  auto Second = Setup.txn(Create);
  ASSERT_TRUE(Second.has_value());
  EXPECT_FALSE(Second->Succeeded_);
  EXPECT_EQ(Second->Reads_[0].Values_[0].ModRevision_, Revision);
  auto Swap = Setup.txn({{{"/k", Revision}}, {{"/k", "2", 0}}, {"/l"}, {}});
  EXPECT_TRUE(Swap->Succeeded_);
  EXPECT_EQ(Setup.get("/k")->Values_[0].Value_, "2");
  EXPECT_TRUE(Setup.get("/l")->Values_.empty());
}

TEST(EtcdStore, StoresTheLargestValue) {
  StoreSetup Setup;
  std::string Large = randomBody(MaxStoreValueBytes);
  ASSERT_TRUE(Setup.put("/k", Large).has_value());
  EXPECT_TRUE(Setup.get("/k")->Values_[0].Value_ == Large);
  auto TooLarge = Setup.put("/k", Large + "x");
  ASSERT_FALSE(TooLarge.has_value());
  EXPECT_EQ(TooLarge.error().Kind_, ErrorKind::InvalidArgument);
}

// Guards against keys that remain after their holder's lease has ended.
TEST(EtcdStore, RemovesTheKeysOfAnExpiredLease) {
  StoreSetup Setup;
  auto Short = Setup.grant(seconds(1));
  auto Long = Setup.grant(seconds(60));
  ASSERT_TRUE(Short && Long);
  EXPECT_EQ(Setup.keepAlive(Short->Id_)->Ttl_, seconds(1));
  ASSERT_TRUE(Setup.txn({{}, {{"/s", "1", Short->Id_}}, {}, {}}).has_value());
  ASSERT_TRUE(Setup.txn({{}, {{"/l", "1", Long->Id_}}, {}, {}}).has_value());
  EXPECT_EQ(Setup.get("/l")->Values_[0].Lease_, Long->Id_);
  EXPECT_TRUE(Setup.Loop_.runUntil(
      [&] { return Setup.Standin_->model().find("/s") == nullptr; }));
  EXPECT_EQ(Setup.keepAlive(Short->Id_)->Ttl_, seconds(0));
  EXPECT_NE(Setup.Standin_->model().find("/l"), nullptr);
  EXPECT_TRUE(*Setup.revoke(Long->Id_));
  EXPECT_EQ(Setup.Standin_->model().find("/l"), nullptr);
  EXPECT_FALSE(*Setup.revoke(Long->Id_));
  auto Put = Setup.txn({{}, {{"/l", "1", Long->Id_}}, {}, {}});
  ASSERT_FALSE(Put.has_value());
  EXPECT_EQ(Put.error().Kind_, ErrorKind::NotFound);
}

// Guards against a watch that misses changes, repeats them or reports those of
// another key.
TEST(EtcdStore, AWatchReportsEachNewValue) {
  StoreSetup Setup;
  ASSERT_TRUE(Setup.put("/k", "1").has_value());
  std::int64_t From = Setup.put("/k", "2")->Revision_;
  std::vector<KeyValue> Seen;
  auto Handle = Setup.Store_->watch(
      "/k", From, [&](const KeyValue &Value) { Seen.push_back(Value); },
      [](const Error &Why) { ADD_FAILURE() << describe(Why); });
  ASSERT_TRUE(Setup.Loop_.runUntil([&] { return Seen.size() == 1; }));
  std::string Large = randomBody(MaxStoreValueBytes);
  ASSERT_TRUE(Setup.put("/other", "x").has_value());
  ASSERT_TRUE(Setup.put("/k", Large).has_value());
  ASSERT_TRUE(Setup.txn({{}, {}, {"/k"}, {}}).has_value());
  ASSERT_TRUE(Setup.Loop_.runUntil([&] { return Seen.size() == 3; }));
  EXPECT_EQ(Seen[0].Value_, "2");
  EXPECT_EQ(Seen[0].ModRevision_, From);
  EXPECT_TRUE(Seen[1].Value_ == Large);
  EXPECT_EQ(Seen[2].CreateRevision_, 0);
  EXPECT_EQ(Setup.Standin_->counters()["watches_open"], 1);
  Handle.reset();
  EXPECT_TRUE(Setup.Loop_.runUntil(
      [&] { return Setup.Standin_->counters()["watches_open"] == 0; }));
  ASSERT_TRUE(Setup.put("/k", "5").has_value());
  EXPECT_EQ(Seen.size(), 3U);
}

TEST(EtcdStore, AWatchCallbackMayEndItsWatch) {
  StoreSetup Setup;
  std::unique_ptr<WatchHandle> Handle;
  int Seen = 0;
  Handle = Setup.Store_->watch(
      "/k", 1,
      [&](const KeyValue &) {
        ++Seen;
        Handle.reset();
      },
      [](const Error &) {});
  ASSERT_TRUE(Setup.put("/k", "1").has_value());
  ASSERT_TRUE(Setup.put("/k", "2").has_value());
  ASSERT_TRUE(Setup.Loop_.runUntil([&] { return Seen > 0; }));
  Setup.Loop_.runFor(milliseconds(20));
  EXPECT_EQ(Seen, 1);
}

// Guards against counters that omit calls: the planning for the store's limits
// relies on them.
TEST(EtcdStore, CountsCallsAsTheStoreDoes) {
  StoreSetup Setup;
  Setup.put("/k", "1");
  Setup.get("/k");
  Setup.get("/k");
  Setup.keepAlive(Setup.grant(seconds(5))->Id_);
  Json Counted = Setup.Standin_->counters();
  EXPECT_EQ(Counted["all"]["total"], 5);
  EXPECT_EQ(Counted["kinds"]["range"]["total"], 2);
  EXPECT_EQ(Setup.Config_.Counters_->RequestsSent_, 5U);
  EXPECT_EQ(Setup.Config_.Counters_->Calls_["range"]["done"], 2U);
  EXPECT_EQ(Setup.Config_.Counters_->Calls_["txn"]["done"], 1U);
}

// Guards against a client that uses a store without verifying its certificate,
// or that does not present its own.
TEST(EtcdStore, VerifiesTheStoreAndPresentsItsCertificate) {
  StoreSetup Setup;
  TestCertificates Certificates;
  Certificates.issue("store", "store");
  Certificates.issue("daemon", "shelfview-1");
  HttpServerConfig ServerConfig;
  ServerConfig.Tls_ = {Certificates.certificate("store"),
                       Certificates.key("store"), Certificates.ca()};
  ServerConfig.RequireClientCertificate_ = true;
  auto Server = HttpServer::create(Setup.Loop_.base(), ServerConfig).value();
  std::string ClientName;
  Server->setHandler([&](HttpExchangePointer Exchange) {
    ClientName = Exchange->request().PeerName_;
    Exchange->reply(200, {}, R"({"header":{"revision":"7"}})");
  });
  Setup.Config_.Endpoints_ = {Server->listen("127.0.0.1:0").value()};
  Setup.Config_.Tls_ = {Certificates.certificate("daemon"),
                        Certificates.key("daemon"), Certificates.ca()};
  Setup.Store_ = makeEtcdStore(Setup.Loop_.base(), Setup.Config_);
  auto Response = Setup.get("/k");
  ASSERT_TRUE(Response.has_value()) << describe(Response.error());
  EXPECT_EQ(Response->Revision_, 7);
  EXPECT_EQ(ClientName, "shelfview-1");
  Setup.Config_.Tls_.Ca_ = Certificates.certificate("daemon");
  Setup.Store_ = makeEtcdStore(Setup.Loop_.base(), Setup.Config_);
  EXPECT_EQ(Setup.get("/k").error().Kind_, ErrorKind::Unavailable);
}

// Leases and revisions of a restored store are given out again.
TEST(EtcdStore, ReportsARestorationFromACopyOnce) {
  StoreSetup Setup;
  ASSERT_TRUE(Setup.put("/k", "1").has_value());
  Setup.Standin_->model().keepCopy();
  ASSERT_TRUE(Setup.put("/k", "2").has_value());
  std::vector<StoreRestoration> Reported;
  Setup.Store_->setRestorationHandler(
      [&](const StoreRestoration &Each) { Reported.push_back(Each); });
  Setup.Standin_->restore();
  EXPECT_EQ(Setup.get("/k")->Values_[0].Value_, "1");
  EXPECT_TRUE(Setup.grant(seconds(10)).has_value());
  EXPECT_TRUE(Setup.put("/k", "3").has_value());
  ASSERT_EQ(Reported.size(), 1U);
  EXPECT_EQ(Reported.front().Identity_, "2");
}
