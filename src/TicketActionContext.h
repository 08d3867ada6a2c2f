// Context of a running operator action: deadline, store calls and back-off.
//
// A write whose answer was lost may take effect at any later time, until a key
// that it compares has changed. An action therefore keeps the revisions that a
// write with an unknown outcome compares. It reports "not accepted" only after
// it has read a different revision and has not found its own id.
#pragma once

#include "sycamore/TicketActions.h"

namespace sycamore {

/// The outcome of one write transaction.
enum class WriteOutcome {
  Applied,
  Mismatch, ///< A comparison failed; nothing was applied.
  NotRun,   ///< The store did not run it; a retry may succeed.
  Refused,  ///< The store refuses it permanently.
  Unknown,  ///< The answer was lost; it may be applied now or later.
};

class TicketAction {
public:
  explicit TicketAction(const TicketSession &Session)
      : Session_(Session), ExpiresAt_(Session.Clock_() + Session.Deadline_) {}

  bool expired() const { return Session_.Clock_() >= ExpiresAt_; }

  /// Waits with exponential back-off and jitter, at most until the deadline.
  void backOff();

  /// Repeats the reads until they succeed or the deadline passes, unless the
  /// store refuses them.
  Result<TxnResult> read(const std::vector<RangeRequest> &Reads);

  /// Sends the transaction once; an error is kept in lastError().
  WriteOutcome write(const Txn &Request);

  const Error &lastError() const { return LastError_; }

  /// The head and the snapshot in force. ExtraReads are part of the same
  /// transaction as the read of the head; ExtraResults receives their results.
  Result<HeadView> readHead(const std::vector<RangeRequest> &ExtraReads = {},
                            std::vector<RangeResult> *ExtraResults = nullptr);

private:
  /// The time limit of one call, reduced to the remaining time of the action.
  Duration callTimeout() const;
  Result<Snapshot> readBase(std::uint64_t Number);

  const TicketSession &Session_;
  TimePoint ExpiresAt_;
  std::uint32_t Attempts_ = 0;
  Error LastError_{ErrorKind::Unavailable, "no request was sent to the store",
                   ""};
  std::optional<Snapshot> CachedBase_; ///< The last base snapshot read.
};

/// Parses a stored ticket record, whose number must be Number, that of its key.
Result<TicketRecord> parseStoredRecord(const KeyValue &Value,
                                       std::uint64_t Number);

/// The ticket number in a key under `tickets/`, 0 for another key.
std::uint64_t ticketNumberOf(std::string_view Key);

RangeRequest singleKeyRequest(std::string Key);

Error notFiledError(std::uint64_t Number);

std::string ticketName(std::uint64_t Number);

std::int64_t toUnixMicroseconds(WallTime Now);

/// A write with an unknown outcome and the revisions that it compares. It can
/// no longer take effect once either revision has changed.
struct UncertainWrite {
  std::uint64_t Number_ = 0;
  std::int64_t HeadRevision_ = 0;
  std::int64_t RecordRevision_ = 0;
};

TicketActionOutcome notAccepted(std::uint64_t Number, Error Reason);

/// The outcome of an action that stops with an error: unknown if a write may
/// still take effect, else not accepted.
TicketActionOutcome
finishWithError(const std::optional<UncertainWrite> &Uncertain,
                std::uint64_t Number, const Error &Reason);

/// The outcome of an action whose write the store refuses permanently.
TicketActionOutcome
finishWithStoreRefusal(const std::optional<UncertainWrite> &Uncertain,
                       std::uint64_t Number, const Error &Reason);

/// PermissionDenied unless the operator has the right; Action is the verb for
/// the message.
std::optional<Error> checkPermission(const TicketOperator &Operator,
                                     bool OperatorEntry::*Permission,
                                     std::string_view Action);

} // namespace sycamore
