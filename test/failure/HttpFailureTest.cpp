// Guards against wrong outcomes when the other side refuses or closes a
// connection, truncates a message or violates HTTP.
#include "RawSocket.h"

#include <fcntl.h>
#include <gtest/gtest.h>

using namespace sycamore;

namespace {

constexpr std::string_view OkEmpty =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

bool hasCompleteHeader(const RawServer::Peer &Remote) {
  return Remote.Input_.find("\r\n\r\n") != std::string::npos;
}

} // namespace

// Guards against an unknown outcome where the request provably did not run.
TEST(HttpFailure, ReportsARefusedConnectionAsNotSent) {
  HttpPair Pair;
  std::string ClosedAddress = *Pair.Server_->listen("127.0.0.1:0");
  Pair.Server_->stopAccepting();
  HttpResponse Response = Pair.call({}, ClosedAddress);
  EXPECT_EQ(Response.Outcome_, HttpOutcome::NotSent);
  EXPECT_FALSE(Response.Sent_);
  EXPECT_NE(Response.Reason_, "");
}

// Guards against a crash or a hang when connect() fails immediately.
TEST(HttpFailure, ReportsAnUnreachableAddressAsNotSent) {
  HttpPair Pair;
  for (int I = 0; I < 2; ++I) {
    HttpResponse Response = Pair.call({}, "255.255.255.255:9");
    EXPECT_EQ(Response.Outcome_, HttpOutcome::NotSent);
    EXPECT_EQ(Pair.Client_->connections("255.255.255.255:9"), 0U);
  }
}

// Guards against a truncated response that is reported as complete.
TEST(HttpFailure, ReportsATruncatedResponseAsBroken) {
  const std::string TruncatedResponses[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nno length",
      "HTTP/1.0 200 OK\r\n\r\nno length",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "nonsense\r\n\r\n",
      "HTTP/1.1 -204 OK\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 20400 OK\r\nContent-Length: 0\r\n\r\n",
      ""};
  HttpPair Pair;
  for (const std::string &Truncated : TruncatedResponses) {
    RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
      Remote.write(Truncated);
      Remote.closeAfterWrite();
      if (Truncated.empty())
        shutdown(bufferevent_getfd(Remote.Stream_), SHUT_RDWR);
    });
    HttpResponse Response = Pair.call({}, Server.Address_);
    EXPECT_EQ(Response.Outcome_, HttpOutcome::Broken) << Truncated;
    EXPECT_TRUE(Response.Sent_) << Truncated;
    EXPECT_EQ(Response.Body_, "") << Truncated;
  }
}

// Guards against a response cut in its header that is taken for one without a
// length, whose body ends with the connection.
TEST(HttpFailure, ReportsAResponseCutInItsHeaderAsBroken) {
  const std::string Header = "HTTP/1.1 200 OK\r\nx-id: 1\r\nx-seal: sealed\r\n"
                             "Content-Length: 4\r\n\r\n";
  for (bool WithReset : {false, true})
    for (std::size_t Length = 0; Length < Header.size(); ++Length) {
      HttpPair Pair;
      RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
        evutil_socket_t Socket = bufferevent_getfd(Remote.Stream_);
        ASSERT_EQ(::write(Socket, Header.data(), Length),
                  static_cast<ssize_t>(Length));
        if (WithReset) {
          // The stream still owns the descriptor, so only the socket behind it
          // is closed.
          linger Abort{1, 0};
          setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Abort, sizeof(Abort));
          int Null = open("/dev/null", O_RDONLY);
          dup2(Null, Socket);
          close(Null);
        } else {
          shutdown(Socket, SHUT_RDWR);
        }
      });
      HttpClientRequest Request;
      Request.AcceptWithoutLength_ = true;
      HttpResponse Response = Pair.call(Request, Server.Address_);
      EXPECT_EQ(Response.Outcome_, HttpOutcome::Broken)
          << Header.substr(0, Length);
      EXPECT_EQ(Response.Status_, 0) << Header.substr(0, Length);
    }
}

