// HTTP/1.1 client on a libevent loop, over evhttp, with a pool of connections
// for each address.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/HttpMessage.h"
#include "sycamore/Time.h"

#include <cstddef>
#include <functional>
#include <memory>

struct event_base;

namespace sycamore {

struct HttpResponse;

struct HttpClientRequest {
  std::string Method_ = "GET";
  std::string Path_ = "/"; ///< With the query.
  HttpHeaders Headers_;    ///< Host is added when absent.
  std::string Body_;
  /// Limit for the time from send() to the complete response.
  Duration Deadline_ = seconds(10);
  /// When set, the response may take longer, up to MaxDuration_ from send(), as
  /// long as it keeps arriving with pauses of at most MaxPause_.
  Duration MaxPause_{0};
  Duration MaxDuration_{0};
  /// When set, receives the body as it arrives, and HttpResponse::Body_ stays
  /// empty. MaxBodyBytes_ does not apply to such a body.
  std::function<void(std::string_view)> OnBodyPart_ = nullptr;
  /// When set, checks each complete response. A response that it rejects is
  /// Broken, and the connection is closed, because bytes of another response
  /// may follow.
  std::function<bool(const HttpResponse &)> ValidateResponse_ = nullptr;
  /// When set and false for a complete response, the connection is closed after
  /// it.
  std::function<bool(const HttpResponse &)> MayKeepConnection_ = nullptr;
  /// Accepts a response without a length as complete when its connection closes
  /// cleanly. Set it only if truncation can be detected by other means.
  bool AcceptWithoutLength_ = false;
  /// Lowers HttpClientConfig::MaxBodyBytes_ for this request.
  std::size_t MaxBodyBytes_ = SIZE_MAX;
};

enum class HttpOutcome {
  Answered, ///< A complete response, whatever its status.
  NotSent,  ///< No part of the request reached the server.
  Broken,   ///< Sent at least in part, but no complete response arrived.
  TimedOut, ///< The deadline passed; see HttpResponse::Sent_.
};

/// Stable name for logs, for example "not-sent".
std::string_view httpOutcomeName(HttpOutcome Outcome);

struct HttpResponse {
  HttpOutcome Outcome_ = HttpOutcome::NotSent;
  /// Whether any byte of the request was written to the connection.
  bool Sent_ = false;
  /// Whether the connection had carried an earlier request.
  bool OnKeptConnection_ = false;
  int Status_ = 0;      ///< 0 unless Answered.
  HttpHeaders Headers_; ///< Empty unless Answered.
  std::string Body_;    ///< Empty unless Answered.
  std::string Reason_;  ///< For logs when not Answered.
  /// Broken because of a size limit of this client, or of a status or a length
  /// that violates HTTP. The server is still running and may have more to send.
  bool ServerRuns_ = false;
};

struct HttpClientConfig {
  std::size_t ConnectionsPerAddress_ = 16;
  /// Requests that may wait for a connection; further ones fail as NotSent.
  std::size_t MaxQueuedPerAddress_ = 1024;
  std::size_t MaxHeaderBytes_ = 64U << 10U; ///< Larger responses are Broken.
  std::size_t MaxBodyBytes_ = 8U << 20U;    ///< Larger responses are Broken.
  /// Most bytes of unfinished responses over all connections. Beyond it, the
  /// response that holds most of them is Broken.
  std::size_t MaxUnfinishedBytes_ = 32U << 20U;
  /// A request fails as NotSent if none of it was written within this time
  /// after it was assigned a connection.
  Duration ConnectTimeout_ = seconds(1);
  /// Idle connections are closed after this time. Keep it below the server's
  /// own idle timeout, so that a request is rarely sent on a connection that
  /// the server is closing.
  Duration IdleTimeout_ = seconds(20);
  TlsFiles Tls_; ///< Tls_.Ca_ turns TLS on.
};

/// A request in progress.
class HttpCall {
public:
  virtual ~HttpCall() = default;

  /// Closes the connection, so that the server notices the cancellation. The
  /// callback does not run. Has no effect once the call has ended.
  virtual void cancel() = 0;
};

/// May be destroyed inside its callbacks; calls in progress are then cancelled.
/// Its connections are closed in the next iteration of the event loop.
class HttpClient {
public:
  /// Makes the process ignore SIGPIPE. Errors: InvalidSettings for TLS files
  /// that cannot be used.
  static Result<std::unique_ptr<HttpClient>>
  create(event_base *Base, const HttpClientConfig &Config = {});

  virtual ~HttpClient() = default;

  using Callback = std::function<void(HttpResponse)>;

  /// Sends a request to "IP:PORT". Done runs exactly once unless the call is
  /// cancelled, never before send() returns. Dropping the returned handle does
  /// not cancel the call. A response whose end is marked only by the closing of
  /// the connection is Broken, as it may be truncated, unless
  /// AcceptWithoutLength_ is set. A response is also Broken if the connection
  /// closes before the request is completely written.
  virtual std::shared_ptr<HttpCall> send(const std::string &Address,
                                         HttpClientRequest Request,
                                         Callback Done) = 0;

  /// Closes the idle connections to an address at once, and the others when
  /// their call ends.
  virtual void closeConnections(const std::string &Address) = 0;

  /// Number of open connections to an address, idle ones included.
  virtual std::size_t connections(const std::string &Address) const = 0;
};

} // namespace sycamore
