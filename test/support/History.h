// Records what callers were told and what targets ran, and checks the promises
// against it. Seeded runs fill it directly; tests with real processes read it
// from JSON lines, one event a line.
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
  Ticket,   ///< A proxy began to run a ticket.
  Accepted, ///< A ticket was accepted.
};

/// Times are microseconds of one true clock.
struct Event {
  EventKind Kind_ = EventKind::Sent;
  std::int64_t At_ = 0;
  std::int64_t Until_ = 0; ///< Ran: end of the run; -1 if it was cut short.
  /// One sending of a request; sending it again makes a new one.
  std::string Call_;
  std::string Key_; ///< Idempotency key; empty for none.
  /// Content of the request. The same key always has the same one, unless the
  /// caller misuses the key.
  std::string Request_;
  bool Idempotent_ = false;
  std::string Run_; ///< Answered: "not-run", "done" or "unknown".
  /// Answered: "not-run" includes earlier sendings of the key.
  bool Settled_ = false;
  std::uint32_t Status_ = 0;
  std::string Body_;   ///< Answered and Ran: the answer's body.
  std::string Target_; ///< Ran.
  std::string Proxy_;  ///< Ticket; Answered: the entry daemon.
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
  std::string Rule_; ///< Short name, for example "at-most-once-key".
  std::string What_;
};

/// Empty when every promise held. Rules: at-most-once-key, at-most-once-call,
/// not-run, not-run-settled, done-ran, whole-answer, right-request,
/// one-answer, older-ticket, ticket-not-accepted.
std::vector<Violation> check(const std::vector<Event> &Events);

std::string describe(const std::vector<Violation> &Violations);

} // namespace sycamore::history