// Guards against unknown outcomes caused by a pooled connection that the server
// closed while it was idle.
TEST(HttpFailure, DoesNotReuseAClosedConnection) {
  HttpPair Pair;
  RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
    if (hasCompleteHeader(Remote))
      Remote.write(OkEmpty);
  });
  HttpClientRequest Request;
  EXPECT_EQ(Pair.call(Request, Server.Address_).Status_, 200);
  // The loop does not run between the closure and the next request.
  shutdown(bufferevent_getfd(Server.Peers_.front().Stream_), SHUT_RDWR);
  HttpResponse Response = Pair.call(Request, Server.Address_);
  EXPECT_EQ(Response.Outcome_, HttpOutcome::Answered) << Response.Reason_;
  EXPECT_EQ(Server.Peers_.size(), 2U);
}

// Guards against taking a leftover response to an earlier request as the
// response to the next one.
TEST(HttpFailure, DoesNotReuseAConnectionWithUnexpectedInput) {
  HttpPair Pair;
  RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
    if (hasCompleteHeader(Remote))
      Remote.write(std::string(OkEmpty) +
                   (Remote.Number_ == 0 ? "HTTP/1.1 500 Late\r\n\r\n" : ""));
  });
  EXPECT_EQ(Pair.call({}, Server.Address_).Status_, 200);
  EXPECT_EQ(Pair.call({}, Server.Address_).Status_, 200);
}

// Guards against targets that keep working for a caller that has disconnected.
TEST(HttpFailure, DetectsADisconnectedCaller) {
  HttpPair Pair;
  HttpExchangePointer Pending;
  int Disconnected = 0;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Pending = Exchange;
    Exchange->onClosed([&] { ++Disconnected; });
  });
  bool Answered = false;
  auto Call = Pair.Client_->send(Pair.Address_, {},
                                 [&](HttpResponse) { Answered = true; });
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending != nullptr; }));
  Call->cancel();
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Disconnected == 1; }));
  EXPECT_FALSE(Pending->isOpen());
  Pending->reply(200, {}, "too late");
  Pending->abort();
  Call->cancel();
  EXPECT_EQ(Pair.Server_->openExchanges(), 0U);
  EXPECT_EQ(Pair.Client_->connections(Pair.Address_), 0U);
  EXPECT_FALSE(Answered);
}

// Guards against termination of the process: evhttp aborts it when input
// arrives while a request is being handled.
TEST(HttpFailure, SurvivesPipelinedRequests) {
  HttpPair Pair;
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler(
      [&](HttpExchangePointer Exchange) { Pending.push_back(Exchange); });
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  Caller.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 1; }));
  Caller.write("GET /2 HTTP/1.1\r\nHost: a\r\n\r\nGET /3 HTTP/1.1\r\n");
  Pair.Loop_.runFor(milliseconds(30));
  EXPECT_EQ(Pending.size(), 1U);
  Pair.Server_->closeIdle();
  for (std::size_t I = 0; I < 3; ++I) {
    ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == I + 1; }));
    Pending[I]->reply(200, {}, Pending[I]->request().Path_);
    Caller.write(I == 0 ? "Host: a\r\n\r\n" : "");
  }
  EXPECT_TRUE(Pair.Loop_.runUntil(
      [&] { return Caller.Input_.find("/3") != std::string::npos; }));
  EXPECT_LT(Caller.Input_.find("/1"), Caller.Input_.find("/2"));
}

// Guards against a pipelined upload that stalls once it exceeds the amount that
// the server reads ahead.
TEST(HttpFailure, ReadsALargePipelinedUploadAfterTheResponse) {
  HttpPair Pair;
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler(
      [&](HttpExchangePointer Exchange) { Pending.push_back(Exchange); });
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  std::string Body = randomBody(3000000);
  Caller.write("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
               "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(Body.size()) + "\r\n\r\n" + Body);
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 1; }));
  Pair.Loop_.runFor(milliseconds(50));
  Pending[0]->reply(200, {}, "");
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 2; }));
  EXPECT_TRUE(Pending[1]->request().Body_ == Body);
}

