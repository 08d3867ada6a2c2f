// Guards against faults on the request path of daemons that use the platform's
// store and servers that announce themselves: a request that reaches the wrong
// server, a response to another request, and requests that are sent to a server
// after its departure was acknowledged.
#include "PlatformFleet.h"
#include "RawSocket.h"

#include <sys/socket.h>
#include <unistd.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

/// Application server that writes an earlier refusal again when it runs the
/// next request on the same connection, or, for the path "/once/foreign", a
/// refusal that was given on another connection.
struct RepeatingServer {
  explicit RepeatingServer(event_base *Base)
      : Raw_(Base, [this](RawServer::Peer &Remote) { respond(Remote); }) {}

  void respond(RawServer::Peer &Remote) {
    bool Complete = Remote.Input_.ends_with(
        Remote.Input_.starts_with("POST") ? "body" : "\r\n\r\n");
    if (!Complete)
      return;
    std::string Request = std::exchange(Remote.Input_, "");
    std::size_t IdAt = std::min(Request.find("x-id: "), Request.size());
    std::string Id = Request.substr(IdAt, Request.find("\r\n", IdAt) - IdAt);
    if (Request.find("/once/refused") != std::string::npos)
      Refusals_[Remote.Number_] = refusal(Id + "\r\n");
    std::string Answer = "HTTP/1.1 200 OK\r\nx-seal: s\r\n" + Id +
                         "\r\nContent-Length: 0\r\n\r\n";
    if (Request.find("/once/foreign") != std::string::npos)
      Answer = refusal("");
    else if (auto Refused = Refusals_.find(Remote.Number_);
             Refused != Refusals_.end())
      Answer = Refused->second;
    Remote.write(Answer);
  }

  static std::string refusal(const std::string &IdLine) {
    return "HTTP/1.1 503 Full\r\nx-not-run: 1\r\n" + IdLine +
           "Content-Length: 0\r\n\r\n";
  }

  std::map<int, std::string> Refusals_; ///< By number of the connection.
  RawServer Raw_;
};

/// Application server that answers each request with its id as the body, and
/// writes its previous answer on the connection a second time.
struct CopyingServer {
  enum class When { WithTheAnswer, BeforeTheNextAnswer };

  CopyingServer(event_base *Base, When CopyAt, bool Chunked)
      : CopyAt_(CopyAt), Chunked_(Chunked),
        Raw_(Base, [this](RawServer::Peer &Remote) { respond(Remote); }) {}

  void respond(RawServer::Peer &Remote) {
    bool Complete = Remote.Input_.ends_with(
        Remote.Input_.starts_with("POST") ? "body" : "\r\n\r\n");
    if (!Complete)
      return;
    std::string Request = std::exchange(Remote.Input_, "");
    constexpr std::string_view Name = "x-id: ";
    std::size_t IdAt = std::min(Request.find(Name), Request.size());
    std::string Id = Request.substr(IdAt, Request.find("\r\n", IdAt) - IdAt);
    std::string Body = Id.substr(std::min(Name.size(), Id.size()));
    std::string Answer = "HTTP/1.1 200 OK\r\nx-seal: s\r\n" + Id + "\r\n";
    if (Chunked_)
      Answer += "Transfer-Encoding: chunked\r\n\r\n" +
                std::to_string(Body.size()) + "\r\n" + Body + "\r\n0\r\n\r\n";
    else
      Answer +=
          "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
    std::string Copy = std::exchange(Last_[Remote.Number_], Answer);
    ++Answers_;
    Remote.write(CopyAt_ == When::WithTheAnswer ? Answer + Answer
                                                : Copy + Answer);
  }

  When CopyAt_;
  bool Chunked_;
  std::map<int, std::string> Last_; ///< By number of the connection.
  int Answers_ = 0;
  RawServer Raw_;
};

