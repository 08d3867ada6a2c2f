// A request on the server side, and the connection that it arrived on.
#pragma once

#include "sycamore/Clock.h"
#include "sycamore/HttpServer.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

namespace sycamore {

class HttpExchangeImpl;
class HttpServerConnection;

/// The interface of the server towards its connections.
class HttpConnectionOwner {
public:
  virtual ~HttpConnectionOwner() = default;
  virtual void dispatch(HttpExchangePointer Exchange) = 0;
  /// Removes the connection, which evhttp is about to free.
  virtual void connectionClosed(evhttp_connection *Connection) = 0;
  /// Frees the connection once evhttp's functions have returned.
  virtual void closeDeferred(evhttp_connection *Connection) = 0;
  /// Accounts for the bytes of requests over all listeners, and drops an
  /// unfinished request when they exceed the budget. False while they exceed
  /// it.
  virtual bool changeHeldBytes(std::size_t Before, std::size_t After) = 0;
  /// The connection with an unfinished request that is to be dropped first; may
  /// be null.
  virtual HttpServerConnection *findHeaviest(TimePoint Now) = 0;
  /// The connection that has made no progress for longest, if no request is
  /// being handled on it; may be null.
  virtual HttpServerConnection *findIdlest() = 0;
  virtual bool isStopping() const = 0;
  virtual const HttpServerConfig &config() const = 0;
};

/// An accepted connection.
class HttpServerConnection {
public:
  HttpServerConnection(HttpConnectionOwner &Owner, evhttp_connection *Handle);
  HttpServerConnection(const HttpServerConnection &) = delete;
  HttpServerConnection &operator=(const HttpServerConnection &) = delete;

  void start(evhttp_request *Request);
  /// Called before a response, or its first or last part, is written. Restores
  /// the read timeout, unless further parts of a streamed response follow.
  void prepareReply(evhttp_request *Request, bool MorePartsFollow);
  /// Called before the connection or the server is freed.
  void detach();
  void abort() { Owner_.closeDeferred(Handle_); }
  /// Stops reading, and closes the connection in the next iteration of the
  /// event loop.
  void drop(std::string Reason);

  /// Bytes of the current request that are in memory, at most.
  std::size_t heldBytes() const { return HeldBytes_; }

  bool busy() const { return Busy_; }
  bool dropped() const { return Dropped_; }
  TimePoint progressAt() const { return ProgressAt_; }
  /// No request is being handled or has begun to arrive.
  bool idle() const;
  bool callerClosed() const;
  evhttp_connection *handle() const { return Handle_; }
  const HttpServerConfig &config() const { return Owner_.config(); }

private:
  static void onInput(evbuffer *Buffer, const evbuffer_cb_info *Info,
                      void *Self);
  static void onClose(evhttp_connection *Connection, void *Self);
  static void onComplete(evhttp_request *Request, void *Self);
  void watchForClosure();
  void received(std::size_t Bytes);
  /// Counts the lines of the headers among the last bytes of the input.
  void countLines(std::size_t Bytes);
  bool setHeldBytes(std::size_t Bytes);

  HttpConnectionOwner &Owner_;
  evhttp_connection *Handle_;
  bufferevent *Stream_;
  evbuffer_cb_entry *InputCallback_;
  std::weak_ptr<HttpExchangeImpl> CurrentExchange_;
  bool Busy_ = false;
  bool Dropped_ = false;
  std::size_t InputBytesSinceReply_ = 0;
  std::size_t HeldBytes_ = 0;
  std::size_t HeaderLines_ = 0; ///< Of the current request, at most.
  TimePoint ProgressAt_ = monotonicNow();
};

class HttpExchangeImpl : public HttpExchange {
public:
  HttpExchangeImpl(HttpServerConnection &Connection, evhttp_request *Handle,
                   HttpRequest Request)
      : Connection_(&Connection), Handle_(Handle),
        Request_(std::move(Request)) {}
  HttpExchangeImpl(const HttpExchangeImpl &) = delete;
  HttpExchangeImpl &operator=(const HttpExchangeImpl &) = delete;
  ~HttpExchangeImpl() override;

  const HttpRequest &request() const override { return Request_; }
  void reply(int Status, const HttpHeaders &Headers,
             std::string_view Body) override;
  void startReply(int Status, const HttpHeaders &Headers) override;
  void sendPart(std::string_view Part) override;
  void endReply() override;
  void abort() override;
  void onClosed(std::function<void()> Callback) override;
  bool isOpen() const override { return Handle_ != nullptr; }
  bool callerClosed() const override {
    return !Connection_ || Connection_->callerClosed();
  }

  /// Called when the response is completely written.
  void markCompleted();
  /// Called when the connection is closed.
  void markDisconnected();

private:
  bool isHead() const { return Request_.Method_ == "HEAD"; }
  void setHeaders(const HttpHeaders &Headers, bool KeepLength);

  HttpServerConnection *Connection_; ///< Null when closed or completed.
  evhttp_request *Handle_;           ///< Null when responded or closed.
  HttpRequest Request_;
  bool Started_ = false;
  bool Disconnected_ = false;
  std::function<void()> OnClosed_;
};

/// The name of a method that the server supports, else empty; a request with
/// any other method gets status 501.
std::string_view httpMethodName(evhttp_cmd_type Method);

} // namespace sycamore
