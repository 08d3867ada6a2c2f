// Guards against requests sent ahead on a connection that are answered out of
// order, run behind an answer that closes the connection, or fill the memory.
#include "RawSocket.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

std::string request(int Number) {
  return "GET /" + std::to_string(Number) + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

} // namespace

TEST(Pipelining, AnswersComeInTheOrderOfTheRequests) {
  HttpPair Pair;
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler(
      [&](HttpExchangePointer Exchange) { Pending.push_back(Exchange); });
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  constexpr int Count = 50;
  std::string Expected;
  for (int I = 0; I < Count; ++I)
    Caller.write(request(I));
  for (int I = 0; I < Count; ++I) {
    ASSERT_TRUE(Pair.Loop_.runUntil([&] { return !Pending.empty(); }));
    ASSERT_EQ(Pending.size(), 1U);
    std::string Path = Pending.front()->request().Path_;
    EXPECT_EQ(Path, "/" + std::to_string(I));
    std::exchange(Pending, {}).front()->reply(200, {}, Path + ";");
  }
  std::string Last = "/" + std::to_string(Count - 1) + ";";
  ASSERT_TRUE(Pair.Loop_.runUntil(
      [&] { return Caller.Input_.find(Last) != std::string::npos; }));
  std::size_t At = 0;
  for (int I = 0; I < Count; ++I) {
    At = Caller.Input_.find("/" + std::to_string(I) + ";", At);
    ASSERT_NE(At, std::string::npos) << I;
  }
}

TEST(Pipelining, RequestsBehindAClosingAnswerDoNotRun) {
  HttpPair Pair;
  int Handled = 0;
  Pair.Server_->setHandler([&](const HttpExchangePointer &Exchange) {
    ++Handled;
    Exchange->reply(200, {{"Connection", "close"}}, "last");
  });
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  Caller.write(request(1) + request(2) + request(3));
  EXPECT_TRUE(Pair.Loop_.runUntil([&] { return Caller.Closed_; }));
  EXPECT_EQ(Handled, 1);
  EXPECT_NE(Caller.Input_.find("last"), std::string::npos);
}

// The bound is the amount read ahead, and one read of the socket over it; the
// rest waits in the buffers of both sockets.
TEST(Pipelining, BytesThatWaitOnAConnectionAreBounded) {
  constexpr std::size_t SentBytes = 64U << 20U;
  HttpPair Pair;
  std::vector<HttpExchangePointer> Pending;
  Pair.Server_->setHandler(
      [&](HttpExchangePointer Exchange) { Pending.push_back(Exchange); });
  RawClient Caller(Pair.Loop_.base(), Pair.Address_);
  std::string All;
  for (int I = 0; All.size() < SentBytes; ++I)
    All += request(I);
  Caller.write(All);
  ASSERT_TRUE(Pair.Loop_.runUntil([&] { return Pending.size() == 1; }));
  std::size_t Unsent = 0;
  do {
    Unsent = Caller.unsentBytes();
    Pair.Loop_.runFor(milliseconds(100));
  } while (Caller.unsentBytes() != Unsent);
  EXPECT_GT(Unsent, SentBytes / 2);
  EXPECT_EQ(Pending.size(), 1U);
}
