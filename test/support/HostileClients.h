// Crowds of clients outside the limits of a daemon, for tests that check that
// the daemon outlives them.
#pragma once

#include "EventLoop.h"
#include "RawSocket.h"

#include <algorithm>
#include <list>
#include <string>

namespace sycamore::test {

/// Limits of the daemons under test, far below the defaults, so that a small
/// crowd exceeds them.
inline constexpr std::size_t MaxHeaderBytes = 16384;
inline constexpr std::size_t MaxBodyBytes = 1U << 20U;

/// What one client sends.
struct HostileInput {
  std::string Start_;
  /// Sent after Start_, one piece for each turn of every client.
  std::string Rest_;
  std::size_t PieceBytes_ = SIZE_MAX;
  bool ReadsAnswers_ = true;
};

/// Clients that send the same input at the same time and stay connected.
class HostileCrowd {
public:
  HostileCrowd(EventLoop &Loop, const std::string &Address, std::size_t Size,
               HostileInput Input)
      : Loop_(Loop), Input_(std::move(Input)) {
    for (std::size_t I = 0; I < Size; ++I) {
      RawClient &Client = Clients_.emplace_back(Loop.base(), Address);
      if (!Input_.ReadsAnswers_)
        Client.stopReading();
      Client.write(Input_.Start_);
    }
  }

  /// Sends until the daemon takes no more, or Limit has passed.
  void send(Duration Limit) {
    TimePoint End = monotonicNow() + Limit;
    for (std::size_t At = 0; At < Input_.Rest_.size() && monotonicNow() < End;
         At += std::min(Input_.PieceBytes_, Input_.Rest_.size() - At)) {
      for (RawClient &Client : Clients_)
        if (!Client.Closed_)
          Client.write(
              std::string_view(Input_.Rest_).substr(At, Input_.PieceBytes_));
      Loop_.runUntil([&] { return isSent(); },
                     std::min<Duration>(End - monotonicNow(), PieceWait));
    }
    Loop_.runUntil([&] { return isSent(); }, End - monotonicNow());
  }

private:
  /// Wait for the daemon to take a piece before the next one is sent.
  static constexpr Duration PieceWait = milliseconds(20);

  bool isSent() const {
    return std::all_of(Clients_.begin(), Clients_.end(),
                       [](const RawClient &Client) {
                         return Client.Closed_ || Client.unsentBytes() == 0;
                       });
  }

  EventLoop &Loop_;
  HostileInput Input_;
  std::list<RawClient> Clients_;
};

inline std::string requestStart(const std::string &Method,
                                const std::string &Path) {
  return Method + " " + Path + " HTTP/1.1\r\nHost: a\r\n";
}

/// A body of the longest legal size that lacks its last byte.
inline HostileInput almostWholeBody(const std::string &Path,
                                    std::size_t PieceBytes) {
  return {requestStart("POST", Path) +
              "Content-Length: " + std::to_string(MaxBodyBytes) + "\r\n\r\n",
          std::string(MaxBodyBytes - 1, 'x'), PieceBytes};
}

/// A chunked body of the longest legal size that lacks its last chunk.
inline HostileInput almostWholeChunks(const std::string &Path) {
  constexpr std::size_t ChunkBytes = 64;
  HostileInput Out{
      requestStart("POST", Path) + "Transfer-Encoding: chunked\r\n\r\n", {}};
  while (Out.Rest_.size() < MaxBodyBytes)
    Out.Rest_ += "40\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
  return Out;
}

/// A body of several times the longest legal size.
inline HostileInput bodyOverLimit(const std::string &Path, bool Chunked) {
  constexpr std::size_t SentBytes = 4 * MaxBodyBytes;
  HostileInput Out{requestStart("POST", Path), {}};
  if (!Chunked) {
    Out.Start_ += "Content-Length: 1073741824\r\n\r\n";
    Out.Rest_.assign(SentBytes, 'x');
    return Out;
  }
  Out.Start_ += "Transfer-Encoding: chunked\r\n\r\n";
  constexpr std::size_t ChunkBytes = 4096;
  while (Out.Rest_.size() < SentBytes)
    Out.Rest_ += "1000\r\n" + std::string(ChunkBytes, 'x') + "\r\n";
  return Out;
}

/// Headers of the longest legal size in the shortest fields, without their end
/// unless Whole.
inline HostileInput shortFields(const std::string &Path, bool Whole) {
  HostileInput Out{requestStart("GET", Path), {}};
  constexpr std::string_view Field = "a:b\r\n";
  while (Out.Start_.size() + Out.Rest_.size() + Field.size() + 2 <
         MaxHeaderBytes)
    Out.Rest_ += Field;
  if (Whole)
    Out.Rest_ += "\r\n";
  return Out;
}

/// Many requests on one connection whose answers stay unread.
inline HostileInput requestsAhead(const std::string &Path) {
  constexpr std::size_t SentBytes = 2 * MaxBodyBytes;
  HostileInput Out{{}, {}};
  Out.ReadsAnswers_ = false;
  std::string Request = requestStart("GET", Path) + "\r\n";
  while (Out.Rest_.size() < SentBytes)
    Out.Rest_ += Request;
  return Out;
}

/// Headers that arrive one byte at a time.
inline HostileInput slowHeaders(const std::string &Path) {
  return {requestStart("GET", Path) + "x-slow: ", std::string(100, 'x'), 1};
}

/// A request for this path whose answer stays unread.
inline HostileInput unreadAnswer(const std::string &Path) {
  HostileInput Out{requestStart("GET", Path) + "\r\n", {}};
  Out.ReadsAnswers_ = false;
  return Out;
}

} // namespace sycamore::test
