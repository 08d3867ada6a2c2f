// Operators' actions on tickets. Each action ends with a truthful outcome
// although answers of the store are lost and operators race.
#pragma once

#include "sycamore/Head.h"
#include "sycamore/Random.h"
#include "sycamore/Settings.h"
#include "sycamore/Store.h"

#include <variant>

namespace sycamore {

/// How far an explicit number may lie above the next free one. A mistyped
/// number would otherwise use up the numbers for good, because later tickets
/// must have higher ones.
inline constexpr std::uint64_t MaxNumberGap = 1000;

/// Who acts.
struct DeskOperator {
  std::string Name_;
  /// Signs a digest, returns hex; empty when operators have no keys.
  std::function<std::string(std::string_view)> Sign_;
  /// Known operators with their rights; empty when everyone may do everything.
  std::vector<OperatorEntry> Operators_;
  bool RequireSecondOperator_ = false;
};

/// What an action needs to talk to the store and to wait between attempts.
struct DeskSession {
  StoreSession &Store_;
  std::function<TimePoint()> Clock_;
  std::function<void(Duration)> Wait_; ///< Returns after that time.
  Random &Rng_;
  /// Limit for one whole action with all its retries; an answer that is under
  /// way at the limit is not waited for longer.
  Duration Deadline_ = seconds(10);
};

/// The change took effect.
struct DeskAccepted {
  std::uint64_t Number_ = 0;
  /// The answer of the store was lost, the effect was found by reading.
  bool FoundByReading_ = false;
};

/// The change did not take effect and never will.
struct DeskNotAccepted {
  std::uint64_t Number_ = 0; ///< 0 when no number was taken.
  Error Why_;                ///< Unavailable when the store was not reached.
};

/// The change may have taken effect, or may still do so.
struct DeskUnknown {
  std::uint64_t Number_ = 0;
  Error Why_;
  std::string Command_; ///< Finds out.
};

using DeskOutcome = std::variant<DeskAccepted, DeskNotAccepted, DeskUnknown>;

/// Files Change under its number, or under the next free one when that is 0.
DeskOutcome fileTicket(const DeskSession &Session, const DeskOperator &Operator,
                       const Ticket &Change, WallTime Now);

/// Accepts a filed ticket. A rival that changes an entity of the ticket
/// meanwhile makes this a Conflict; other rivals only cause another attempt.
DeskOutcome approveTicket(const DeskSession &Session,
                          const DeskOperator &Operator, std::uint64_t Number,
                          WallTime Now);

/// Withdraws a filed ticket.
DeskOutcome withdrawTicket(const DeskSession &Session,
                           const DeskOperator &Operator, std::uint64_t Number,
                           WallTime Now);

/// The head with the snapshot in force.
struct HeadView {
  std::int64_t HeadRevision_ = 0; ///< 0 before the first acceptance.
  Head Head_;
  Snapshot Current_;
};

Result<HeadView> readHead(const DeskSession &Session);

/// Errors: NotFound, Unavailable, InvalidData.
Result<TicketRecord> showTicket(const DeskSession &Session,
                                std::uint64_t Number);

/// At most Limit records with numbers below Before (0: no bound), newest first.
Result<std::vector<TicketRecord>> listTickets(const DeskSession &Session,
                                              std::uint64_t Limit,
                                              std::uint64_t Before);

enum class TicketStanding {
  NotFiled,
  Filed,      ///< Can be approved.
  Overtaken,  ///< Filed, but a higher number is in force.
  Withdrawn,  ///< Will never be accepted.
  InForce,    ///< The last accepted ticket.
  Superseded, ///< Accepted, with later tickets on top of it.
};

std::string_view ticketStandingName(TicketStanding Value);

struct TicketStatus {
  std::uint64_t Number_ = 0;
  TicketStanding Standing_ = TicketStanding::NotFiled;
  std::optional<TicketRecord> Record_;
  std::uint64_t HeadNumber_ = 0;
};

/// Record and head are read in one transaction.
Result<TicketStatus> ticketStatus(const DeskSession &Session,
                                  std::uint64_t Number);

/// One entity that differs from the state in force.
struct EntityChange {
  std::string Path_; ///< For example "routes.stock".
  Json Before_;      ///< Null when absent.
  Json After_;       ///< Null when removed.
};

struct TicketDiff {
  std::uint64_t HeadNumber_ = 0;
  TicketRecord Record_;
  std::vector<EntityChange> Changes_;
  /// Why the ticket could not be applied to the state in force, if so.
  std::optional<Error> Problem_;
};

Result<TicketDiff> diffTicket(const DeskSession &Session, std::uint64_t Number);

/// The entities of a ticket that differ between a state and the ticket.
std::vector<EntityChange> changesAgainst(const State &Current,
                                         const Ticket &Change);

} // namespace sycamore
