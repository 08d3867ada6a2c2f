// Guards against bodies that arrive modified or late, connections that are not
// reused, and concurrent requests on one connection.
#include "RawSocket.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace sycamore;

namespace {

void echo(const HttpExchangePointer &Exchange) {
  Exchange->reply(200, {{"x-method", Exchange->request().Method_}},
                  Exchange->request().Body_);
}

HttpClientRequest post(std::string Body) {
  HttpClientRequest Out;
  Out.Method_ = "POST";
  Out.Path_ = "/echo?x=1";
  Out.Body_ = std::move(Body);
  return Out;
}

} // namespace

// Guards against truncated, padded or reordered bodies of any size.
TEST(Http, TransfersBodiesUnchangedBothWays) {
  HttpPair Pair;
  Pair.Server_->setHandler(echo);
  for (std::size_t Size : {std::size_t{0}, std::size_t{1}, std::size_t{65536},
                           std::size_t{5000001}}) {
    std::string Body = randomBody(Size);
    HttpResponse Answer = Pair.call(post(Body));
    ASSERT_EQ(Answer.Outcome_, HttpOutcome::Answered) << Answer.Reason_;
    EXPECT_EQ(Answer.Status_, 200);
    EXPECT_TRUE(Answer.Body_ == Body) << Size;
  }
}

// Guards against Nagle's algorithm, with which one such body waits 44 ms or
// more for a delayed acknowledgement.
TEST(Http, A64KiBBodyDoesNotWaitForDelayedAcknowledgements) {
  HttpPair Pair;
  Pair.Server_->setHandler(echo);
  std::string Body = randomBody(65536);
  std::vector<Duration> Times;
  for (int I = 0; I < 25; ++I) {
    TimePoint Start = monotonicNow();
    ASSERT_EQ(Pair.call(post(Body)).Body_.size(), Body.size());
    Times.push_back(monotonicNow() - Start);
  }
  std::sort(Times.begin(), Times.end());
  EXPECT_LT(Times[Times.size() / 2].count(), 20000);
}

TEST(Http, TransfersMethodsPathsAndHeaders) {
  HttpPair Pair;
  HttpRequest Received;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Received = Exchange->request();
    Exchange->reply(200, {{"x-answer", "yes"}, {"Content-Length", "999"}},
                    "body");
  });
  for (std::string Method :
       {"GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"}) {
    HttpClientRequest Request;
    Request.Method_ = Method;
    Request.Path_ = "/a%20b?q=%2F&r";
    Request.Headers_ = {{"X-Test", "v"}, {"Host", "stock.example:81"}};
    HttpResponse Answer = Pair.call(Request);
    ASSERT_EQ(Answer.Outcome_, HttpOutcome::Answered)
        << Method << ": " << Answer.Reason_;
    EXPECT_EQ(Received.Method_, Method);
    EXPECT_EQ(Received.Path_, "/a%20b?q=%2F&r");
    EXPECT_EQ(Received.Host_, "stock.example");
    EXPECT_EQ(Received.PeerAddress_, "127.0.0.1");
    EXPECT_EQ(*findHeader(Received.Headers_, "x-test"), "v");
    EXPECT_EQ(*findHeader(Answer.Headers_, "X-ANSWER"), "yes");
    EXPECT_EQ(Answer.Body_, Method == "HEAD" ? "" : "body");
    // A response to HEAD keeps the length of the response to GET.
    EXPECT_EQ(*findHeader(Answer.Headers_, "content-length"),
              Method == "HEAD" ? "999" : "4");
    EXPECT_FALSE(findHeader(Answer.Headers_, "content-type"));
  }
  EXPECT_EQ(Pair.Client_->connections(Pair.Address_), 1U);
}

// Guards against a chunked upload that is handled before its last chunk.
TEST(Http, ReassemblesAChunkedUpload) {
  HttpPair Pair;
  std::string Received;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Received = Exchange->request().Body_;
    Exchange->reply(204, {}, "");
  });
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  Caller.write("POST /u HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
               "\r\n5\r\nhello\r\n");
  Pair.Loop_.runFor(milliseconds(20));
  EXPECT_EQ(Received, "");
  Caller.write("3\r\n, x\r\n0\r\n\r\n");
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return !Caller.Input_.empty(); }));
  EXPECT_EQ(Received, "hello, x");
  EXPECT_EQ(Caller.Input_.rfind("HTTP/1.1 204", 0), 0U);
}