// Guards against an idle timeout that ends a long request or a stream without
// traffic, and against idle connections that are never closed.
TEST(HttpFailure, AppliesTheTimeoutToIdleConnectionsOnly) {
  HttpServerConfig Config;
  Config.IdleTimeout_ = seconds(1);
  HttpPair Pair(Config);
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    if (Exchange->request().Path_ == "/stream")
      Exchange->startReply(200, {});
    Pending.push_back(Exchange);
  });
  std::vector<HttpResponse> Answers;
  HttpClientRequest Request;
  for (const char *Path : {"/long", "/stream"}) {
    Request.Path_ = Path;
    Pair.Client_->send(Pair.Address_, Request,
                       [&](HttpResponse Value) { Answers.push_back(Value); });
  }
  RawClient Silent(Pair.Loop_.base(), Pair.Address_);
  Silent.write("GET / HT");
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Silent.Closed_; }));
  Pair.Loop_.runFor(milliseconds(1000));
  ASSERT_EQ(Pending.size(), 2U);
  for (const HttpExchangePointer &Exchange : Pending) {
    EXPECT_TRUE(Exchange->isOpen());
    Exchange->reply(200, {}, "");
    Exchange->endReply();
  }
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Answers.size() == 2; }));
  EXPECT_EQ(Answers[0].Status_ + Answers[1].Status_, 400);
  EXPECT_EQ(Pair.Client_->connections(Pair.Address_), 2U);
  EXPECT_TRUE(Pair.Loop_.runUntil(
      [&] { return Pair.Client_->connections(Pair.Address_) == 0; }));
}

// Guards against a line that passes for a header whose name is not configured,
// and against one that another server reads differently.
TEST(HttpFailure, RejectsHeadersWithoutAValidName) {
  for (const char *Line : {": 0", ":", "x y: 0", "x : 0", "\x01: 0"}) {
    HttpPair Pair;
    int Handled = 0;
    Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
      ++Handled;
      Exchange->reply(200, {}, "");
    });
    RawClient Caller(Pair.Loop_.base(), Pair.Address_);
    Caller.write("GET / HTTP/1.1\r\nHost: a\r\n" + std::string(Line) +
                 "\r\n\r\n");
    EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Caller.Closed_; })) << Line;
    EXPECT_EQ(Caller.Input_.rfind("HTTP/1.1 400", 0), 0U) << Line;
    EXPECT_EQ(Handled, 0) << Line;
  }
  EXPECT_EQ(findHeader({{"", "0"}}, ""), nullptr);
}

// Guards against a body that is parsed as the next request.
TEST(HttpFailure, RejectsABodyOnAMethodWithoutOne) {
  HttpPair Pair;
  int Handled = 0;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    ++Handled;
    Exchange->reply(200, {}, "");
  });
  std::string InnerRequest =
      "POST /issue HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  Caller.write("GET / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(InnerRequest.size()) + "\r\n\r\n" + InnerRequest);
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Caller.Closed_; }));
  EXPECT_EQ(Caller.Input_.rfind("HTTP/1.1 400", 0), 0U);
  EXPECT_EQ(Handled, 0);
}

// Guards against callers that make the server use unbounded memory.
TEST(HttpFailure, RejectsRequestsThatAreTooLarge) {
  HttpServerConfig Config;
  Config.MaxBodyBytes_ = 100000;
  Config.MaxHeaderBytes_ = 4096;
  HttpPair Pair(Config);
  int Handled = 0;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    ++Handled;
    Exchange->reply(200, {}, "");
  });
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Body_ = std::string(100000, 'x');
  EXPECT_EQ(Pair.call(Request).Status_, 200);
  Request.Body_ = std::string(3000000, 'x');
  HttpResponse Response = Pair.call(Request);
  EXPECT_EQ(Response.Status_, 413) << Response.Reason_;
  Request.Body_.clear();
  Request.Headers_ = {{"x-large", std::string(5000, 'x')}};
  EXPECT_EQ(Pair.call(Request).Status_, 400);
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  Caller.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
               "\r\n1E8480\r\n" +
               std::string(2000000, 'x'));
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Caller.Closed_; }));
  EXPECT_NE(Caller.Input_.find(" 413 "), std::string::npos);
  EXPECT_EQ(Handled, 1);
}

TEST(HttpFailure, RejectsResponsesThatAreTooLarge) {
  HttpClientConfig Config;
  Config.MaxBodyBytes_ = 1000;
  HttpPair Pair({}, Config);
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Exchange->reply(200, {}, std::string(2000, 'x'));
  });
  EXPECT_EQ(Pair.call({}).Outcome_, HttpOutcome::Broken);
}

