// The daemon's replica of the configuration. It moves to newer tickets only,
// and applies an offer either completely or not at all.
#pragma once

#include "sycamore/Head.h"
#include "sycamore/Snapshot.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sycamore {

struct ConfigReplicaConfig {
  /// Public keys of the operators by name, 64 hex digits each. When not empty,
  /// every ticket needs the signature of its approver.
  std::map<std::string, std::string> Operators_;
  /// Parses full-state documents in the operators' own format. When set, such
  /// documents replace heads, tickets and snapshots, and carry no signature.
  /// Before is the document in force, with an empty text when there is none;
  /// parts that are the same in it need not be parsed again.
  std::function<Result<FullState>(std::string_view Text,
                                  const ParsedDocument &Before)>
      ParseDocument_;
  /// Most bytes of JSON of accepted tickets that are kept for lagging peers.
  std::size_t MaxRecentBytes_ = 256U << 10U;

  /// Only for tests: each switches one check off, see test/mutations.txt.
  bool MonotoneForTest_ = true;
  bool SignaturesForTest_ = true;
};

struct ConfigReplicaCounters {
  std::uint64_t Applied_ = 0;
  std::uint64_t AlreadyHave_ = 0; ///< Offers of the same or an older ticket.
  std::uint64_t Gaps_ = 0;
  std::uint64_t Rejected_ = 0;
};

enum class OfferOutcome {
  Applied,
  AlreadyHave, ///< The offer is not newer than the ticket in force.
  Gap,         ///< Tickets in between, or a base snapshot, are missing.
  Rejected,    ///< The offer failed a check; nothing of it was applied.
};

std::string_view offerOutcomeName(OfferOutcome Outcome);

struct OfferResult {
  OfferOutcome Outcome_ = OfferOutcome::AlreadyHave;
  std::uint64_t Number_ = 0; ///< Ticket in force after the call.
  /// After a Gap from offerHead(): number of the base snapshot to read; else 0.
  std::uint64_t RequiredBase_ = 0;
  std::optional<Error> Error_; ///< Set when Rejected.
};

struct RetainedTicket {
  AcceptedTicket Accepted_;
  std::string Json_; ///< As sent to peers.
};

struct Rejection {
  std::uint64_t Number_ = 0;
  Error Error_;
};

struct ConfigReplica {
  ConfigReplicaConfig Config_;
  SnapshotPointer Current_ = std::make_shared<const Snapshot>();
  /// Ascending, without gaps up to Current_.
  std::deque<RetainedTicket> Recent_;
  std::size_t RecentSize_ = 0; ///< Bytes of JSON in Recent_.
  std::string Document_;       ///< Full-state document in force; else empty.
  /// The last offer that failed a check; cleared when the next ticket is
  /// applied.
  std::optional<Rejection> Rejection_;
  ConfigReplicaCounters Counters_;
};

ConfigReplica makeConfigReplica(ConfigReplicaConfig Config);

/// Offers one accepted ticket from a peer.
OfferResult offerTicket(ConfigReplica &Replica, const AcceptedTicket &Accepted);

/// Offers the store's head. Base is the base snapshot that the head names, or
/// null when it has not been read; it is needed only when the head's inline
/// tickets do not reach back to the ticket in force.
OfferResult offerHead(ConfigReplica &Replica, const Head &Value,
                      const Snapshot *Base = nullptr);

/// Offers a full-state document from a peer or the store.
/// Config_.ParseDocument_ must be set.
OfferResult offerDocument(ConfigReplica &Replica, std::string_view Text);

/// Offers a snapshot in JSON from a peer or the store, or a full-state document
/// when Config_.ParseDocument_ is set. Source names the sender in errors.
OfferResult offerSnapshot(ConfigReplica &Replica, std::string_view Text,
                          std::string_view Source);

/// Returns the JSON of the accepted tickets that follow the ticket with this
/// number and a digest that starts with Digest. Unset when they are not kept;
/// the peer then needs a snapshot.
std::optional<std::vector<std::string>>
ticketsAfter(const ConfigReplica &Replica, std::uint64_t Number,
             std::string_view Digest);

} // namespace sycamore