class PlatformPath : public PlatformFleet {
protected:
  /// Sends a request and closes the connection before the daemon reads it.
  void sendAndLeave(std::size_t Entry, const std::string &Request) {
    auto Address =
        parseSocketAddress(Daemons_[Entry]->addresses().Caller_).value();
    int Socket = socket(AF_INET, SOCK_STREAM, 0);
    ASSERT_EQ(connect(Socket, Address.get(), Address.Length_), 0);
    ASSERT_EQ(write(Socket, Request.data(), Request.size()),
              static_cast<ssize_t>(Request.size()));
    close(Socket);
  }

  /// Adds a server that counts as silent 1.2 s after its last announcement. It
  /// is the only announced server of its service. Waits until it is used.
  void startFourthServer() {
    addServer("view", 400);
    writeConfiguration(5);
    std::uint64_t Sequence = 0;
    ASSERT_TRUE(eventually([&] {
      announce(3, "ready", ++Sequence);
      callTogether(2, 6);
      return !Servers_[3]->Requests_.empty();
    }));
  }

  /// Adds the server at this address as the only announced one of its service.
  void startServerAt(const std::string &Address) {
    addServer("view", 20000, Address);
    writeConfiguration(5);
    ASSERT_EQ(announce(3), 200);
    ASSERT_TRUE(eventually(
        [&] { return call(3, "GET", "/x/y", "warm-up").Status_ == 200; }));
  }

  /// Each caller gets the answer to its own request, or none.
  void expectNoCopies(CopyingServer::When CopyAt, bool Chunked) {
    CopyingServer Server(Loop_.base(), CopyAt, Chunked);
    startServerAt(Server.Raw_.Address_);
    for (int I = 0; I < 6; ++I) {
      std::string Id = "id-" + std::to_string(I);
      HttpResponse Response = call(3, "POST", "/once/copied", Id);
      EXPECT_TRUE(Response.Body_ == Id || Response.Status_ == 502)
          << Response.Status_ << " " << Response.Body_ << " for " << Id;
    }
    EXPECT_GT(Server.Answers_, 6);
    Daemons_.clear();
  }
};

} // namespace

// Without a configuration, a daemon cannot tell a route that it has not
// received yet from one that does not exist.
TEST_F(PlatformPath, IsReadyOnlyWithAConfiguration) {
  Loop_.runFor(milliseconds(300));
  EXPECT_FALSE(isReady(0));
  EXPECT_EQ(call(0, "GET", "/x/y").Status_, 503);
  writeConfiguration(5);
  EXPECT_TRUE(eventually([&] { return isReady(0) && isReady(2); }));
  EXPECT_EQ(call(0, "GET", "/other/").Status_, 404);
}

