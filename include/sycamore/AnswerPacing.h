// Order and pace in which the bodies of large answers are handed to the link of
// this host.
//
// A daemon's answers share one link. Without pacing, everything that is ready
// is queued in the network, and a small answer or a heartbeat waits behind
// megabytes of large ones. Here large bodies are sent in pieces, no further
// ahead of the link's rate than MaxAhead_, and one body after the other: all
// other messages are sent at once and wait for at most MaxAhead_. The bytes
// that are not handed over yet are known, so that requests whose answers could
// not be sent in time can be refused before they run.
#pragma once

#include "sycamore/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace sycamore {

struct AnswerPacingOptions {
  /// Bytes per second that the link carries; 0 when not known: nothing is
  /// paced.
  double LinkRate_ = 0;
  /// Share of LinkRate_ used, so that the network's own queue stays short while
  /// other traffic uses the link too.
  double RateShare_ = 0.9;
  /// Bodies up to this size are sent at once.
  std::size_t LargeBytes_ = 16U << 10U;
  std::size_t PieceBytes_ = 16U << 10U;
  /// Data handed over ahead of the rate, as time on the link. Less than this
  /// would leave the link idle between two turns of a slow event loop.
  Duration MaxAhead_ = milliseconds(25);
  /// See checkAnswer().
  Duration MaxLateBacklog_ = milliseconds(100);
  /// Most bytes of bodies that wait here or are expected from running requests.
  std::uint64_t MaxBytes_ = 32U << 20U;
};

struct AnswerPacingCounters {
  std::uint64_t BodiesPaced_ = 0;
  std::uint64_t Pieces_ = 0;
  std::uint64_t Dropped_ = 0; ///< Removed before they were sent completely.
};

/// A body of which a part is still to be sent.
struct PacedBody {
  std::uint64_t Id_ = 0; ///< Chosen by the user of the table; unique.
  std::shared_ptr<const std::string> Body_;
  std::size_t Offset_ = 0;     ///< Bytes handed over.
  std::uint32_t Priority_ = 0; ///< Of the route; 0 is sent first.
};

struct AnswerPacing {
  AnswerPacingOptions Options_;
  AnswerPacingCounters Counters_;
  std::deque<PacedBody> Queue_;     ///< In the order in which they are sent.
  std::uint64_t QueuedBytes_ = 0;   ///< Bytes of Queue_ not handed over.
  std::uint64_t ReservedBytes_ = 0; ///< Expected from requests in progress.
  TimePoint LinkFreeAt_{}; ///< When all bytes handed over have left the link.
};

/// Bytes of a body to hand over now.
struct BodyPiece {
  std::uint64_t Id_ = 0;
  std::shared_ptr<const std::string> Body_;
  std::size_t Offset_ = 0;
  std::size_t Size_ = 0;
  bool Last_ = false; ///< The body is complete with this piece.
};

/// Whether a body of this size is sent in pieces.
bool isPaced(const AnswerPacing &Table, std::uint64_t Bytes);

/// Records bytes that were handed to the link, pieces included.
void recordLinkBytes(AnswerPacing &Table, std::uint64_t Bytes, TimePoint Now);

/// Queues a body after those of its priority and of more urgent ones.
void queueBody(AnswerPacing &Table, PacedBody Body);

/// The piece to hand over next; nothing while the link is MaxAhead_ ahead of
/// its rate or the queue is empty. Record its bytes before the next call.
std::optional<BodyPiece> nextPiece(AnswerPacing &Table, TimePoint Now);

/// Time until nextPiece() may return one; unset when the queue is empty.
std::optional<Duration> timeToNextPiece(const AnswerPacing &Table,
                                        TimePoint Now);

/// Removes a body; false when it is not in the table.
bool dropBody(AnswerPacing &Table, std::uint64_t Id);

/// Sends a body again from its first byte, because its connection was replaced.
void restartBody(AnswerPacing &Table, std::uint64_t Id);

/// Time that the link needs for this many bytes; 0 when its rate is not known.
Duration timeOnLink(const AnswerPacing &Table, std::uint64_t Bytes);

/// Time until the link has carried all that is queued and expected.
Duration linkBacklog(const AnswerPacing &Table, TimePoint Now);

/// A request whose answer needs the link.
struct AnswerDemand {
  std::uint64_t Bytes_ = 0; ///< Expected size of the body.
  TimePoint Deadline_{};    ///< By which the answer must have been sent.
  /// After which the answer is worth less; unset for none.
  std::optional<TimePoint> LatencyTargetAt_;
};

enum class AnswerDecision {
  Accept,
  NoRoom,              ///< MaxBytes_ is reached.
  TooLate,             ///< The link cannot carry it before its deadline.
  MissesLatencyTarget, ///< The link carries answers in time until then.
};

std::string_view answerDecisionName(AnswerDecision Decision);

/// Whether the link can carry one more answer in time. An answer that would
/// miss its latency target because of the backlog is refused, and so is one
/// that has missed it already, while the backlog exceeds MaxLateBacklog_: the
/// link then has enough answers in time to carry.
AnswerDecision checkAnswer(const AnswerPacing &Table,
                           const AnswerDemand &Demand, TimePoint Now);

} // namespace sycamore