TEST(HttpFailure, EndsAResponseWithoutEndAtTheSizeLimits) {
  const std::pair<std::string, std::string> EndlessResponses[] = {
      {"", "x"},
      {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
      {"HTTP/1.1 200 OK\r\na: ", "b"},
      {"", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", "x"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "4\r\nbody\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "\r\n"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
       "a: b\r\n"}};
  // What the sockets of both sides may hold besides.
  constexpr std::size_t SocketBytes = 16U << 20U;
  HttpClientConfig Config;
  Config.MaxBodyBytes_ = 1U << 20U;
  for (const auto &[Start, Repeated] : EndlessResponses) {
    HttpPair Pair({}, Config);
    EndlessWriter Writer{Start, Repeated};
    RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
      if (hasCompleteHeader(Remote))
        Writer.start(Remote.Stream_);
    });
    HttpClientRequest Request;
    Request.Deadline_ = seconds(20);
    HttpResponse Response = Pair.call(Request, Server.Address_);
    EXPECT_EQ(Response.Outcome_, HttpOutcome::Broken)
        << Start << Repeated << ": " << Response.Reason_;
    EXPECT_TRUE(Response.Sent_) << Start << Repeated;
    EXPECT_LE(Writer.WrittenBytes_,
              Config.MaxHeaderBytes_ + Config.MaxBodyBytes_ + SocketBytes)
        << Start << Repeated;
    EXPECT_EQ(Pair.Client_->connections(Server.Address_), 0U);
  }
}

// Guards against an event loop that is held up by a size line of megabytes,
// because evhttp searches all of it for its end with each read.
TEST(HttpFailure, EndsASizeLineAtTheHeaderLimit) {
  HttpClientConfig Config;
  Config.MaxHeaderBytes_ = 4096;
  HttpPair Pair({}, Config);
  for (const char *Start : {"", "4\r\nbody\r\n"}) {
    RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
      if (hasCompleteHeader(Remote))
        Remote.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     (Start + std::string(8192, '0')));
    });
    HttpClientRequest Request;
    Request.Deadline_ = seconds(2);
    HttpResponse Response = Pair.call(Request, Server.Address_);
    EXPECT_EQ(Response.Outcome_, HttpOutcome::Broken) << Response.Reason_;
    EXPECT_TRUE(Response.ServerRuns_) << Start;
  }
}

TEST(HttpFailure, AcceptsAChunkWithoutLineEnds) {
  HttpClientConfig Config;
  Config.MaxHeaderBytes_ = 4096;
  HttpPair Pair({}, Config);
  const std::string Chunk(100000, '0');
  RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
    if (hasCompleteHeader(Remote))
      Remote.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "186A0\r\n" +
                   Chunk + "\r\n186a0\r\n" + Chunk + "\r\n0\r\n\r\n");
  });
  HttpResponse Response = Pair.call({}, Server.Address_);
  EXPECT_EQ(Response.Status_, 200) << Response.Reason_;
  EXPECT_TRUE(Response.Body_ == Chunk + Chunk);
}

// Guards against a request that runs although its connection is closed.
TEST(HttpFailure, DoesNotRunARequestWhoseLastBytesExceedTheLimit) {
  constexpr std::size_t MaxHeldBytes = 100000;
  int Dropped = 0;
  HttpServerConfig Config;
  Config.MaxHeldBytes_ = MaxHeldBytes;
  Config.OnDropped_ = [&](const DroppedRequest &) { ++Dropped; };
  HttpPair Pair(Config);
  int Handled = 0;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    ++Handled;
    Exchange->reply(200, {}, "");
  });
  for (std::size_t Excess = 0; Excess < 2000; Excess += 100) {
    std::size_t Length = MaxHeldBytes + Excess;
    RawClient Caller(Pair.Loop_.base(), Pair.Address_);
    Caller.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(Length) + "\r\n\r\n" +
                 std::string(Length, 'x'));
    EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Caller.Closed_; })) << Excess;
  }
  EXPECT_EQ(Dropped, 20);
  EXPECT_EQ(Handled, 0);
}

