// Guards against a failure anywhere on the path from an operator's ticket to
// the response to a caller, with real processes in three data centres.
#include "Cluster.h"
#include "RawSocket.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

class WholePath : public testing::Test {
protected:
  void SetUp() override {
    Cluster_.startStore();
    Cluster_.addServer("shelfview", "dalseo");
    Cluster_.addServer("shelfview", "suseong");
    Cluster_.addServer("reservedesk", "buk");
    TicketNumber_ = Cluster_.fileAndApproveTicket();
    ASSERT_NE(TicketNumber_, 0U);
    ASSERT_TRUE(Cluster_.waitForTicket(TicketNumber_));
    ASSERT_TRUE(Cluster_.waitForTargets());
  }

  Cluster Cluster_;
  std::uint64_t TicketNumber_ = 0;
};

std::string pseudoRandomBody(std::size_t Bytes) {
  std::string Out(Bytes, '\0');
  std::uint32_t State = 12345;
  for (char &Byte : Out) {
    State = State * 1664525U + 1013904223U;
    Byte = static_cast<char>(State >> 24U);
  }
  return Out;
}

} // namespace

TEST_F(WholePath, CarriesBodiesByteForByte) {
  for (std::size_t Bytes : {std::size_t{0}, std::size_t{1}, std::size_t{65536},
                            std::size_t{3} << 20U}) {
    std::string Body = pseudoRandomBody(Bytes);
    CallResponse Response = Cluster_.call(
        Cluster_.Servers_[0]->Caller_, "POST", "/reservedesk/echo?raw=1&a=%20b",
        Body, {{"content-type", "application/octet-stream"}});
    EXPECT_EQ(Response.Status_, 200);
    EXPECT_EQ(Response.Run_, "done");
    EXPECT_TRUE(Response.Body_ == Body)
        << Bytes << " bytes sent, " << Response.Body_.size() << " back";
  }
}

// Also guards against unread bytes of the first request being parsed as part of
// the second one on a kept-alive connection.
TEST_F(WholePath, CarriesChunkedUploadsOnOneConnection) {
  RawClient Client(Cluster_.Loop_.base(), Cluster_.Servers_[0]->Caller_);
  for (std::size_t Round = 1; Round <= 2; ++Round) {
    Client.write("POST /reservedesk/echo HTTP/1.1\r\nHost: x\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n"
                 "5\r\nlens \r\n5\r\n40 mm\r\n0\r\n\r\n");
    EXPECT_TRUE(Cluster_.waitUntil([&] {
      std::size_t Count = 0;
      for (std::size_t At = Client.Input_.find("lens 40 mm");
           At != std::string::npos;
           At = Client.Input_.find("lens 40 mm", At + 1))
        ++Count;
      return Count == Round;
    })) << Client.Input_;
  }
  EXPECT_FALSE(Client.Closed_);
}

TEST_F(WholePath, RefusesWhatNoRouteMatches) {
  CallResponse Response =
      Cluster_.call(Cluster_.Servers_[1]->Caller_, "GET", "/nowhere");
  EXPECT_EQ(Response.Status_, 404);
  EXPECT_EQ(Response.Run_, "not-run");
  auto Document = parseJson(Response.Body_, "answer");
  ASSERT_TRUE(Document.has_value()) << Response.Body_;
  EXPECT_EQ((*Document)["error"]["kind"], "not-found");
  EXPECT_FALSE((*Document)["error"]["remedy"].get<std::string>().empty());
}

TEST_F(WholePath, RunsAKeyOnceThroughSeveralDaemons) {
  // A key created less than twice the clock skew after its bucket was acquired
  // is permanently refused (docs/decisions/0002), so each try uses a new key.
  std::string Key;
  ASSERT_TRUE(Cluster_.waitUntil([&] {
    Key = makeKey();
    return Cluster_
               .call(Cluster_.Servers_[0]->Caller_, "POST", "/reservedesk/echo",
                     "lens", {{"idempotency-key", Key}})
               .Status_ == 200;
  }));
  for (const auto &Entry : Cluster_.Servers_) {
    // A daemon that does not know the holder of the bucket yet answers 503.
    CallResponse RepeatedResponse;
    EXPECT_TRUE(Cluster_.waitUntil([&] {
      RepeatedResponse =
          Cluster_.call(Entry->Caller_, "POST", "/reservedesk/echo", "lens",
                        {{"idempotency-key", Key}});
      return RepeatedResponse.Status_ != 503;
    }));
    EXPECT_EQ(RepeatedResponse.Status_, 200) << RepeatedResponse.Body_;
    EXPECT_EQ(RepeatedResponse.Run_, "done");
  }
  EXPECT_EQ(Cluster_.countLedger(Key, "started"), 1U);
}

TEST_F(WholePath, ShowsTheTicketOfEveryServer) {
  std::string Output;
  ASSERT_TRUE(Cluster_.waitUntil([&] {
    Json Fleet = Cluster_.admin(*Cluster_.Servers_[0], "/fleet");
    std::size_t Current = 0;
    for (const Json &Row : Fleet.value("servers", Json::array()))
      if (Row["ticket"] == TicketNumber_ && Row["state"] == "alive")
        ++Current;
    return Current == Cluster_.Servers_.size();
  }));
  EXPECT_EQ(Cluster_.runSycamorectl({"fleet", "status"}, &Output), 0) << Output;
  EXPECT_NE(Output.find("reservedesk-3"), std::string::npos) << Output;
}

TEST_F(WholePath, RefusesABadTicketAndStaysOnTheOldOne) {
  EXPECT_EQ(Cluster_.fileAndApproveTicket(), TicketNumber_ + 1);
  ASSERT_TRUE(Cluster_.waitForTicket(TicketNumber_ + 1));
  std::string Output;
  EXPECT_EQ(Cluster_.runSycamorectl(
                {"ticket", "approve", std::to_string(TicketNumber_)}, &Output),
            3)
      << Output;
  for (const auto &Entry : Cluster_.Servers_)
    EXPECT_EQ(Cluster_.admin(*Entry, "/status")["ticket"], TicketNumber_ + 1);
}

TEST_F(WholePath, PassesOnTheTrace) {
  const std::string Trace = "0af7651916cd43dd8448eb211c80319c";
  CallResponse Response = Cluster_.call(
      Cluster_.Servers_[0]->Caller_, "GET", "/reservedesk/inspect", {},
      {{"traceparent", "00-" + Trace + "-b7ad6b7169203331-01"}});
  EXPECT_EQ(Response.Status_, 200);
  EXPECT_NE(Response.Body_.find(Trace), std::string::npos) << Response.Body_;
  std::string Spans;
  for (const auto &Entry : Cluster_.Servers_)
    Spans += Cluster_.admin(*Entry, "/traces").dump();
  EXPECT_NE(Spans.find("attempt reservedesk-3"), std::string::npos);
  EXPECT_NE(Spans.find("target reservedesk-3"), std::string::npos);
}
