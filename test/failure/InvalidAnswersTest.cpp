// Guards against answers of servers that violate HTTP, or that are preceded by
// interim ones, and that reach the caller as if they were the final answer.
#include "Cluster.h"
#include "RawSocket.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

constexpr std::string_view FinalAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfinal";

bool hasCompleteHeader(const RawServer::Peer &Remote) {
  return Remote.Input_.ends_with("\r\n\r\n");
}

/// A server that gives the first request on its first connection this answer
/// and each later one the final answer.
struct AnswerOnce {
  AnswerOnce(event_base *Base, std::string Answer)
      : Answer_(std::move(Answer)), Raw_(Base, [this](RawServer::Peer &Remote) {
          if (hasCompleteHeader(Remote))
            Remote.write(Requests_++ == 0 ? Answer_ : std::string(FinalAnswer));
        }) {}

  std::string Answer_;
  int Requests_ = 0;
  RawServer Raw_;
};

} // namespace

// Guards against a status that no client understands, which evhttp takes for a
// final one, and against bytes of it that a watch receives as its body.
TEST(InvalidAnswers, WithAStatusOutOfRangeAreBroken) {
  for (const char *Status : {"000", "099", "600", "999", "101", "1000", "20x",
                             "-200", "", "2147483848", "4294967496"})
    for (bool InParts : {false, true}) {
      HttpPair Pair;
      AnswerOnce Server(Pair.Loop_.base(),
                        "HTTP/1.1 " + std::string(Status) +
                            " Odd\r\nContent-Length: 4\r\n\r\nnope");
      std::string Parts;
      HttpClientRequest Request;
      if (InParts)
        Request.OnBodyPart_ = [&](std::string_view Part) { Parts += Part; };
      HttpResponse Response = Pair.call(Request, Server.Raw_.Address_);
      EXPECT_EQ(Response.Outcome_, HttpOutcome::Broken) << Status;
      EXPECT_TRUE(Response.Sent_) << Status;
      EXPECT_EQ(Response.Status_, 0) << Status;
      EXPECT_EQ(Response.Body_ + Parts, "") << Status;
      EXPECT_EQ(Pair.call({}, Server.Raw_.Address_).Body_, "final") << Status;
      EXPECT_EQ(Server.Raw_.Peers_.size(), 2U) << Status;
    }
}

// Guards against an interim answer that is taken for the final one, whose
// header fields are, or that leaves the final one for the next request.
TEST(InvalidAnswers, TheFinalAnswerFollowsInterimOnes) {
  const std::string Interim[] = {
      "HTTP/1.1 100 Continue\r\n\r\n",
      "HTTP/1.1 100 Continue\r\nContent-Length: 3\r\nx-interim: 1\r\n\r\n",
      "HTTP/1.1 102 Processing\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nx-interim: 1\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n",
      "HTTP/1.1 199 Odd\r\n\r\n",
      "HTTP/1.1 103 A\r\n\r\nHTTP/1.1 100 B\r\n\r\nHTTP/1.1 103 C\r\n\r\n"};
  for (const std::string &First : Interim)
    for (const char *Method : {"GET", "POST"}) {
      HttpPair Pair;
      AnswerOnce Server(Pair.Loop_.base(), First + std::string(FinalAnswer));
      HttpClientRequest Request;
      Request.Method_ = Method;
      HttpResponse Response = Pair.call(Request, Server.Raw_.Address_);
      EXPECT_EQ(Response.Outcome_, HttpOutcome::Answered)
          << First << Response.Reason_;
      EXPECT_EQ(Response.Status_, 200) << First;
      EXPECT_EQ(Response.Body_, "final") << First;
      EXPECT_FALSE(findHeader(Response.Headers_, "x-interim")) << First;
      EXPECT_FALSE(findHeader(Response.Headers_, "link")) << First;
      EXPECT_EQ(Pair.call({}, Server.Raw_.Address_).Body_, "final") << First;
      EXPECT_EQ(Server.Raw_.Peers_.size(), 1U) << First;
    }
}

// Guards against a final answer that is lost when it arrives later than the
// interim one.
TEST(InvalidAnswers, TheFinalAnswerMayArriveLater) {
  HttpPair Pair;
  RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
    if (hasCompleteHeader(Remote))
      Remote.write("HTTP/1.1 103 Early Hints\r\n\r\n");
  });
  std::optional<HttpResponse> Response;
  Pair.Client_->send(Server.Address_, {},
                     [&](HttpResponse Value) { Response = Value; });
  Pair.Loop_.runFor(milliseconds(50));
  EXPECT_FALSE(Response);
  ASSERT_EQ(Server.Peers_.size(), 1U);
  for (char Byte : FinalAnswer) {
    Server.Peers_.front().write(std::string_view(&Byte, 1));
    Pair.Loop_.runFor(milliseconds(1));
  }
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Response.has_value(); }));
  EXPECT_EQ(Response->Status_, 200);
  EXPECT_EQ(Response->Body_, "final");
}

// Guards against an interim answer without a final one that counts as an
// answer.
TEST(InvalidAnswers, AnInterimAnswerAloneIsBroken) {
  HttpPair Pair;
  RawServer Server(Pair.Loop_.base(), [](RawServer::Peer &Remote) {
    Remote.write("HTTP/1.1 103 Early Hints\r\n\r\n");
    Remote.closeAfterWrite();
  });
  EXPECT_EQ(Pair.call({}, Server.Address_).Outcome_, HttpOutcome::Broken);
}

