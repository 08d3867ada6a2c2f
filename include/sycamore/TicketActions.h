// Ticket service: the actions of operators on tickets. The reported outcome of
// an action agrees with the content of the store even if answers of the store
// are lost or several operators act concurrently.
#pragma once

#include "sycamore/Head.h"
#include "sycamore/Random.h"
#include "sycamore/Settings.h"
#include "sycamore/Store.h"

#include <variant>

namespace sycamore {

/// Largest distance of an explicit number above the next free one. A mistyped
/// number would otherwise make all numbers below it permanently unusable,
/// because later tickets must have higher ones.
inline constexpr std::uint64_t MaxNumberGap = 1000;

/// The operator who runs an action.
struct TicketOperator {
  std::string Name_;
  /// Signs a digest and returns hex; empty if operators have no keys.
  std::function<std::string(std::string_view)> Sign_;
  /// Known operators with their rights; if empty, every operator may do
  /// everything.
  std::vector<OperatorEntry> Operators_;
  bool RequireSecondOperator_ = false;
};

/// Access to the store and to the clock, with delays for retries.
struct TicketSession {
  BlockingStoreClient &Store_;
  std::function<TimePoint()> Clock_;
  std::function<void(Duration)> Wait_; ///< Blocks for the given time.
  Random &Rng_;
  /// Time limit of an action including its retries. An answer that is still
  /// outstanding at the limit is not awaited.
  Duration Deadline_ = seconds(10);
};

/// The change took effect.
struct TicketActionAccepted {
  std::uint64_t Number_ = 0;
  /// The answer of the store was lost, and a later read found the change.
  bool FoundByReading_ = false;
};

/// The change did not take effect and never will.
struct TicketActionNotAccepted {
  std::uint64_t Number_ = 0; ///< 0 if no number was assigned.
  Error Reason_;             ///< Unavailable if the store was not reached.
};

/// The change may have taken effect or may still take effect.
struct TicketActionUnknown {
  std::uint64_t Number_ = 0;
  Error Reason_;
  std::string StatusCommand_; ///< Shell command that shows the outcome.
};

using TicketActionOutcome =
    std::variant<TicketActionAccepted, TicketActionNotAccepted,
                 TicketActionUnknown>;

/// Files Change under its number, or under the next free one when that is 0.
TicketActionOutcome fileTicket(const TicketSession &Session,
                               const TicketOperator &Operator,
                               const Ticket &Change, WallTime Now);

/// Accepts a filed ticket. Fails with Conflict if a concurrent acceptance
/// changes an entity of the ticket; other concurrent acceptances only cause a
/// retry.
TicketActionOutcome approveTicket(const TicketSession &Session,
                                  const TicketOperator &Operator,
                                  std::uint64_t Number, WallTime Now);

/// Withdraws a filed ticket.
TicketActionOutcome withdrawTicket(const TicketSession &Session,
                                   const TicketOperator &Operator,
                                   std::uint64_t Number, WallTime Now);

/// The head and the snapshot that it describes.
struct HeadView {
  /// Store revision of the last change of the head; 0 before the first
  /// acceptance.
  std::int64_t HeadRevision_ = 0;
  Head Head_;
  Snapshot Current_; ///< The snapshot in force.
};

Result<HeadView> readHead(const TicketSession &Session);

/// Errors: NotFound, Unavailable, InvalidData.
Result<TicketRecord> showTicket(const TicketSession &Session,
                                std::uint64_t Number);

/// At most Limit records with numbers below Before (0: no bound), newest first.
Result<std::vector<TicketRecord>> listTickets(const TicketSession &Session,
                                              std::uint64_t Limit,
                                              std::uint64_t Before);

enum class TicketStanding {
  NotFiled,
  Filed,      ///< Can be approved.
  Overtaken,  ///< Filed, but a higher number is in force.
  Withdrawn,  ///< Will never be accepted.
  InForce,    ///< The last accepted ticket.
  Superseded, ///< Accepted, as were later tickets.
};

std::string_view ticketStandingName(TicketStanding Value);

struct TicketStatus {
  std::uint64_t Number_ = 0;
  TicketStanding Standing_ = TicketStanding::NotFiled;
  std::optional<TicketRecord> Record_;
  std::uint64_t HeadNumber_ = 0;
};

/// Record and head are read in one transaction.
Result<TicketStatus> ticketStatus(const TicketSession &Session,
                                  std::uint64_t Number);

/// One entity that a ticket names, before and after the ticket.
struct EntityChange {
  std::string Path_; ///< For example "routes.stock".
  Json Before_;      ///< Null if absent.
  Json After_;       ///< Null if removed.
};

struct TicketDiff {
  std::uint64_t HeadNumber_ = 0;
  TicketRecord Record_;
  std::vector<EntityChange> Changes_; ///< Entities that differ.
  /// Set if the ticket is filed but cannot be applied to the state in force.
  std::optional<Error> Problem_;
};

Result<TicketDiff> diffTicket(const TicketSession &Session,
                              std::uint64_t Number);

/// All entities that a ticket names, with their definitions in Current and in
/// the ticket, which may be equal.
std::vector<EntityChange> changesAgainst(const State &Current,
                                         const Ticket &Change);

} // namespace sycamore
