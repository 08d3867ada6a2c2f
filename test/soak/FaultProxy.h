// A loopback TCP proxy that delays, silences, refuses or resets what passes.
#pragma once

#include <event2/util.h>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct event;
struct event_base;
struct evconnlistener;

namespace sycamore::test {

/// What happens to bytes of one direction.
enum class Passage {
  Open,
  Silent, ///< Bytes are taken and dropped; nobody sees an end.
};

class FaultProxy {
public:
  explicit FaultProxy(event_base *Base);
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;
  ~FaultProxy();

  const std::string &address() const { return Address_; }
  /// Where new connections lead, as "IP:PORT".
  void leadTo(const std::string &Address) { Target_ = Address; }

  /// Silences the open connections for good; new ones are not affected.
  void silence(bool Towards, bool Back);
  /// Delays bytes of both directions.
  void delay(int Milliseconds) { DelayMs_ = Milliseconds; }
  /// New connections are closed at once while this is set.
  void refuse(bool On) { Refusing_ = On; }
  /// Ends every open connection with a reset.
  void reset();

private:
  struct Side {
    bufferevent *Stream_ = nullptr;
    Passage Passage_ = Passage::Open; ///< Of what this side sends.
    event *Later_ = nullptr;          ///< Passes delayed bytes on.
  };
  struct Connection {
    FaultProxy *Owner_ = nullptr;
    Side Dialler_;
    Side Server_;
  };

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  static void onRead(bufferevent *Stream, void *Pair);
  static void onEnd(bufferevent *Stream, short What, void *Pair);
  static void onLater(evutil_socket_t, short, void *Pair);
  static void pass(Side &From, const Side &To);
  void close(Connection &Pair, bool WithReset);

  event_base *Base_;
  evconnlistener *Listener_;
  std::string Address_;
  std::string Target_;
  std::list<Connection> Connections_;
  int DelayMs_ = 0;
  bool Refusing_ = false;
};

} // namespace sycamore::test
