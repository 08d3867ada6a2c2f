// HTTP/1.1 server on a libevent loop, over evhttp.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/HttpMessage.h"
#include "sycamore/Time.h"

#include <cstddef>
#include <functional>
#include <memory>

struct event_base;

namespace sycamore {

struct HttpRequest {
  std::string Method_;
  std::string Path_; ///< With the query, as received.
  std::string Host_; ///< Without the port; may be empty.
  HttpHeaders Headers_;
  std::string Body_; ///< Complete; chunked bodies are reassembled.
  /// Subject common name of a verified client certificate, else empty.
  std::string PeerName_;
  std::string PeerAddress_; ///< IP address of the caller.
};

/// A request whose connection was closed before the request was complete,
/// because of the limits for unfinished requests.
struct DroppedRequest {
  std::string PeerAddress_;
  std::size_t HeldBytes_ = 0;
  std::string Reason_;
};

/// Memory and descriptors that several servers share.
struct HttpBudget;

/// MaxBytes replaces HttpServerConfig::MaxHeldBytes_. Connections are accepted
/// up to five eighths of the process's limit of descriptors; the rest is for
/// files, peers, targets and the store.
std::shared_ptr<HttpBudget> makeHttpBudget(std::size_t MaxBytes);

struct HttpServerConfig {
  std::size_t MaxHeaderBytes_ = 64U << 10U; ///< All headers; status 400 above.
  std::size_t MaxBodyBytes_ = 8U << 20U;    ///< Status 413 above.
  /// Most memory of requests over all connections, until they are answered.
  /// Beyond it, the connection of the unfinished request that holds most of it
  /// is closed; requests under 64 KiB only after a second without input.
  std::size_t MaxHeldBytes_ = 32U << 20U;
  /// When set, is shared with other servers and takes the place of
  /// MaxHeldBytes_.
  std::shared_ptr<HttpBudget> Budget_ = nullptr;
  /// When set, is told of each request whose connection is closed for its size.
  std::function<void(const DroppedRequest &)> OnDropped_ = nullptr;
  /// A connection without progress for this long is closed. The timeout is
  /// suspended while a request is being handled.
  seconds IdleTimeout_{60};
  TlsFiles Tls_;
  /// Refuses connections without a certificate signed by Tls_.Ca_. When false
  /// and Tls_.Ca_ is set, a certificate is verified if the client presents one.
  bool RequireClientCertificate_ = false;
};

/// One request and its response. The pointer may outlive the connection and the
/// server; responses are then discarded. Dropping the last pointer without a
/// response sends status 500.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;

  /// Sends the complete response; calls after the first are ignored. Sets
  /// Content-Length, Transfer-Encoding and Date. The first two are dropped from
  /// Headers, except for Content-Length in responses to HEAD.
  virtual void reply(int Status, const HttpHeaders &Headers,
                     std::string_view Body) = 0;

  /// Starts a streamed response: chunked, unless Headers has a Content-Length.
  virtual void startReply(int Status, const HttpHeaders &Headers) = 0;
  virtual void sendPart(std::string_view Part) = 0;
  virtual void endReply() = 0;

  /// Closes the connection at once. Data not yet written is lost.
  virtual void abort() = 0;

  /// Runs Callback once if the caller closes the connection before the response
  /// is complete. A caller that half-closes its sending side counts as
  /// disconnected. Replaces an earlier callback; runs at once if the caller has
  /// disconnected already.
  virtual void onClosed(std::function<void()> Callback) = 0;

  /// Whether a response can still reach the caller.
  virtual bool isOpen() const = 0;

  /// Whether the caller has closed the connection, also when the event loop has
  /// not processed that yet. False while pipelined input precedes the closing.
  virtual bool callerClosed() const = 0;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePointer)>;

/// Destroying a server closes its connections. A server must not be destroyed
/// inside one of its callbacks.
class HttpServer {
public:
  /// Makes the process ignore SIGPIPE. Errors: InvalidSettings for TLS files
  /// that cannot be used.
  static Result<std::unique_ptr<HttpServer>>
  create(event_base *Base, const HttpServerConfig &Config = {});

  virtual ~HttpServer() = default;

  /// Listens on "IP:PORT" ("[IP]:PORT" for IPv6; port 0 takes a free one) and
  /// returns the bound address in the same form. May be called several times.
  virtual Result<std::string> listen(const std::string &Address) = 0;

  /// Sets the handler for the requests that are within the limits. Call it
  /// before listen().
  virtual void setHandler(HttpHandler Handler) = 0;

  /// Closes the listening sockets. From now on, each response closes its
  /// connection.
  virtual void stopAccepting() = 0;

  /// Closes the connections on which no request is being received or handled.
  virtual void closeIdle() = 0;

  /// Number of requests whose response is not yet completely written.
  virtual std::size_t openExchanges() const = 0;

  /// Reads the TLS files again. New connections use them; on an error the old
  /// ones stay in use.
  virtual Result<void> reloadTls() = 0;
};

} // namespace sycamore
