// A loopback TCP proxy that delays or discards bytes, and refuses or resets
// connections.
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

/// How the bytes of one direction are handled.
enum class Passage {
  Open,
  Silent, ///< Read and discarded; the end of the connection is not forwarded.
};

class FaultProxy {
public:
  explicit FaultProxy(event_base *Base);
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;
  ~FaultProxy();

  const std::string &address() const { return Address_; }
  /// Sets the destination of new connections, as "IP:PORT".
  void leadTo(const std::string &Address) { Target_ = Address; }

  /// Discards all further bytes of the open connections, from the connecting
  /// side (Towards) or from the server (Back). New connections are not
  /// affected.
  void silence(bool Towards, bool Back);
  /// Delays the bytes of both directions; 0 for no delay.
  void delay(int Milliseconds) { DelayMs_ = Milliseconds; }
  /// New connections are closed at once while this is set.
  void refuse(bool On) { Refusing_ = On; }
  /// Ends every open connection with a reset.
  void reset();

private:
  struct Side {
    bufferevent *Stream_ = nullptr;
    Passage Passage_ = Passage::Open; ///< For bytes that this side sends.
    event *Later_ = nullptr;          ///< Timer that forwards delayed bytes.
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
