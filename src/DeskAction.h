// One operator action in progress: its deadline, its calls and its waits.
//
// A write whose answer was lost may take effect at any later moment, until a
// key that it compares has changed. Each action therefore remembers the
// revisions that its doubtful write compares, and says "not accepted" only
// after it has read another revision without finding its own id.
#pragma once

#include "sycamore/TicketDesk.h"

namespace sycamore {

/// What became of one write.
enum class WriteEnd {
  Applied,
  Mismatch, ///< A comparison did not hold; nothing was applied.
  NotRun,   ///< The store did not run it; another attempt may succeed.
  Refused,  ///< The store refuses it for good.
  Maybe,    ///< Nobody can tell yet.
};

class DeskAction {
public:
  explicit DeskAction(const DeskSession &Session)
      : Session_(Session), End_(Session.Clock_() + Session.Deadline_) {}

  bool expired() const { return Session_.Clock_() >= End_; }

  /// Waits with jitter that grows with each attempt, at most until the
  /// deadline.
  void backOff();

  /// Reads are repeated until they succeed or the deadline passes.
  Result<TxnResult> read(const std::vector<RangeRequest> &Reads);

  /// One attempt; the error, if any, is kept in lastError().
  WriteEnd write(const Txn &Request);

  const Error &lastError() const { return LastError_; }

  /// The head and the snapshot in force. Extra is read in the same transaction
  /// as the head; its answers follow in Answers.
  Result<HeadView> readHead(const std::vector<RangeRequest> &Extra = {},
                            std::vector<RangeResult> *Answers = nullptr);

private:
  /// One call's limit, cut to what is left.
  Duration callDeadline() const;
  Result<Snapshot> readBase(std::uint64_t Number);

  const DeskSession &Session_;
  TimePoint End_;
  std::uint32_t Attempts_ = 0;
  Error LastError_{ErrorKind::Unavailable, "the store was not asked", ""};
  std::optional<Snapshot> Base_; ///< The base snapshot read last.
};

/// The record under Value, whose number must be the key's.
Result<TicketRecord> parseRecordAt(const KeyValue &Value, std::uint64_t Number);

/// The number in a key under `tickets/`, 0 for another key.
std::uint64_t ticketNumberOf(std::string_view Key);

RangeRequest oneKey(std::string Key);

Error notFiled(std::uint64_t Number);

std::string ticketName(std::uint64_t Number);

std::int64_t unixMicroseconds(WallTime Now);

/// Revisions that a doubtful write compares; it is dead once either differs.
struct Doubt {
  std::uint64_t Number_ = 0;
  std::int64_t HeadRevision_ = 0;
  std::int64_t RecordRevision_ = 0;
};

DeskOutcome refuse(std::uint64_t Number, Error Why);

/// The end of an action that can do no more: unknown while a write is in
/// doubt, not accepted otherwise.
DeskOutcome giveUp(const std::optional<Doubt> &Pending, std::uint64_t Number,
                   const Error &Why);

/// Ends an action after a write that the store refuses for good.
DeskOutcome endRefused(const std::optional<Doubt> &Pending,
                       std::uint64_t Number, const Error &Why);

/// PermissionDenied unless the operator has the right; Action is a verb.
std::optional<Error> checkRight(const DeskOperator &Operator,
                                bool OperatorEntry::*Right,
                                std::string_view Action);

} // namespace sycamore
