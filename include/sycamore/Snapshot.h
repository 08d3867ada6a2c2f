// Immutable snapshots of the state in force. The state is a pure function of
// the accepted tickets, which a chain of SHA-256 digests protects.
#pragma once

#include "sycamore/Ticket.h"

#include <memory>
#include <span>
#include <unordered_map>

namespace sycamore {

/// One accepted ticket, as stored in the head and sent between daemons.
struct AcceptedTicket {
  Ticket Ticket_;
  std::string Filer_;
  std::string Approver_;
  std::string AcceptanceId_; ///< Random, finds it after a lost answer.
  std::int64_t AcceptedUnixUs_ = 0;
  std::string PreviousDigest_; ///< Empty for the first ticket.
  std::string StateDigest_;    ///< Of the state after this ticket.
  std::string Digest_;         ///< SHA-256 over all fields above, in hex.
  std::string Signature_;      ///< Ed25519 over Digest_, hex; may be empty.

  bool operator==(const AcceptedTicket &) const = default;
};

Json toJson(const AcceptedTicket &Value);
Result<AcceptedTicket> parseAcceptedTicket(const Json &Document,
                                           std::string_view Source);

/// Routes, services, targets and tenants by name.
struct State {
  std::map<std::string, Route> Routes_;
  std::map<std::string, Service> Services_;
  std::map<std::string, TargetSpec> Targets_;
  /// Empty where requests need no credential.
  std::map<std::string, Tenant> Tenants_;

  bool operator==(const State &) const = default;
};

Json toJson(const State &Value);

/// Immutable. Each call holds a shared pointer to its snapshot until it ends.
struct Snapshot {
  std::uint64_t Number_ = 0; ///< 0 before the first ticket.
  std::string Digest_;       ///< Empty before the first ticket.
  State State_;
  /// The acceptance that produced this snapshot; unset before the first ticket
  /// and for snapshots of full-state documents.
  std::optional<AcceptedTicket> LastAcceptance_;
  /// Names of routes by routeKey(host, path prefix); routes that list methods
  /// come first.
  std::unordered_map<std::string, std::vector<std::string>> RoutesByKey_;
  /// Names of admitted targets by service.
  std::map<std::string, std::vector<std::string>> TargetsOfService_;
  /// Names of tenants by the digests of their credentials.
  std::unordered_map<std::string, std::string> TenantsByKey_;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// Number and complete state of a configuration that is maintained as a single
/// document in an external format.
struct FullState {
  std::uint64_t Number_ = 0;
  State State_;
  /// Values of a later format that the parser does not know and replaced by the
  /// most restrictive one that it knows; one line for each, with its field.
  std::vector<std::string> Substitutions_;
};

/// A full-state document that was parsed before, and the state that it gave.
struct ParsedDocument {
  std::string_view Text_;
  const State *State_ = nullptr;
};

/// Snapshot of a full-state document. Text is the document, whose SHA-256
/// becomes the digest of the snapshot. Errors: InvalidTicket for dangling
/// references.
Result<Snapshot> snapshotFromDocument(FullState Value, std::string_view Text);

/// SHA-256 in hex.
std::string sha256Hex(std::string_view Bytes);

/// SHA-256 of the encoded state, in hex.
std::string stateDigest(const State &Value);

/// Digest of an acceptance over all its fields except Digest_ and Signature_.
std::string chainDigest(const AcceptedTicket &Value);

/// The state after a ticket is applied to Before. Errors are of kind
/// InvalidTicket and list every dangling reference and every removal of an
/// absent entity; a ticket is never applied in part.
Result<State> applyToState(const State &Before, const Ticket &Change);

/// References of a state to services or targets that do not exist, and to
/// targets of another service, and credentials of two tenants; one line for
/// each.
std::vector<std::string> danglingReferences(const State &Value);

/// Applies an acceptance to the snapshot of its direct predecessor. Checks
/// number, digest chain, state digest and references; a failed check yields an
/// error and no snapshot.
Result<Snapshot> applyTicket(const Snapshot &Before,
                             const AcceptedTicket &Accepted);

/// Applies a chain of consecutive acceptances. Only the state digest of the
/// last one is checked: each digest of the chain covers its acceptance and all
/// before it, and hashing the state of 690 targets takes 1.1 ms, against 0.1 ms
/// for the rest of applying one acceptance.
Result<Snapshot> applyTickets(const Snapshot &Before,
                              std::span<const AcceptedTicket> Chain);

/// A complete snapshot, as stored under `snapshots/` and sent to peers that are
/// too far behind.
Json toJson(const Snapshot &Value);

/// Reads a complete snapshot and checks its state against the digests of the
/// acceptance that it contains.
Result<Snapshot> parseSnapshot(const Json &Document, std::string_view Source);

/// The route that matches a request, or null. Routes of this host precede
/// routes of every host; among them, the longest path prefix wins.
const Route *matchRoute(const Snapshot &Current, std::string_view Host,
                        std::string_view Method, std::string_view Path,
                        std::string *RouteName = nullptr);

/// Name of the tenant that holds a credential, or null.
const std::string *findTenant(const Snapshot &Current,
                              std::string_view Credential);

/// Rank of a request among those of a target; 0 is the most urgent. TenantName
/// is empty for a request without a credential. Where the state has tenants,
/// the priority of the tenant precedes that of the route.
std::uint32_t requestPriority(const Snapshot &Current, const Route &Matched,
                              const std::string &TenantName);

/// Whether a request on this route may run more than once.
bool isIdempotent(const Route &Matched, std::string_view Method);

/// The timeout of the route if it has one, else that of Service, which serves
/// the request.
milliseconds timeoutOf(const Snapshot &Current, const Route &Matched,
                       const std::string &Service);

/// The service for one request on a route. A split route selects by weight,
/// with Draw uniformly distributed in [0, 1).
const std::string &chooseService(const Route &Matched, double Draw);

} // namespace sycamore
