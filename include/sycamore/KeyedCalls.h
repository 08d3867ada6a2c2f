// Idempotency keys at the holder of their bucket: runs each key at most once,
// and tells what is known about a key that was sent again.
//
// A refusal as not run speaks of this sending only, unless Settled_ is set;
// then no earlier sending of the key has run either.
#pragma once

#include "sycamore/KeyBuckets.h"

namespace sycamore {

/// Largest key in bytes.
inline constexpr std::size_t MaxKeyBytes = 255;

/// Reads the value of an Idempotency-Key header: with or without quotes,
/// 1 to MaxKeyBytes printable ASCII characters. Errors: InvalidArgument.
Result<std::string> parseKey(std::string_view HeaderValue);

/// Creation time of a UUIDv7 key in its text form (RFC 9562, section 5.7);
/// nothing for other keys.
std::optional<WallTime> keyBirth(std::string_view Key);

enum class KeyAdmission {
  Run,           ///< Run it, then call completeKey().
  JoinRunning,   ///< Wait for KeySettled and ask again.
  Replay,        ///< Send the kept answer.
  RefuseNotRun,  ///< This sending does not run.
  RefuseUnknown, ///< An earlier sending may have run.
  RefuseMismatch ///< The key was used for another request.
};

enum class KeyReason {
  None,
  NotHolder,     ///< Another daemon holds the bucket, or none.
  LeaseLapsed,   ///< The store has not renewed the lease.
  HandingOver,   ///< A successor takes the bucket.
  FromTheFuture, ///< Created later than the clocks' skew allows.
  Full,          ///< The bound on records is reached.
  TakenOver,     ///< Created under an earlier holder.
  TooOld,        ///< Older than the resend window.
  OutcomeLost,   ///< Ran with an unknown outcome.
  AnswerDropped, ///< Ran, but its answer is no longer kept.
  OtherRequest,  ///< See RefuseMismatch.
};

struct KeyDecision {
  KeyAdmission Admission_ = KeyAdmission::RefuseNotRun;
  KeyReason Reason_ = KeyReason::None;
  /// With RefuseNotRun: no sending of this key has run.
  bool Settled_ = false;
  Duration RetryAfter_{0};                   ///< 0 for none.
  std::shared_ptr<const KeptAnswer> Answer_; ///< For Replay.
};

/// Decides about a sending of a key. Run enters a record.
KeyDecision admitKey(BucketTable &Table, std::string_view Key,
                     std::uint64_t RequestHash, Now At);

/// The run of a key ended. RUN_DONE keeps the answer, unless error_kind is set;
/// RUN_NOT_RUN removes the record, so that the key may be sent again. Returns
/// an update for the successor during a handover.
BucketActions completeKey(BucketTable &Table, std::string_view Key,
                          const wire::CallAnswer &Answer, std::string Body,
                          Now At);

/// The answer that tells a caller about a refusal: run outcome, status, error
/// and retry hint. Not for Run, JoinRunning and Replay.
wire::CallAnswer refusalAnswer(const KeyDecision &Decision);

} // namespace sycamore
