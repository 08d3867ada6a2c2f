// Guards against input that terminates the process, stalls the event loop, or
// leaves a call without an outcome. Libevent's HTTP code aborts the process
// when it reaches a state that it does not expect.
#include "RawSocket.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

/// Replaces, inserts, removes or repeats a few bytes.
std::string mutate(std::string Text, std::minstd_rand &Rng) {
  for (auto Edits = Rng() % 5; Edits > 0 && !Text.empty(); --Edits) {
    std::size_t Position = Rng() % Text.size();
    switch (Rng() % 4) {
    case 0:
      Text[Position] = static_cast<char>(Rng());
      break;
    case 1:
      Text.insert(Position, 1, static_cast<char>(Rng()));
      break;
    case 2:
      Text.erase(Position, 1 + Rng() % 10);
      break;
    default:
      Text.insert(Position, Text.substr(Position, 1 + Rng() % 40));
    }
  }
  return Text;
}

std::string pick(const std::vector<std::string> &From, std::minstd_rand &Rng) {
  return From[Rng() % From.size()];
}

const std::vector<std::string> &requests() {
  static const std::vector<std::string> Out = {
      "GET /a?b HTTP/1.1\r\nHost: a\r\n\r\n",
      "POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
      "PUT /c HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\nX-Trailer: y\r\n\r\n",
      "POST /d HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Content-Length: 3\r\n\r\nabc",
      "HEAD http://a:80/x HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
      "OPTIONS * HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"};
  return Out;
}

const std::vector<std::string> &responses() {
  static const std::vector<std::string> Out = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
      "HTTP/1.0 404 Not Found\r\nConnection: close\r\n\r\ngone",
      "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n"};
  return Out;
}

} // namespace

RC_GTEST_PROP(HttpFuzz, TheServerSurvivesAnyInput, (std::uint32_t Seed)) {
  std::minstd_rand Rng(Seed);
  HttpPair Pair;
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler([&](HttpExchangePointer Exchange) {
    if (Exchange->request().Path_ != "/good" && Rng() % 3 == 0)
      Pending.push_back(Exchange);
    else
      Exchange->reply(200, {}, "x");
  });
  for (int Connection = 0; Connection < 3; ++Connection) {
    RawClient Caller(Pair.Loop_.base(), Pair.Address_);
    for (auto Pieces = 1 + Rng() % 4; Pieces > 0; --Pieces) {
      Caller.write(mutate(pick(requests(), Rng), Rng));
      if (Rng() % 2 == 0)
        Pair.Loop_.runFor(milliseconds(1));
    }
    Pair.Loop_.runFor(milliseconds(2));
    if (Rng() % 2 == 0)
      Pending.clear();
  }
  HttpClientRequest Good;
  Good.Path_ = "/good";
  RC_ASSERT(Pair.call(Good).Status_ == 200);
}

RC_GTEST_PROP(HttpFuzz, TheClientCompletesEveryCall, (std::uint32_t Seed)) {
  std::minstd_rand Rng(Seed);
  HttpPair Pair;
  RawServer Server(Pair.Loop_.base(), [&](RawServer::Peer &Remote) {
    std::string Response = mutate(pick(responses(), Rng), Rng);
    std::size_t Half = Response.size() / 2;
    Remote.write(Response.substr(0, Half));
    if (Rng() % 3 == 0)
      Pair.Client_->closeConnections(Pair.Address_);
    Remote.write(Response.substr(Half));
    if (Rng() % 3 == 0)
      Remote.closeAfterWrite();
  });
  HttpClientRequest Request;
  Request.Deadline_ = milliseconds(20);
  for (int I = 0; I < 6; ++I) {
    Request.Method_ = I % 2 == 0 ? "GET" : "POST";
    HttpResponse Response = Pair.call(Request, Server.Address_);
    bool Answered = Response.Outcome_ == HttpOutcome::Answered;
    RC_LOG() << httpOutcomeName(Response.Outcome_) << " status "
             << Response.Status_ << " reason \"" << Response.Reason_ << "\"\n";
    RC_ASSERT((Answered ? Response.Status_ >= 100 : !Response.Reason_.empty()));
  }
}
