// A libevent loop for tests that runs until a condition holds, and HTTP calls
// that run it until they have an outcome.
#pragma once

#include "sycamore/Clock.h"
#include "sycamore/HttpClient.h"
#include "sycamore/HttpServer.h"

#include <event2/event.h>
#include <functional>
#include <optional>

namespace sycamore {

/// Generous limit for waits; only failing tests reach it.
inline constexpr Duration WaitLimit = seconds(20);

class EventLoop {
public:
  EventLoop() : Base_(event_base_new()) {}
  EventLoop(const EventLoop &) = delete;
  EventLoop &operator=(const EventLoop &) = delete;
  ~EventLoop() { event_base_free(Base_); }

  event_base *base() { return Base_; }

  /// Runs the loop until Condition holds; false if Limit passes first.
  bool runUntil(const std::function<bool()> &Condition,
                Duration Limit = WaitLimit) {
    TimePoint End = monotonicNow() + Limit;
    while (!Condition()) {
      if (monotonicNow() >= End)
        return false;
      timeval Tick{0, 2000};
      event_base_loopexit(Base_, &Tick);
      event_base_loop(Base_, EVLOOP_ONCE);
    }
    return true;
  }

  void runFor(Duration Span) {
    runUntil([] { return false; }, Span);
  }

private:
  event_base *Base_;
};

/// An event loop with one server and one client.
struct HttpPair {
  explicit HttpPair(const HttpServerConfig &ServerConfig = {},
                    const HttpClientConfig &ClientConfig = {})
      : Server_(HttpServer::create(Loop_.base(), ServerConfig).value()),
        Client_(HttpClient::create(Loop_.base(), ClientConfig).value()),
        Address_(Server_->listen("127.0.0.1:0").value()) {}
  ~HttpPair() {
    Client_.reset();
    Server_.reset();
    Loop_.runFor(milliseconds(5));
  }

  HttpResponse call(HttpClientRequest Request,
                    const std::string &Address = "") {
    std::optional<HttpResponse> Out;
    auto Call =
        Client_->send(Address.empty() ? Address_ : Address, std::move(Request),
                      [&](HttpResponse Answer) { Out = Answer; });
    if (!Loop_.runUntil([&] { return Out.has_value(); })) {
      Call->cancel();
      HttpResponse NoOutcome;
      NoOutcome.Reason_ = "no outcome within the time limit of the test";
      return NoOutcome;
    }
    return *Out;
  }

  EventLoop Loop_;
  std::unique_ptr<HttpServer> Server_;
  std::unique_ptr<HttpClient> Client_;
  std::string Address_;
};

/// Pseudo-random bytes, so that a truncated or reordered body differs.
inline std::string randomBody(std::size_t Size) {
  std::string Out(Size, '\0');
  std::uint64_t State = Size + 88172645463325252ULL;
  for (char &Byte : Out) {
    State ^= State << 13U;
    State ^= State >> 7U;
    State ^= State << 17U;
    Byte = static_cast<char>(State);
  }
  return Out;
}

} // namespace sycamore
