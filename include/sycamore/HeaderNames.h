// Names of the headers that the daemon sets, reads or withholds on calls.
#pragma once

#include <string>

namespace sycamore {

/// Header names may be set to those that callers and targets use already. An
/// empty name switches its header off.
struct HeaderNames {
  /// Towards callers: whether the request ran ("not-run", "done", "unknown").
  std::string Run_ = "sycamore-run";
  /// Calls that led to this one.
  std::string Depth_ = "sycamore-depth";
  /// Milliseconds that the sender still waits.
  std::string Deadline_ = "sycamore-deadline-ms";
  /// Towards targets: number of the ticket that routed the request.
  std::string Ticket_ = "sycamore-ticket";
  /// W3C trace context.
  std::string Traceparent_ = "traceparent";
  std::string IdempotencyKey_ = "idempotency-key";
  /// Identifies a request; a target repeats it in its answer. An answer with
  /// another value belongs to another request.
  std::string RequestId_;
  /// From targets: an answer of status 2xx is complete only with it.
  std::string Seal_;
  /// From targets: the request was not run.
  std::string NotRun_;
  /// Towards targets: name of the target that the request is meant for. Any
  /// other target answers 421 and does not run the request.
  std::string ExpectedTarget_;
  /// Towards targets: service of the target beside the entry daemon.
  std::string CallerService_;

  bool operator==(const HeaderNames &) const = default;
};

} // namespace sycamore
