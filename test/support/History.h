// History of the requests that callers sent, the answers that they received and
// the requests that targets ran, and the check of the guarantees against it.
// Simulated runs and the soak fill it directly. It can be written as JSON, one
// event a line, and read back.
#pragma once

#include "sycamore/Error.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sycamore::history {

enum class EventKind {
  Sent,     ///< A caller sent a request.
  Answered, ///< A caller got an answer.
  Ran,      ///< A target ran a request, from At_ to Until_.
  Ticket,   ///< A daemon applied a ticket.
  Accepted, ///< A ticket was accepted.
};

/// Times are in microseconds by one clock for all events.
struct Event {
  EventKind Kind_ = EventKind::Sent;
  std::int64_t At_ = 0;
  std::int64_t Until_ = 0; ///< Ran: end of the run; -1 if the target crashed.
  /// Identifies one transmission of a request; a resend has a new one.
  std::string Call_;
  std::string Key_; ///< Idempotency key; empty for none.
  /// Content of the request. All requests with the same key have the same
  /// content, unless a caller reuses the key for another request.
  std::string Request_;
  bool Idempotent_ = false;
  std::string Run_; ///< Answered: "not-run", "done" or "unknown".
  /// Answered: "not-run" also covers earlier transmissions of the key.
  bool NoEarlierRun_ = false;
  std::uint32_t Status_ = 0;
  std::string Body_;   ///< Answered and Ran: the answer's body.
  std::string Target_; ///< Ran.
  std::string Proxy_;  ///< Ticket; Answered: the entry daemon.
  /// Ticket and Accepted: its number. Answered: the ticket under which the
  /// entry daemon handled the call; 0 if not recorded.
  std::uint64_t Ticket_ = 0;

  bool operator==(const Event &) const = default;
};

struct Recorder {
  std::vector<Event> Events_;
  void add(Event Entry) { Events_.push_back(std::move(Entry)); }
};

std::string toJsonLine(const Event &Entry);
Result<Event> parseJsonLine(std::string_view Line);
std::string toJsonLines(const std::vector<Event> &Events);
Result<std::vector<Event>> parseJsonLines(std::string_view Text);

struct Violation {
  std::string Rule_; ///< For example "at-most-once-key"; see check().
  std::string Description_;
};

/// Checks a history; returns nothing when every guarantee held. Rules:
///   at-most-once-key     a key runs at most once
///   at-most-once-call    a call that is not idempotent runs at most once
///   not-run              a call answered "not-run" never runs
///   refusal-status       a call answered 503 does not run, if it is not
///                        idempotent
///   not-run-settled      with NoEarlierRun_, no run of its key preceded it
///   done-ran             a call answered "done", or its key, has run
///   whole-answer         its body is complete and unchanged
///   right-request        it answers the request that was sent
///   one-answer           a call gets at most one answer
///   older-ticket         a daemon does not return to an older ticket
///   ticket-not-accepted  tickets are used only after they were accepted
std::vector<Violation> check(const std::vector<Event> &Events);

std::string describe(const std::vector<Violation> &Violations);

} // namespace sycamore::history
