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

struct HttpAnswer;

struct HttpClientRequest {
  std::string Method_ = "GET";
  std::string Path_ = "/"; ///< With the query.
  HttpHeaders Headers_;    ///< Host is added when absent.
  std::string Body_;
  /// For everything from send() to the complete answer.
  Duration Deadline_ = seconds(10);
  /// When set, receives the body as it arrives, and HttpAnswer::Body_ stays
  /// empty. Such a body has no size limit.
  std::function<void(std::string_view)> OnPart_ = nullptr;
  /// When set, a whole answer that it rejects is Broken and ends the
  /// connection, because bytes of another answer may follow.
  std::function<bool(const HttpAnswer &)> Accepts_ = nullptr;
  /// Takes an answer without a length as whole when its connection ends in
  /// order. Set it when something else shows that an answer was cut.
  bool AcceptUnframed_ = false;
};

enum class HttpOutcome {
  Answered, ///< A whole answer, whatever its status.
  NotSent,  ///< Nothing of the request reached the other side.
  Broken,   ///< Sent at least in part, but no whole answer came back.
  TimedOut, ///< The deadline passed; see HttpAnswer::Sent_.
};

/// Stable name for logs, for example "not-sent".
std::string_view httpOutcomeName(HttpOutcome Outcome);

struct HttpAnswer {
  HttpOutcome Outcome_ = HttpOutcome::NotSent;
  /// Whether any byte of the request was written to the connection.
  bool Sent_ = false;
  int Status_ = 0;      ///< 0 unless Answered.
  HttpHeaders Headers_; ///< Empty unless Answered.
  std::string Body_;    ///< Empty unless Answered.
  std::string Reason_;  ///< For logs when not Answered.
};

struct HttpClientConfig {
  std::size_t ConnectionsPerAddress_ = 16;
  /// Requests that wait for a connection; more are refused as NotSent.
  std::size_t MaxQueuedPerAddress_ = 1024;
  std::size_t MaxHeaderBytes_ = 64U << 10U; ///< Larger answers are Broken.
  std::size_t MaxBodyBytes_ = 8U << 20U;    ///< Larger answers are Broken.
  /// A request of which nothing was written after this is NotSent.
  Duration ConnectTimeout_ = seconds(1);
  /// Unused connections are closed after this. Keep it below the server's own
  /// limit, so that a request rarely meets a connection that is closing.
  Duration IdleTimeout_ = seconds(20);
  TlsFiles Tls_; ///< Tls_.Ca_ turns TLS on.
};

/// One request under way.
class HttpCall {
public:
  virtual ~HttpCall() = default;

  /// Closes the connection, so that the other side notices. The callback does
  /// not run. Has no effect once the call has ended.
  virtual void cancel() = 0;
};

/// May be destroyed inside its callbacks; calls under way are then cancelled.
/// Its connections are closed when the loop runs next.
class HttpClient {
public:
  /// Makes the process ignore SIGPIPE. Errors: InvalidSettings for TLS files
  /// that cannot be used.
  static Result<std::unique_ptr<HttpClient>>
  create(event_base *Base, const HttpClientConfig &Config = {});

  virtual ~HttpClient() = default;

  using Callback = std::function<void(HttpAnswer)>;

  /// Sends a request to "IP:PORT". Done runs exactly once unless the call is
  /// cancelled, never before send() returns. A call goes on when its handle is
  /// dropped. An answer whose end only the closing of the connection marks is
  /// Broken, as it may have been cut, unless AcceptUnframed_ is set. So is an
  /// answer that arrives on a connection that closes before the request is
  /// written.
  virtual std::shared_ptr<HttpCall> send(const std::string &Address,
                                         HttpClientRequest Request,
                                         Callback Done) = 0;

  /// Closes the unused connections to an address, and the others once their
  /// call has ended.
  virtual void forget(const std::string &Address) = 0;

  /// Open connections to an address, used or not.
  virtual std::size_t connections(const std::string &Address) const = 0;
};

} // namespace sycamore