// Guards against the second of two answers that the next request receives.
TEST(InvalidAnswers, TheFirstOfTwoAnswersCounts) {
  HttpPair Pair;
  AnswerOnce Server(Pair.Loop_.base(),
                    std::string(FinalAnswer) +
                        "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n");
  HttpResponse Response = Pair.call({}, Server.Raw_.Address_);
  EXPECT_EQ(Response.Body_, "final") << Response.Reason_;
  EXPECT_EQ(Pair.call({}, Server.Raw_.Address_).Body_, "final");
  EXPECT_EQ(Server.Raw_.Peers_.size(), 2U);
}

// Guards against a body whose end is a guess.
TEST(InvalidAnswers, WithABadLengthOrChunkAreBroken) {
  for (const char *Rest :
       {"Content-Length: x\r\n\r\nnope", "Content-Length: -4\r\n\r\nnope",
        "Content-Length: 4x\r\n\r\nnope", "Content-Length: \r\n\r\nnope",
        "Content-Length: +4\r\n\r\nnope", "Content-Length: 0x4\r\n\r\nnope",
        "Content-Length: 4, 4\r\n\r\nnope",
        "Content-Length: 99999999999999999999\r\n\r\nnope",
        ": 4\r\nContent-Length: 4\r\n\r\nnope",
        "Content-Length: 4\r\nContent-Length: 2\r\n\r\nnope",
        "Content-Length: 2\r\nContent-Length: 4\r\n\r\nnope",
        "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n\r\nnope",
        "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nnope\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nzz\r\nnope\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n-4\r\nnope\r\n0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nnope\r\n"}) {
    HttpPair Pair;
    AnswerOnce Server(Pair.Loop_.base(),
                      "HTTP/1.1 200 OK\r\n" + std::string(Rest));
    HttpClientRequest Request;
    Request.Deadline_ = seconds(2);
    HttpResponse Response = Pair.call(Request, Server.Raw_.Address_);
    EXPECT_EQ(Response.Outcome_, HttpOutcome::Broken) << Rest;
    EXPECT_EQ(Response.Body_, "") << Rest;
    EXPECT_EQ(Pair.call({}, Server.Raw_.Address_).Body_, "final") << Rest;
    EXPECT_EQ(Server.Raw_.Peers_.size(), 2U) << Rest;
  }
}

// Guards against a status from another daemon that goes to the caller as it is.
TEST(InvalidAnswers, AServerSendsNoStatusOutOfRange) {
  for (int Status : {-1, 0, 100, 103, 199, 600, 1000}) {
    HttpPair Pair;
    Pair.Server_->setHandler([&](const HttpExchangePointer &Exchange) {
      Exchange->reply(Status, {}, "nope");
    });
    HttpResponse Response = Pair.call({});
    EXPECT_EQ(Response.Status_, 502) << Status;
    EXPECT_EQ(Response.Body_, "") << Status;
  }
}

// Guards the whole path: the caller gets the final answer of the target or 502.
TEST(InvalidAnswers, OfATargetDoNotReachTheCaller) {
  test::Cluster Cluster;
  Cluster.startStore();
  test::Server &Server = Cluster.addServer("view", "dalseo");
  std::string Answer;
  RawServer Target(Cluster.Loop_.base(), [&](RawServer::Peer &Remote) {
    if (Remote.Input_.find("\r\n\r\n") != std::string::npos)
      Remote.write(Answer);
    Remote.Input_.clear();
  });
  std::uint64_t Ticket = Cluster.fileAndApproveTicket(
      {{"services", {{"faulty", {{"timeout_ms", 5000}}}}},
       {"routes",
        {{"faulty", {{"path_prefix", "/faulty"}, {"service", "faulty"}}}}},
       {"targets", {{"faulty-1", {{"service", "faulty"}}}}}});
  ASSERT_NE(Ticket, 0U);
  ASSERT_TRUE(Cluster.waitForTicket(Ticket));
  Answer = FinalAnswer;
  Json Announcement = {{"name", "faulty-1"},
                       {"service", "faulty"},
                       {"address", Target.Address_},
                       {"slots", 4}};
  ASSERT_EQ(
      Cluster.call(Server.Admin_, "POST", "/announce", Announcement.dump())
          .Status_,
      200);
  ASSERT_TRUE(Cluster.waitUntil([&] {
    return Cluster.call(Server.Caller_, "GET", "/faulty").Status_ == 200;
  }));
  for (const char *Status : {"000", "600", "101"}) {
    Answer = "HTTP/1.1 " + std::string(Status) +
             " Odd\r\nContent-Length: 4\r\n\r\nnope";
    EXPECT_EQ(Cluster.call(Server.Caller_, "POST", "/faulty", "x").Status_, 502)
        << Status;
  }
  for (const char *Interim : {"100 Continue", "103 Early Hints"}) {
    Answer = "HTTP/1.1 " + std::string(Interim) + "\r\n\r\n" +
             std::string(FinalAnswer);
    test::CallResponse Response =
        Cluster.call(Server.Caller_, "POST", "/faulty", "x");
    EXPECT_EQ(Response.Status_, 200) << Interim;
    EXPECT_EQ(Response.Body_, "final") << Interim;
  }
}
