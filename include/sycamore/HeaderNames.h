// Names of the headers that the daemon sets, reads or strips on calls.
#pragma once

#include <string>

namespace sycamore {

/// The names are configurable, so that callers and targets can keep the headers
/// they already use. An empty name disables its header.
struct HeaderNames {
  /// In responses to callers: whether the request ran ("not-run", "done",
  /// "unknown").
  std::string Run_ = "sycamore-run";
  /// Nesting depth: the number of calls that led to this one.
  std::string Depth_ = "sycamore-depth";
  /// Time for which the sender still waits, in milliseconds.
  std::string Deadline_ = "sycamore-deadline-ms";
  /// In requests to targets: number of the ticket that routed the request.
  std::string Ticket_ = "sycamore-ticket";
  /// W3C trace context.
  std::string Traceparent_ = "traceparent";
  std::string IdempotencyKey_ = "idempotency-key";
  /// Identifies a request; a target repeats it in its response. A response with
  /// another value belongs to another request.
  std::string RequestId_;
  /// In responses from targets: a response of status 2xx is complete only with
  /// this header.
  std::string Seal_;
  /// In responses from targets: the request was not run.
  std::string NotRun_;
  /// In requests to targets: name of the target that the request is meant for.
  /// Any other target responds with 421 and does not run the request.
  std::string ExpectedTarget_;
  /// In requests to targets: service of the calling target, the one beside the
  /// entry daemon.
  std::string CallerService_;
  /// In requests of callers: the credential of a tenant. Never sent to targets.
  std::string Credential_ = "sycamore-credential";
  /// In requests to targets: name of the tenant that holds the caller's
  /// credential.
  std::string Tenant_ = "sycamore-tenant";

  bool operator==(const HeaderNames &) const = default;
};

} // namespace sycamore
