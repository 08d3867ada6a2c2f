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
  std::string Path_; ///< With the query, as sent.
  std::string Host_; ///< Without the port; may be empty.
  HttpHeaders Headers_;
  std::string Body_; ///< Complete; chunked bodies are joined.
  /// Subject common name of a verified client certificate, else empty.
  std::string PeerName_;
  std::string PeerAddress_; ///< IP address of the caller.
};

struct HttpServerConfig {
  std::size_t MaxHeaderBytes_ = 64U << 10U; ///< All headers; 400 above.
  std::size_t MaxBodyBytes_ = 8U << 20U;    ///< 413 above.
  /// A connection without progress for this long is closed. It does not run
  /// while a request is being handled.
  seconds IdleTimeout_{60};
  TlsFiles Tls_;
  /// Refuses connections without a certificate that Tls_.Ca_ signed. When
  /// false and Tls_.Ca_ is set, a certificate is checked if there is one.
  bool RequireClientCertificate_ = false;
};

/// One request and its answer. Keeping the pointer is safe when the connection
/// or the server is gone; answers are then dropped. Dropping the last pointer
/// without an answer sends status 500.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;

  virtual const HttpRequest &request() const = 0;

  /// Sends the whole answer; the first call counts, later ones are ignored.
  /// Content-Length, Transfer-Encoding and Date are set here; those in Headers
  /// are dropped, except for Content-Length in answers to HEAD.
  virtual void reply(int Status, const HttpHeaders &Headers,
                     std::string_view Body) = 0;

  /// Streams an answer: chunked, unless Headers give a Content-Length.
  virtual void startReply(int Status, const HttpHeaders &Headers) = 0;
  virtual void sendPart(std::string_view Part) = 0;
  virtual void endReply() = 0;

  /// Closes the connection at once. Data not yet written is lost.
  virtual void abort() = 0;

  /// Runs Gone once if the caller closes before the answer is complete. A
  /// caller that half-closes its sending side counts as gone. Replaces an
  /// earlier callback; runs at once when the caller is gone already.
  virtual void onClosed(std::function<void()> Gone) = 0;

  /// Whether an answer can still reach the caller.
  virtual bool isOpen() const = 0;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePointer)>;

/// Destroying a server closes its connections. It must not happen inside one
/// of its callbacks.
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

  /// Receives every request that is within the limits. Set it before listen().
  virtual void setHandler(HttpHandler Handler) = 0;

  /// Closes the listening sockets. Answers sent from now on end their
  /// connection.
  virtual void stopAccepting() = 0;

  /// Closes the connections on which no request runs or is arriving.
  virtual void closeIdle() = 0;

  /// Requests whose answer is not written completely.
  virtual std::size_t openExchanges() const = 0;

  /// Reads the TLS files again. New connections use them; on an error the old
  /// ones stay in use.
  virtual Result<void> reloadTls() = 0;
};

} // namespace sycamore