TEST(Http, StreamsAResponseInParts) {
  HttpPair Pair;
  HttpExchangePointer Pending;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Exchange->startReply(200, {});
    Exchange->sendPart("first ");
    Pending = Exchange;
  });
  std::string Parts;
  std::optional<HttpResponse> Response;
  HttpClientRequest Request;
  Request.OnBodyPart_ = [&](std::string_view Part) { Parts += Part; };
  Pair.Client_->send(Pair.Address_, Request,
                     [&](HttpResponse Answer) { Response = Answer; });
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Parts == "first "; }));
  EXPECT_FALSE(Response.has_value());
  Pending->sendPart("second");
  Pending->endReply();
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Response.has_value(); }));
  EXPECT_EQ(Response->Outcome_, HttpOutcome::Answered);
  EXPECT_EQ(Parts, "first second");
}

// Guards against concurrent requests on one connection: a slow response would
// delay the other one.
TEST(Http, SendsOneRequestAtATimePerConnection) {
  HttpClientConfig Config;
  Config.ConnectionsPerAddress_ = 3;
  HttpPair Pair({}, Config);
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler(
      [&](HttpExchangePointer Exchange) { Pending.push_back(Exchange); });
  int Answers = 0;
  for (int I = 0; I < 5; ++I)
    Pair.Client_->send(Pair.Address_, {}, [&](HttpResponse Answer) {
      Answers += Answer.Status_ == 200;
    });
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 3; }));
  Pair.Loop_.runFor(milliseconds(30));
  EXPECT_EQ(Pending.size(), 3U);
  EXPECT_EQ(Pair.Server_->openExchanges(), 3U);
  for (std::size_t I = 0; I < 5; ++I) {
    ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() > I; }));
    Pending[I]->reply(200, {}, "");
  }
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Answers == 5; }));
  EXPECT_EQ(Pair.Client_->connections(Pair.Address_), 3U);
  ASSERT_TRUE(
      Pair.Loop_.runUntil([&] { return Pair.Server_->openExchanges() == 0; }));
}

TEST(Http, ClosesIdleConnections) {
  HttpClientConfig Config;
  Config.IdleTimeout_ = milliseconds(50);
  HttpPair Pair({}, Config);
  Pair.Server_->setHandler(echo);
  Pair.call(post("x"));
  EXPECT_EQ(Pair.Client_->connections(Pair.Address_), 1U);
  EXPECT_TRUE(Pair.Loop_.runUntil(
      [&] { return Pair.Client_->connections(Pair.Address_) == 0; }));
}

// Guards against a shutdown that truncates a response or leaves connections
// open.
TEST(Http, ShutsDownWithoutTruncatingAResponse) {
  HttpPair Pair;
  HttpExchangePointer Pending;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    if (Exchange->request().Method_ == "POST")
      Pending = Exchange;
    else
      echo(Exchange);
  });
  EXPECT_EQ(Pair.call({}).Status_, 200);
  std::optional<HttpResponse> Answer;
  Pair.Client_->send(Pair.Address_, post("slow"),
                     [&](HttpResponse Value) { Answer = Value; });
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending != nullptr; }));
  RawClient IdleCaller(Pair.Loop_.base(), Pair.Address_);
  IdleCaller.write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return !IdleCaller.Input_.empty(); }));
  Pair.Server_->stopAccepting();
  Pair.Server_->closeIdle();
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return IdleCaller.Closed_; }));
  EXPECT_EQ(Pair.Server_->openExchanges(), 1U);
  Pending->reply(200, {}, randomBody(300000));
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Answer.has_value(); }));
  EXPECT_EQ(Answer->Body_.size(), 300000U);
  EXPECT_TRUE(Pair.Loop_.runUntil([&] {
    return Pair.Server_->openExchanges() == 0 &&
           Pair.Client_->connections(Pair.Address_) == 0;
  }));
  EXPECT_EQ(Pair.call({}).Outcome_, HttpOutcome::NotSent);
}

TEST(Http, RecognisesHopByHopHeaders) {
  for (const char *Name : {"Connection", "keep-alive", "TE", "Upgrade",
                           "transfer-encoding", "Proxy-Authorization"})
    EXPECT_TRUE(isHopByHopHeader(Name)) << Name;
  for (const char *Name : {"Content-Length", "Host", "traceparent", ""})
    EXPECT_FALSE(isHopByHopHeader(Name)) << Name;
}

TEST(Http, RejectsMalformedAddresses) {
  HttpPair Pair;
  for (const char *Address : {"", "127.0.0.1", "localhost:80", "127.0.0.1:x"})
    EXPECT_FALSE(Pair.Server_->listen(Address).has_value()) << Address;
  auto V6 = Pair.Server_->listen("[::1]:0");
  if (V6) {
    EXPECT_EQ(V6->rfind("[::1]:", 0), 0U);
  }
  EXPECT_EQ(Pair.call({}, "nowhere").Outcome_, HttpOutcome::NotSent);
}
