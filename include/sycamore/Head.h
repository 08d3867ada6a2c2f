// The store's head: which ticket is accepted last, with the recent tickets
// inline and a reference to the snapshot below them.
#pragma once

#include "sycamore/Snapshot.h"
#include "sycamore/Store.h"

namespace sycamore {

/// Recent tickets inline in the head, in bytes, before a new base snapshot is
/// written.
inline constexpr std::size_t MaxRecentBytes = 16U << 10U;

struct Head {
  std::uint64_t Number_ = 0; ///< 0 before the first acceptance.
  std::string Digest_;
  std::string AcceptanceId_;
  /// Snapshot on which Recent_ builds; 0 for the empty state.
  std::uint64_t BaseNumber_ = 0;
  std::vector<AcceptedTicket> Recent_; ///< Ascending; the last is Number_.

  bool operator==(const Head &) const = default;
};

Json toJson(const Head &Value);

/// An empty text (an absent key) is the head before the first acceptance.
Result<Head> parseHead(std::string_view Text);

/// The snapshot that a head describes, given its base.
Result<Snapshot> resolveHead(const Head &Value, const Snapshot &Base);

enum class TicketState { Filed, Accepted, Withdrawn };

std::string_view ticketStateName(TicketState Value);

/// The value under `tickets/`.
struct TicketRecord {
  TicketState State_ = TicketState::Filed;
  Ticket Ticket_;
  std::string Filer_;
  std::string FilingId_; ///< Random, finds a lost answer again.
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

/// What an acceptance writes. Both puts and the comparisons go into one
/// transaction; Snapshot_ is written before it when set.
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
  /// Signs a digest; returns hex. Empty when operators have no keys.
  std::function<std::string(std::string_view)> Sign_;
  bool RequireSecondOperator_ = false;
};

/// Decides whether the record may be accepted on top of Current, which is the
/// snapshot of HeadBefore, and what to write. Errors: Conflict when the number
/// is not above the head's or the record is not filed; InvalidTicket when it
/// does not apply; PermissionDenied for the filer's own approval; TooLarge when
/// a value would pass the store's limit.
Result<AcceptancePlan> planAcceptance(const Head &HeadBefore,
                                      const Snapshot &Current,
                                      const TicketRecord &Record,
                                      const AcceptanceRequest &Request);

struct FilingRequest {
  std::string Filer_;
  std::string FilingId_;
  std::int64_t NowUnixUs_ = 0;
};

/// Decides whether Change, whose number is set, may be filed while Current, the
/// snapshot of HeadBefore, is in force, and the record to create. Errors:
/// Conflict when the number is not above the head's, and those of
/// planAcceptance().
Result<TicketRecord> planFiling(const Head &HeadBefore, const Snapshot &Current,
                                const Ticket &Change,
                                const FilingRequest &Request);

struct WithdrawalRequest {
  std::string Operator_;
  std::string WithdrawalId_;
  std::int64_t NowUnixUs_ = 0;
};

/// The record after its withdrawal. Errors: Conflict unless it is filed.
Result<TicketRecord> planWithdrawal(const TicketRecord &Record,
                                    const WithdrawalRequest &Request);

/// Pairs of routes with the same host, path prefix and a common method, of
/// which one would never match; one line each.
std::vector<std::string> duplicateRoutes(const State &Value);

} // namespace sycamore