// Guards against small responses that fail because a large one fills the
// memory for unfinished responses.
TEST(HttpFailure, EndsTheLargestUnfinishedResponse) {
  constexpr std::size_t SmallBytes = 30000;
  constexpr std::size_t LargeBytes = 90000;
  HttpClientConfig Config;
  Config.MaxUnfinishedBytes_ = 3 * SmallBytes + LargeBytes - 1000;
  HttpPair Pair({}, Config);
  RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
    if (!hasCompleteHeader(Remote))
      return;
    bool Large = Remote.Input_.find("/large") != std::string::npos;
    Remote.write("HTTP/1.1 200 OK\r\nContent-Length: " +
                 std::to_string(Large ? LargeBytes * 2 : SmallBytes + 1) +
                 "\r\n\r\n" +
                 std::string(Large ? LargeBytes : SmallBytes, 'x'));
  });
  std::map<std::string, HttpResponse> Answers;
  for (const char *Path : {"/1", "/large", "/2", "/3"}) {
    HttpClientRequest Request;
    Request.Path_ = Path;
    Pair.Client_->send(
        Server.Address_, Request,
        [&Answers, Path](HttpResponse Value) { Answers[Path] = Value; });
  }
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Answers.contains("/large"); }));
  EXPECT_EQ(Answers["/large"].Outcome_, HttpOutcome::Broken);
  EXPECT_TRUE(Answers["/large"].ServerRuns_);
  for (RawServer::Peer &Remote : Server.Peers_)
    if (Remote.Input_.find("/large") == std::string::npos)
      Remote.write("x");
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Answers.size() == 4; }));
  for (const char *Path : {"/1", "/2", "/3"})
    EXPECT_EQ(Answers[Path].Body_.size(), SmallBytes + 1) << Path;
}

// Guards against callers with small requests, or with requests under way, that
// lose their connection because of a large unfinished request.
TEST(HttpFailure, DropsTheLargestUnfinishedRequest) {
  constexpr std::size_t LargeBytes = 300000;
  std::vector<DroppedRequest> Dropped;
  HttpServerConfig Config;
  Config.MaxHeldBytes_ = 2 * LargeBytes - 50000;
  Config.OnDropped_ = [&](const DroppedRequest &Each) {
    Dropped.push_back(Each);
  };
  HttpPair Pair(Config);
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler(
      [&](HttpExchangePointer Exchange) { Pending.push_back(Exchange); });
  auto Post = [](std::size_t Length) {
    return "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " +
           std::to_string(Length) + "\r\n\r\n";
  };
  RawClient UnderWay(Pair.Loop_.base(), Pair.Address_);
  UnderWay.write(Post(LargeBytes) + std::string(LargeBytes, 'x'));
  RawClient Small(Pair.Loop_.base(), Pair.Address_);
  Small.write(Post(2) + "x");
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 1; }));
  RawClient Unfinished(Pair.Loop_.base(), Pair.Address_);
  Unfinished.write(Post(2 * LargeBytes) + std::string(LargeBytes, 'x'));
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Unfinished.Closed_; }));
  ASSERT_EQ(Dropped.size(), 1U);
  EXPECT_EQ(Dropped[0].PeerAddress_, "127.0.0.1");
  Small.write("x");
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 2; }));
  for (const HttpExchangePointer &Exchange : Pending)
    Exchange->reply(200, {}, "");
  ASSERT_TRUE(Pair.Loop_.runUntil(
      [&] { return !Small.Input_.empty() && !UnderWay.Input_.empty(); }));
  // An answered request takes no memory any more.
  RawClient Next(Pair.Loop_.base(), Pair.Address_);
  Next.write(Post(LargeBytes) + std::string(LargeBytes, 'x'));
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 3; }));
  EXPECT_EQ(Dropped.size(), 1U);
}

// Guards against a hang, and against the outcome NotSent, when the server
// responds and closes while the request is still being written.
TEST(HttpFailure, EndsARequestWithAnEarlyResponse) {
  HttpPair Pair;
  RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
    if (!hasCompleteHeader(Remote))
      return;
    bufferevent_disable(Remote.Stream_, EV_READ);
    Remote.write("HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n"
                 "Connection: close\r\n\r\nno");
    Remote.closeAfterWrite();
  });
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Body_ = std::string(7000000, 'x');
  HttpResponse Response = Pair.call(Request, Server.Address_);
  EXPECT_EQ(Response.Outcome_, HttpOutcome::Broken) << Response.Reason_;
  EXPECT_TRUE(Response.Sent_);
}

