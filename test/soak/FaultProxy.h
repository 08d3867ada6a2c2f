// A loopback TCP proxy that delays, limits or discards bytes, and refuses or
// resets connections.
#pragma once

#include <event2/util.h>
#include <list>
#include <memory>
#include <string>

struct bufferevent;
struct event;
struct event_base;
struct evconnlistener;
struct ev_token_bucket_cfg;

namespace sycamore::test {

/// How the bytes of one direction are handled.
enum class ForwardMode {
  Forward,
  Discard, ///< Read and discarded; the end of the connection is not forwarded.
};

class FaultProxy {
public:
  explicit FaultProxy(event_base *Base);
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;
  ~FaultProxy();

  const std::string &address() const { return Address_; }
  /// Sets the destination of new connections, as "IP:PORT".
  void setDestination(const std::string &Address) { Destination_ = Address; }

  /// Discards all further bytes of the open connections, from the connecting
  /// side (FromClient) or from the server (FromServer). New connections are not
  /// affected.
  void discardTraffic(bool FromClient, bool FromServer);
  /// Delays the bytes of both directions; 0 for no delay.
  void delay(int Milliseconds) { DelayMs_ = Milliseconds; }
  /// Limits the bytes from the server, on each connection opened from now on.
  void limitServerRate(std::size_t BytesPerSecond);
  /// New connections are closed at once while this is set.
  void refuseConnections(bool Enabled) { RefusesConnections_ = Enabled; }
  /// Ends every open connection with a reset.
  void reset();

private:
  struct Side {
    bufferevent *Stream_ = nullptr;
    /// For bytes that this side sends.
    ForwardMode Mode_ = ForwardMode::Forward;
    event *DelayTimer_ = nullptr; ///< Timer that forwards delayed bytes.
  };
  struct Connection {
    FaultProxy *Owner_ = nullptr;
    Side Client_;
    Side Server_;
  };

  static void onAccept(evconnlistener *, evutil_socket_t Socket, sockaddr *,
                       int, void *Self);
  static void onRead(bufferevent *Stream, void *Context);
  static void onEnd(bufferevent *Stream, short What, void *Context);
  static void onDelayElapsed(evutil_socket_t, short, void *Context);
  static void forward(Side &From, const Side &To);
  void close(Connection &Conn, bool WithReset);

  event_base *Base_;
  evconnlistener *Listener_;
  std::string Address_;
  std::string Destination_;
  std::list<Connection> Connections_;
  ev_token_bucket_cfg *ServerRate_ = nullptr; ///< Null for no limit.
  int DelayMs_ = 0;
  bool RefusesConnections_ = false;
};

} // namespace sycamore::test
