// Idempotency keys at the holder of their bucket: runs each key at most once,
// and answers repeated requests from the record of the key.
//
// A refusal as not run covers only the refused request, unless NeverRan_ is
// set; then no earlier request with the key has run either.
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
std::optional<WallTime> keyCreationTime(std::string_view Key);

enum class KeyAdmission {
  Run,           ///< Run it, then call completeKey().
  JoinRunning,   ///< Wait for KeyResolved, then call admitKey() again.
  Replay,        ///< Send the stored answer.
  RefuseNotRun,  ///< This request does not run.
  RefuseUnknown, ///< An earlier request with the key may have run.
  RefuseMismatch ///< The key was used for another request.
};

enum class KeyReason {
  None,
  NotHolder,     ///< Another daemon holds the bucket, or none.
  LeaseLapsed,   ///< The store has not renewed the lease.
  HandingOver,   ///< The bucket is being handed over to a successor.
  FromTheFuture, ///< Created later than the clocks' skew allows.
  Full,          ///< MaxRecords_ is reached.
  TakenOver,     ///< May have been used under an earlier holder.
  TooOld,        ///< Older than the resend window.
  OutcomeLost,   ///< Ran with an unknown outcome.
  AnswerDropped, ///< Ran, but its answer is no longer stored.
  OtherRequest,  ///< See RefuseMismatch.
};

struct KeyDecision {
  KeyAdmission Admission_ = KeyAdmission::RefuseNotRun;
  KeyReason Reason_ = KeyReason::None;
  /// With RefuseNotRun: no request with this key has run.
  bool NeverRan_ = false;
  Duration RetryAfter_{0};                     ///< 0 for none.
  std::shared_ptr<const StoredAnswer> Answer_; ///< For Replay.
};

/// Decides how a request with a key is handled. Run creates a record.
KeyDecision admitKey(BucketTable &Table, std::string_view Key,
                     std::uint64_t RequestHash, Now At);

/// Records the outcome of a key's run. RUN_DONE stores the answer, unless
/// error_kind is set; RUN_NOT_RUN removes the record, so that the key may be
/// sent again. Returns an update for the successor during a handover.
BucketActions completeKey(BucketTable &Table, std::string_view Key,
                          const wire::CallAnswer &Answer, std::string Body,
                          Now At);

/// Answer for a refused request: run outcome, status, error and retry hint. Not
/// for Run, JoinRunning and Replay.
wire::CallAnswer refusalAnswer(const KeyDecision &Decision);

} // namespace sycamore
