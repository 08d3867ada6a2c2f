// Sends answers to the daemons that asked, large bodies in pieces at the pace
// of this host's link.
#pragma once

#include "CallMessages.h"
#include "sycamore/AnswerPacing.h"

#include <map>
#include <tuple>

namespace sycamore {

/// Entry server, incarnation and ordinal of an attempt.
using AttemptKey = std::tuple<std::string, std::uint64_t, std::uint64_t>;

AttemptKey attemptKeyOf(const wire::CallId &Id);

struct AnswerSenderConfig {
  AnswerPacingOptions Pacing_;
  /// Answers to this server are passed on in memory and are not paced.
  std::string Self_;
  CallReplier Reply_;
  /// Bytes that this daemon has handed to the link since its start.
  std::function<std::uint64_t()> LinkBytes_;
  /// Calls pump() after this time.
  std::function<void(Duration)> Schedule_;
};

class AnswerSender {
public:
  explicit AnswerSender(AnswerSenderConfig Config);

  void send(wire::CallAnswer Answer, std::shared_ptr<const std::string> Body,
            const ReplyRoute &Route, std::uint32_t Priority, TimePoint Now);

  void sendQueryAnswer(const wire::CallQueryAnswer &Answer,
                       const ReplyRoute &Route);

  /// Continues an answer that is still being sent, from its first byte if the
  /// connection is another one. False when the answer is not being sent.
  bool resume(const wire::CallId &Id, const ReplyRoute &Route, TimePoint Now);

  /// Ends the sending of an answer that nobody waits for any more.
  void cancel(const wire::CallId &Id);

  /// Hands over as many pieces as the link's rate allows.
  void pump(TimePoint Now);

  /// Accounts for an answer of this expected size until release().
  void reserve(std::uint64_t Bytes);
  void release(std::uint64_t Bytes);

  const AnswerPacing &pacing() const { return Pacing_; }

private:
  struct Outgoing {
    wire::CallAnswer Answer_;
    ReplyRoute Route_;
  };

  void syncLinkBytes(TimePoint Now);
  /// Returns false when the connection is closed.
  bool sendPiece(const BodyPiece &Piece, const Outgoing &Current);
  void forget(std::uint64_t Id);

  AnswerSenderConfig Config_;
  AnswerPacing Pacing_;
  std::map<std::uint64_t, Outgoing> Outgoing_; ///< By id in Pacing_.
  std::map<AttemptKey, std::uint64_t> IdByAttempt_;
  std::uint64_t NextId_ = 1;
  std::uint64_t LinkBytesSeen_ = 0;
};

} // namespace sycamore
