// The head in the store: the last accepted ticket, with the recent tickets
// inline and a reference to the base snapshot on which they build.
#pragma once

#include "sycamore/Snapshot.h"
#include "sycamore/Store.h"

namespace sycamore {

/// Largest total size in bytes of several inline tickets in the head. An
/// acceptance that would exceed it writes a new base snapshot and leaves only
/// its own ticket inline.
inline constexpr std::size_t MaxRecentBytes = 16U << 10U;

struct Head {
  std::uint64_t Number_ = 0; ///< 0 before the first acceptance.
  std::string Digest_;
  std::string AcceptanceId_;
  /// Number of the snapshot on which Recent_ builds; 0 for the empty state.
  std::uint64_t BaseNumber_ = 0;
  std::vector<AcceptedTicket> Recent_; ///< By ascending number, up to Number_.

  bool operator==(const Head &) const = default;
};

Json toJson(const Head &Value);

/// An empty text (an absent key) is the head before the first acceptance.
Result<Head> parseHead(std::string_view Text);

/// The snapshot that a head describes, given its base snapshot.
Result<Snapshot> resolveHead(const Head &Value, const Snapshot &Base);

enum class TicketState { Filed, Accepted, Withdrawn };

std::string_view ticketStateName(TicketState Value);

/// A ticket with its history, as stored under `tickets/`.
struct TicketRecord {
  TicketState State_ = TicketState::Filed;
  Ticket Ticket_;
  std::string Filer_;
  std::string FilingId_; ///< Random, finds the filing after a lost answer.
  std::int64_t FiledUnixUs_ = 0;
  std::string Approver_;     ///< Who accepted or withdrew it.
  std::string AcceptanceId_; ///< Set once accepted.
  std::string WithdrawalId_; ///< Set once withdrawn.
  std::int64_t DecidedUnixUs_ = 0;

  bool operator==(const TicketRecord &) const = default;
};

Json toJson(const TicketRecord &Value);
Result<TicketRecord> parseTicketRecord(std::string_view Text,
                                       std::string_view Source);

/// The writes of an acceptance. Puts_ (head and ticket record) and the revision
/// comparisons go into one transaction; Snapshot_, if set, is written before
/// it.
struct AcceptancePlan {
  AcceptedTicket Accepted_;
  Head Head_;
  std::optional<Put> Snapshot_;
  std::vector<Put> Puts_;
};

struct AcceptanceRequest {
  std::string Approver_;
  std::string AcceptanceId_;
  std::int64_t NowUnixUs_ = 0;
  /// Signs a digest and returns hex; empty if operators have no keys.
  std::function<std::string(std::string_view)> Sign_;
  bool RequireSecondOperator_ = false;
};

/// Checks whether the record can be accepted on top of Current, the snapshot of
/// HeadBefore, and returns what to write. Errors: Conflict if the number is not
/// above the head's or the record is not in state Filed; InvalidTicket if the
/// ticket cannot be applied; PermissionDenied if a second operator is required
/// but the filer approves; TooLarge if a value would exceed the store's limit.
Result<AcceptancePlan> planAcceptance(const Head &HeadBefore,
                                      const Snapshot &Current,
                                      const TicketRecord &Record,
                                      const AcceptanceRequest &Request);

struct FilingRequest {
  std::string Filer_;
  std::string FilingId_;
  std::int64_t NowUnixUs_ = 0;
};

/// Checks whether Change, whose number is set, can be filed while Current, the
/// snapshot of HeadBefore, is in force, and returns the record to create.
/// Errors: Conflict if the number is not above the head's, and those of
/// planAcceptance().
Result<TicketRecord> planFiling(const Head &HeadBefore, const Snapshot &Current,
                                const Ticket &Change,
                                const FilingRequest &Request);

struct WithdrawalRequest {
  std::string Operator_;
  std::string WithdrawalId_;
  std::int64_t NowUnixUs_ = 0;
};

/// The record after its withdrawal. Errors: Conflict unless Record is in state
/// Filed.
Result<TicketRecord> planWithdrawal(const TicketRecord &Record,
                                    const WithdrawalRequest &Request);

/// Pairs of routes with the same host, path prefix and a common method, so that
/// one route of the pair would never match; one line for each pair.
std::vector<std::string> duplicateRoutes(const State &Value);

} // namespace sycamore