TEST_F(PlatformPath, IsReadyThoughTheStoreHoldsAnOddItemBesideTheSeeds) {
  std::string Deep(100'000, '[');
  for (const std::string &Odd :
       {Deep + std::string(Deep.size(), ']'), std::string("1e999"),
        std::string("{\"key\":1}"),
        std::string("{\"key\":\"k\",\"value\":\"?\"}"),
        std::string("{\"key\":\"k\",\"value\":\"\",\"revision\":"
                    "18446744073709551615}")}) {
    Daemons_.clear();
    Servers_.clear();
    Store_->Faults_.OddRangeItem_ = Odd;
    writeConfiguration(5);
    addServer("view");
    EXPECT_TRUE(eventually([&] { return isReady(0); })) << Odd.substr(0, 60);
  }
}

TEST_F(PlatformPath, AnOddHeartbeatDoesNotDisplaceATarget) {
  startAll();
  std::string Deep = std::string(100'000, '[') + std::string(100'000, ']');
  auto Heartbeat = [](const std::string &Address, const std::string &Slots,
                      const std::string &Sequence) {
    return R"({"address":")" + Address +
           R"(","information":{"service":"view","slots":)" + Slots +
           R"(},"status":{"state":"ready","sequence":)" + Sequence + "}}";
  };
  const std::string &Address = Servers_[0]->Address_;
  std::vector<std::string> Bodies = {
      Heartbeat(Address, Deep, "5"),
      Heartbeat(Address, "1e999", "5"),
      Heartbeat(Address, "4", "18446744073709551616"),
      Heartbeat(Address, "4", "9223372036854775808"),
      Heartbeat("127.0.0.1:0", "4", "5"),
      Heartbeat("127.0.0.1:65536", "4", "5"),
      Heartbeat("127.0.0.1:99999", "4", "5")};
  for (const std::string &Body : Bodies) {
    HttpClientRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/v1/instances/" + Servers_[0]->Name_ + "/heartbeat";
    Request.Body_ = Body;
    int Status =
        send(Daemons_[0]->addresses().Announce_, std::move(Request)).Status_;
    EXPECT_EQ(Status / 100, 4) << Body.substr(0, 200);
    EXPECT_EQ(call(0, "GET", "/x/y").Status_, 200) << Body.substr(0, 200);
  }
  EXPECT_EQ(announce(0, "ready", 6), 200);
}

TEST_F(PlatformPath, ForwardsARequestToAServerOfTheRoutesService) {
  startAll();
  HttpResponse Response = call(2, "GET", "/x/y?q=1", "id-7");
  EXPECT_EQ(Response.Status_, 200);
  ASSERT_NE(findHeader(Response.Headers_, "x-seal"), nullptr);
  EXPECT_EQ(*findHeader(Response.Headers_, "x-id"), "id-7");
  EXPECT_TRUE(Servers_[2]->Requests_.empty());
  const FakeServer *Receiver = nullptr;
  for (std::size_t I = 0; I < 2; ++I)
    if (!Servers_[I]->Requests_.empty() &&
        *findHeader(Servers_[I]->Requests_.back().Headers_, "x-id") == "id-7")
      Receiver = Servers_[I].get();
  ASSERT_NE(Receiver, nullptr);
  const HttpRequest &Received = Receiver->Requests_.back();
  EXPECT_EQ(Received.Path_, "/x/y?q=1");
  EXPECT_EQ(*findHeader(Received.Headers_, "x-expected"), Receiver->Name_);
  EXPECT_EQ(*findHeader(Received.Headers_, "x-caller"), "desk");
  int Deadline = std::stoi(*findHeader(Received.Headers_, "x-deadline"));
  EXPECT_GT(Deadline, 0);
  EXPECT_LE(Deadline, 1500);
}

// A successful response without the server's seal, or with the id of another
// request, must not be passed on as the response to this request.
TEST_F(PlatformPath, RejectsAResponseWithoutSealOrWithAnotherId) {
  startAll();
  for (auto &Server : Servers_)
    Server->SendsWrongId_ = true;
  EXPECT_EQ(call(2, "POST", "/once/y").Status_, 502);
  for (auto &Server : Servers_) {
    Server->SendsWrongId_ = false;
    Server->OmitsSeal_ = true;
  }
  EXPECT_EQ(call(2, "POST", "/once/y").Status_, 502);
}

// A caller takes 503 for the promise that its request did not run, and sends it
// again.
TEST_F(PlatformPath, AServersOwn503AfterARunIsNoRefusal) {
  startAll();
  for (auto &Server : Servers_)
    Server->Status_ = 503;
  HttpResponse Response = call(2, "POST", "/once/y");
  EXPECT_EQ(Response.Status_, 502);
  EXPECT_EQ(findHeader(Response.Headers_, "x-seal"), nullptr);
  EXPECT_EQ(findHeader(Response.Headers_, "retry-after"), nullptr);
  EXPECT_EQ(metric(2, "sycamore_refusals_withheld_total"), 1);
  HttpResponse Repeatable = call(2, "GET", "/x/y");
  EXPECT_EQ(Repeatable.Status_, 503);
  EXPECT_NE(findHeader(Repeatable.Headers_, "x-seal"), nullptr);
  for (auto &Server : Servers_)
    Server->Status_ = 500;
  HttpResponse Failure = call(2, "POST", "/once/y");
  EXPECT_EQ(Failure.Status_, 500);
  EXPECT_NE(findHeader(Failure.Headers_, "x-seal"), nullptr);
  for (auto &Server : Servers_)
    Server->ShedsRequests_ = true;
  EXPECT_EQ(call(2, "POST", "/once/y").Status_, 503);
}

TEST_F(PlatformPath, SendsNothingAfterAnAcknowledgedDeparture) {
  startAll();
  ASSERT_EQ(announce(0, "draining", 2), 200);
  std::size_t RequestsBefore = Servers_[0]->Requests_.size();
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(callTogether(I % 3, 6), 6);
  EXPECT_EQ(Servers_[0]->Requests_.size(), RequestsBefore);
  // Neither a delayed nor a later announcement of the same process brings the
  // server back.
  ASSERT_EQ(announce(0, "ready", 1), 200);
  ASSERT_EQ(announce(0, "ready", 3), 200);
  for (int I = 0; I < 20; ++I)
    callTogether(I % 3, 6);
  EXPECT_EQ(Servers_[0]->Requests_.size(), RequestsBefore);
  // An announcement of a new process under the same id does.
  ASSERT_EQ(announce(0, "ready", 1, 2000), 200);
  EXPECT_TRUE(eventually([&] {
    callTogether(2, 6);
    return Servers_[0]->Requests_.size() > RequestsBefore;
  }));
}

TEST_F(PlatformPath, ALateAnnouncementOfAnEarlierProcessIsIgnored) {
  startAll();
  std::string EarlierName = Servers_[0]->Name_;
  Servers_[0]->Name_ = "i-new";
  ASSERT_EQ(announce(0, "ready", 1, 2000), 200);
  Servers_[0]->Name_ = EarlierName;
  ASSERT_EQ(announce(0, "ready", 9, 1000), 200);
  Servers_[0]->Name_ = "i-new";
  Servers_[0]->Requests_.clear();
  EXPECT_TRUE(eventually([&] {
    call(2, "GET", "/x/y");
    return !Servers_[0]->Requests_.empty();
  }));
  EXPECT_EQ(*findHeader(Servers_[0]->Requests_.back().Headers_, "x-expected"),
            "i-new");
}

// The record of a departure must be kept longer than the target itself:
// otherwise an announcement that is delayed by seconds would bring the departed
// server back.
TEST_F(PlatformPath, ADepartureIsRememberedLongerThanTheTarget) {
  startFourthServer();
  ASSERT_EQ(deregister(3), 200);
  // Longer than three announcement intervals, after which the target itself is
  // removed.
  Loop_.runFor(milliseconds(1300));
  ASSERT_EQ(announce(3, "ready", 1000), 200);
  std::size_t RequestsBefore = Servers_[3]->Requests_.size();
  for (int I = 0; I < 20; ++I) {
    callTogether(2, 6);
    Loop_.runFor(milliseconds(10));
  }
  EXPECT_EQ(Servers_[3]->Requests_.size(), RequestsBefore);
}

// Announcements may be late by seconds: a target that missed some while it was
// busy must be used again when the next one arrives.
// A daemon that has restarted learns of the server only by a departure without
// a start time.
TEST_F(PlatformPath, ALateAnnouncementDoesNotUndoADepartureWithoutStartTime) {
  addServer("view");
  writeConfiguration(5);
  ASSERT_TRUE(eventually([&] { return isReady(3); }));
  std::int64_t NowMs =
      std::chrono::floor<milliseconds>(wallNow()).time_since_epoch().count();
  ASSERT_EQ(deregister(3, 0), 200);
  ASSERT_EQ(announce(3, "ready", 7, NowMs - 9000), 200);
  EXPECT_EQ(call(3, "GET", "/x/y").Status_, 503);
  EXPECT_EQ(Servers_[3]->Requests_.size(), 0U);
  ASSERT_EQ(announce(3, "ready", 1, NowMs + 9000), 200);
  EXPECT_TRUE(
      eventually([&] { return call(3, "GET", "/x/y").Status_ == 200; }));
}

TEST_F(PlatformPath, ATargetThatWasSilentIsUsedAgain) {
  startFourthServer();
  Servers_[3]->HoldsRequest_ = true;
  bool Answered = false;
  HttpClientRequest Request;
  Request.Path_ = "/x/slow";
  Request.Headers_ = {{"Host", "a.example"}, {"x-id", "slow"}};
  Client_->send(Daemons_[2]->addresses().Caller_, std::move(Request),
                [&](const HttpResponse &) { Answered = true; });
  ASSERT_TRUE(eventually([&] { return Servers_[3]->HeldRequest_ != nullptr; }));
  Loop_.runFor(milliseconds(1300));
  Servers_[3]->HoldsRequest_ = false;
  ASSERT_EQ(announce(3, "ready", 1000), 200);
  std::size_t RequestsBefore = Servers_[3]->Requests_.size();
  EXPECT_TRUE(eventually([&] {
    callTogether(2, 6);
    return Servers_[3]->Requests_.size() > RequestsBefore;
  }));
  Servers_[3]->HeldRequest_->reply(
      200, {{"x-seal", "sealed"}, {"x-id", "slow"}}, "");
  Servers_[3]->HeldRequest_.reset();
  EXPECT_TRUE(eventually([&] { return Answered; }));
}

TEST_F(PlatformPath, RejectsAnAnnouncementForAnotherHost) {
  startAll();
  std::string OwnAddress = Servers_[0]->Address_;
  Servers_[0]->Address_ = "127.9.9.9:1";
  EXPECT_EQ(announce(0, "ready", 7), 400);
  Servers_[0]->Address_ = OwnAddress;
}

// A server that crashes under load still accepts the connection of the liveness
// check and then resets it. If that did not count as a lost server, the request
// that crashed it would never become a suspect.
TEST_F(PlatformPath, AResetLivenessCheckCountsAsALostServer) {
  writeConfiguration(5, "desk");
  Servers_[2]->AbortsRequests_ = true;
  auto LossIsCounted = [&] {
    HttpClientRequest Request;
    Request.Path_ = "/metrics";
    std::string Page =
        send(Daemons_[2]->addresses().Admin_, std::move(Request)).Body_;
    return Page.find("\nsycamore_targets_lost_total 0\n") ==
               std::string::npos &&
           Page.find("\nsycamore_targets_lost_total ") != std::string::npos;
  };
  std::uint64_t Sequence = 0;
  EXPECT_TRUE(eventually([&] {
    announce(2, "ready", ++Sequence);
    call(0, "POST", "/once/y");
    return LossIsCounted();
  }));
}

// A server that sheds a request has not run it, so it may be sent to another
// server.
TEST_F(PlatformPath, RetriesAShedRequestAtAnotherServer) {
  startAll();
  Servers_[0]->ShedsRequests_ = true;
  for (int I = 0; I < 10; ++I)
    EXPECT_EQ(call(2, "POST", "/once/y").Status_, 200);
}

TEST_F(PlatformPath, RefusesWithRetryAfterWhenNoServerIsLeft) {
  writeConfiguration(5);
  ASSERT_TRUE(eventually([&] { return isReady(2); }));
  HttpResponse Response = call(2, "GET", "/x/y");
  EXPECT_EQ(Response.Status_, 503);
  const std::string *RetryAfter = findHeader(Response.Headers_, "retry-after");
  ASSERT_NE(RetryAfter, nullptr);
  EXPECT_NE(RetryAfter->find('.'), std::string::npos);
}

TEST_F(PlatformPath, ARefusalWrittenAgainIsNotTheAnswerToTheNextRequest) {
  RepeatingServer Server(Loop_.base());
  startServerAt(Server.Raw_.Address_);
  EXPECT_EQ(call(3, "POST", "/once/refused", "id-1").Status_, 503);
  EXPECT_EQ(call(3, "POST", "/once/run", "id-2").Status_, 200);
  // The same request id, so that only the connection tells the copy apart.
  EXPECT_EQ(call(3, "POST", "/once/refused", "id-3").Status_, 503);
  EXPECT_EQ(call(3, "POST", "/once/run", "id-3").Status_, 200);
}

TEST_F(PlatformPath, ARefusalWithoutIdOnAKeptConnectionProvesNothing) {
  RepeatingServer Server(Loop_.base());
  startServerAt(Server.Raw_.Address_);
  EXPECT_EQ(call(3, "POST", "/once/foreign", "id-1").Status_, 502);
}

TEST_F(PlatformPath, ACopyAtTheNextAnswerIsNotTheNextCallersAnswer) {
  expectNoCopies(CopyingServer::When::BeforeTheNextAnswer, /*Chunked=*/false);
}

TEST_F(PlatformPath, AChunkedCopyAtTheNextAnswerIsNotTheNextCallersAnswer) {
  expectNoCopies(CopyingServer::When::BeforeTheNextAnswer, /*Chunked=*/true);
}

TEST_F(PlatformPath, ACopyOnAnIdleConnectionIsNotTheNextCallersAnswer) {
  expectNoCopies(CopyingServer::When::WithTheAnswer, /*Chunked=*/false);
}

TEST_F(PlatformPath, AChunkedCopyOnAnIdleConnectionIsNotTheNextCallersAnswer) {
  expectNoCopies(CopyingServer::When::WithTheAnswer, /*Chunked=*/true);
}

TEST_F(PlatformPath, ARequestLateInAPlannedStopIsRefusedAndNotSent) {
  startAll();
  const std::string Start = "POST /once/late HTTP/1.1\r\nHost: a.example\r\n";
  RawClient Caller(Loop_.base(), Daemons_[0]->addresses().Caller_);
  Caller.write("GET /x/y HTTP/1.1\r\nHost: a.example\r\nx-id: a\r\n\r\n" +
               Start);
  ASSERT_TRUE(eventually([&] { return !Caller.Input_.empty(); }));
  double Attempts = metric(0, "sycamore_attempts_total");
  Daemons_[0]->stop();
  Loop_.runFor(milliseconds(600));
  Caller.Input_.clear();
  Caller.write("x-id: b\r\nContent-Length: 0\r\n\r\n");
  EXPECT_TRUE(eventually([&] { return !Caller.Input_.empty(); }));
  EXPECT_TRUE(Caller.Input_.starts_with("HTTP/1.1 503")) << Caller.Input_;
  EXPECT_EQ(metric(0, "sycamore_attempts_total"), Attempts);
}

TEST_F(PlatformPath, ARequestWhoseCallerLeftBeforeItWasReadIsNotSent) {
  startAll();
  double Attempts = metric(2, "sycamore_attempts_total");
  double Left = metric(2, "sycamore_callers_gone_total");
  ASSERT_GT(Attempts, 0);
  for (int I = 0; I < 10; ++I)
    sendAndLeave(2, "GET /x/left HTTP/1.1\r\nHost: a.example\r\n"
                    "x-id: left\r\nx-deadline: 2000\r\n\r\n");
  EXPECT_TRUE(eventually(
      [&] { return metric(2, "sycamore_callers_gone_total") == Left + 10; }));
  EXPECT_EQ(metric(2, "sycamore_attempts_total"), Attempts);
}

// A new configuration must be in effect within two seconds, even if the store
// has compacted its history, and must remain in effect while the store is down.
TEST_F(PlatformPath, AppliesANewConfigurationAndKeepsItWhileTheStoreIsDown) {
  startAll();
  Store_->compact();
  writeConfiguration(9, "desk");
  EXPECT_TRUE(eventually([&] {
    call(0, "GET", "/x/y", "id-9");
    return !Servers_[2]->Requests_.empty();
  }));
  Store_->Faults_.Unavailable_ = true;
  Loop_.runFor(milliseconds(100));
  EXPECT_EQ(call(0, "GET", "/x/y").Body_, "from i-3");
}