// Guards against calls that never end because the server accepts the connection
// but sends nothing.
TEST(HttpFailure, TimesOutOnASilentPeer) {
  HttpClientConfig Config;
  Config.ConnectionsPerAddress_ = 1;
  HttpPair Pair({}, Config);
  RawServer Server(Pair.Loop_.base(), [](RawServer::Peer &) {});
  HttpClientRequest Request;
  Request.Deadline_ = milliseconds(200);
  std::vector<HttpResponse> Answers;
  for (int I = 0; I < 2; ++I) {
    Pair.Client_->send(Server.Address_, Request,
                       [&](HttpResponse Value) { Answers.push_back(Value); });
    // The second request still waits for the connection when its deadline
    // passes.
    Request.Deadline_ = milliseconds(100);
  }
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Answers.size() == 2; }));
  EXPECT_EQ(Answers[0].Outcome_, HttpOutcome::TimedOut);
  EXPECT_FALSE(Answers[0].Sent_);
  EXPECT_EQ(Answers[1].Outcome_, HttpOutcome::TimedOut);
  EXPECT_TRUE(Answers[1].Sent_);
  EXPECT_EQ(Pair.Client_->connections(Server.Address_), 0U);
}

// Guards against unbounded queues of requests to a stalled server.
TEST(HttpFailure, RejectsRequestsBeyondTheQueueLimit) {
  HttpClientConfig Config;
  Config.ConnectionsPerAddress_ = 1;
  Config.MaxQueuedPerAddress_ = 2;
  HttpPair Pair({}, Config);
  RawServer Server(Pair.Loop_.base(), [](RawServer::Peer &) {});
  int Refused = 0;
  for (int I = 0; I < 5; ++I)
    Pair.Client_->send(Server.Address_, {}, [&](HttpResponse Value) {
      Refused += Value.Outcome_ == HttpOutcome::NotSent;
    });
  EXPECT_EQ(Refused, 0) << "callbacks must not run inside send()";
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Refused == 2; }));
}

TEST(HttpFailure, RejectsInvalidRequestLines) {
  HttpPair Pair;
  Pair.Server_->setHandler(
      [](HttpExchangePointer Exchange) { Exchange->reply(200, {}, ""); });
  HttpClientRequest Request;
  Request.Path_ = "/a HTTP/1.1\r\nX: y\r\n\r\nGET /b";
  EXPECT_EQ(Pair.call(Request).Outcome_, HttpOutcome::NotSent);
  Request.Path_ = "/a";
  Request.Method_ = "BREW";
  EXPECT_EQ(Pair.call(Request).Outcome_, HttpOutcome::NotSent);
  Request.Method_ = "GET";
  EXPECT_EQ(Pair.call(Request).Status_, 200);
}

// Guards against use of freed memory when a callback destroys the client, and
// when an exchange outlives its server.
TEST(HttpFailure, AllowsDestructionDuringCallsAndCallbacks) {
  HttpPair Pair;
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    Pending.push_back(Exchange);
    if (Exchange->request().Path_ == "/now")
      Exchange->reply(200, {}, "x");
  });
  HttpClientRequest Request;
  Pair.Client_->send(Pair.Address_, Request, [](HttpResponse) { FAIL(); });
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 1; }));
  Request.Path_ = "/now";
  bool Answered = false;
  Pair.Client_->send(Pair.Address_, Request, [&](HttpResponse) {
    Answered = true;
    Pair.Client_.reset();
  });
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Answered; }));
  bool Disconnected = false;
  Pending[0]->onClosed([&] { Disconnected = true; });
  Pair.Server_.reset();
  EXPECT_TRUE(Disconnected);
  Pending[0]->reply(200, {}, "");
  Pending.clear();
}

// Guards against callers that wait for ever when a handler drops the exchange
// without a response.
TEST(HttpFailure, RespondsWhenAHandlerDropsTheExchange) {
  HttpPair Pair;
  Pair.Server_->setHandler([](HttpExchangePointer) {});
  EXPECT_EQ(Pair.call({}).Status_, 500);
  Pair.Server_->setHandler([](HttpExchangePointer Exchange) {
    Exchange->startReply(200, {});
    Exchange->sendPart("half");
  });
  EXPECT_EQ(Pair.call({}).Outcome_, HttpOutcome::Broken);
}
