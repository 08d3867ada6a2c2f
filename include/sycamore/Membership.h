// Tables of the fleet's servers and targets. Gossip and anti-entropy replicate
// them to all daemons; probes detect failed servers.
#pragma once

#include "sycamore/Outbox.h"
#include "sycamore/Random.h"
#include "sycamore/Snapshot.h"
#include "sycamore/Time.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace sycamore {

struct MembershipConfig {
  std::string Name_; ///< Of this server; unique in the fleet.
  std::string DataCentre_;
  std::string PeerAddress_;   ///< At which other daemons reach this one.
  std::string PublicKey_;     ///< CURVE key of the peer endpoint; may be empty.
  std::uint64_t Process_ = 0; ///< See wire::ServerRecord::process.
  double LinkMbps_ = 0;       ///< Rate of this server's link; 0 if not known.

  Duration GossipInterval_ = milliseconds(200);
  std::uint32_t GossipFanout_ = 3; ///< Neighbours that one round sends to.
  /// An item is sent at most ceil(log2(n)) + this many times, where n is the
  /// number of known servers.
  std::uint32_t GossipExtraSends_ = 2;

  Duration ProbeInterval_ = seconds(1);
  Duration ProbeTimeout_ = milliseconds(400); ///< Before indirect probes.
  std::uint32_t ProbeSuccessors_ = 3; ///< Ring successors that are probed.
  std::uint32_t IndirectProbes_ = 2;  ///< Servers that probe on request.
  /// Consecutive failed rounds until suspicion.
  std::uint32_t FailedRoundLimit_ = 3;
  /// Until a suspect is declared dead.
  Duration SuspicionTimeout_ = seconds(3);

  Duration HeartbeatInterval_ = seconds(2); ///< Between heartbeat tables.
  Duration SyncInterval_ = seconds(5); ///< Mean; between table comparisons.
  /// Least transit time that is added to the ages in a received message.
  Duration TransitAllowance_ = milliseconds(100);
  /// A server without a heartbeat for this long is not used for calls, even
  /// if no daemon has declared it dead (a partitioned data centre).
  Duration StaleAfter_ = seconds(90);
  /// Records of departed servers and removed targets are kept this long, so
  /// that an outdated copy cannot bring them back.
  Duration DepartedRetention_ = std::chrono::hours(1);
  /// Departed targets that are remembered for one server. At most one target at
  /// a time runs beside a server, so older ones ended long ago.
  std::uint32_t MaxDepartedTargets_ = 64;
  /// A longer gap between two ticks counts as a freeze of this process.
  Duration FreezeThreshold_ = seconds(2);
  std::uint32_t ReadersPerDataCentre_ = 2; ///< Daemons that read the store.

  /// For tests only: clearing a flag disables one rule; see
  /// test/mutations.txt.
  bool RefuteForTest_ = true;
  bool OwnerOnlyForTest_ = true;
  bool IndirectForTest_ = true;
  bool CountTransitForTest_ = true;
  bool ReturnDeparturesForTest_ = true;
  bool HeardPeersForTest_ = true;
  bool ConfirmReadersForTest_ = true;
  bool ContactReadersForTest_ = true;
};

struct MembershipCounters {
  std::uint64_t ProbesSent_ = 0;
  std::uint64_t ProbeRoundsFailed_ = 0;
  std::uint64_t IndirectProbesSent_ = 0;
  std::uint64_t Suspicions_ = 0; ///< Raised by this daemon.
  std::uint64_t Refutations_ = 0;
  std::uint64_t Deaths_ = 0; ///< Declared by this daemon.
  std::uint64_t Freezes_ = 0;
  std::uint64_t RecordsSent_ = 0;
  std::uint64_t RecordsReceived_ = 0;
  std::uint64_t RecordsIgnored_ = 0; ///< Outdated, duplicate or rejected.
  std::uint64_t HeartbeatTablesSent_ = 0;
  std::uint64_t HeartbeatSectionsUsed_ = 0;
  std::uint64_t HeartbeatSectionsIgnored_ = 0; ///< Member lists differ.
  std::uint64_t Repairs_ = 0; ///< Table comparisons that found a difference.
};

enum class MembershipEventKind {
  ServerJoined,
  ServerAlive, ///< Returned, or refuted a suspicion.
  ServerSuspect,
  ServerLeaving,
  ServerLeft,
  ServerDead,
  TargetChanged,
  OwnIncarnationRaised,
  WokeFromFreeze,
};

std::string_view membershipEventName(MembershipEventKind Kind);

struct MembershipEvent {
  MembershipEventKind Kind_ = MembershipEventKind::ServerJoined;
  std::string Name_; ///< Of the server or target.
};

using MembershipEvents = std::vector<MembershipEvent>;

/// One row of the server table.
struct ServerRow {
  wire::ServerRecord Record_;
  std::uint64_t RingHash_ = 0; ///< Hash of the name: position on the ring.
  TimePoint StateSince_;       ///< When this daemon learned the state.
  /// Latest time at which the server is known to have run Ticket_; unset before
  /// its first heartbeat.
  std::optional<TimePoint> LastHeartbeat_;
  std::uint64_t Ticket_ = 0;
  std::uint64_t RejectedTicket_ = 0;
  std::uint64_t HighestTicket_ = 0; ///< Over all incarnations of the server.
};

struct TargetRow {
  wire::TargetRecord Record_;
  TimePoint LearnedAt_; ///< When this daemon learned the record.
};

/// Target name and server name.
using TargetKey = std::pair<std::string, std::string>;

/// The latest probe of one server.
struct ProbeState {
  std::uint64_t Sequence_ = 0;
  TimePoint SentAt_;
  bool Answered_ = true;
  bool Indirect_ = false;
  std::uint32_t FailedRounds_ = 0;
};

/// A probe sent at the request of another server.
struct RelayedProbe {
  std::string Requester_;
  std::uint64_t RequesterSequence_ = 0;
  std::string Server_;
  TimePoint StartedAt_;
};

/// A target process that announced that it leaves, see wire::DepartedTarget.
struct DepartureRow {
  std::int64_t StartedUnixMs_ = 0;
  TimePoint LearnedAt_;
};

enum class GossipKind { Server, Target, Quarantine, Departure };

struct GossipKey {
  GossipKind Kind_ = GossipKind::Server;
  std::string Name_;  ///< Server, target or fingerprint.
  std::string Owner_; ///< Server of a target or departure, else empty.

  auto operator<=>(const GossipKey &) const = default;
};

/// A changed record in the gossip queue. Server and target records are read
/// from their tables when they are sent.
struct GossipItem {
  std::uint32_t SendsLeft_ = 0;
  std::set<std::string> KnownBy_; ///< Servers that sent it or were sent it.
  /// Data centres to whose readers this reader has yet to send it.
  std::set<std::string> PendingDataCentres_;
  wire::QuarantineRecord Quarantine_; ///< Only for quarantine records.
};

/// Links of this server, derived from the server table.
struct Overlay {
  std::vector<std::string> Ring_; ///< Own data centre, by hash of the name.
  /// Finger table: successors at distances 1, 2, 4 ... on the ring.
  std::vector<std::string> Fingers_;
  /// Neighbours in the own data centre.
  std::vector<std::string> LocalNeighbours_;
  std::vector<std::string> RemoteReaders_; ///< Empty unless a reader.
  /// Readers by data centre; one without readers has no entry.
  std::map<std::string, std::vector<std::string>> Readers_;
};

/// Whether the readers of the own data centre answer this server. Other servers
/// may still answer it, and the readers them, so that the tables list all as
/// alive while no ticket arrives.
struct ReaderContact {
  std::uint32_t UnansweredProbes_ = 0; ///< Since a reader was heard.
  TimePoint NextProbe_;
  bool Lost_ = false; ///< Until a reader is heard.
};

struct Membership {
  MembershipConfig Config_;
  std::map<std::string, ServerRow> Servers_; ///< Includes this server.
  std::map<TargetKey, TargetRow> Targets_;
  /// By server and target name. Kept for other servers so that their restarted
  /// daemons can learn them again.
  std::map<std::pair<std::string, std::string>, DepartureRow> Departures_;
  Overlay Overlay_;
  bool OverlayStale_ = false;
  bool Joined_ = false; ///< A complete table has arrived from a peer.
  /// Time of the last message from a peer; the start before the first one.
  TimePoint HeardAt_;
  ReaderContact ReaderContact_;
  std::map<GossipKey, GossipItem> GossipQueue_;
  std::map<std::string, ProbeState> Probes_;
  std::map<std::uint64_t, RelayedProbe> RelayedProbes_;
  /// Time of the last repair with each peer, and of the last correction sent to
  /// each sender with an outdated record. They limit the rate of repairs and of
  /// corrections independently.
  std::map<std::string, TimePoint> LastRepairAt_;
  std::map<std::string, TimePoint> LastCorrectionAt_;
  std::uint64_t NextSequence_ = 1;
  Now Time_; ///< Of the last tick, message or leave call.
  TimePoint LastTick_;
  /// End of the last freeze of this process. Messages received shortly
  /// afterwards may be outdated.
  TimePoint ResumedAt_;
  TimePoint NextGossip_;
  TimePoint NextProbe_;
  std::int64_t HeartbeatRound_ = 0;
  std::uint32_t GossipRound_ = 0;
  TimePoint NextSync_;
  TimePoint NextScan_; ///< Of suspicion timeouts and expiry.
  TimePoint NextOverlay_;
  /// Servers whose links went silent, and the time until which each is probed.
  std::map<std::string, TimePoint> SilentServers_;
  MembershipCounters Counters_;
};

/// Tables that hold this server only. Its incarnation is Time's wall clock in
/// microseconds since the epoch.
Membership makeMembership(MembershipConfig Config, Now Time);

/// Runs probes, gossip, heartbeats, anti-entropy and expiry; to be called every
/// 20 ms. Messages in Out carry sender and incarnation.
MembershipEvents tickMembership(Membership &Members, Now Time, Random &Rng,
                                Outbox &Out);

/// Handles Probe, ProbeAck, IndirectProbe, Gossip and SyncDigest. For any
/// message, a sender that is unknown here or recorded as departed is sent a
/// correction. Quarantine records in Gossip are left to the caller, which
/// forwards them with gossipQuarantine().
MembershipEvents receiveMembership(Membership &Members,
                                   const wire::PeerMessage &Message, Now Time,
                                   Random &Rng, Outbox &Out);

/// Sets sender and incarnation of messages that other modules created.
void stampSender(const Membership &Members, Outbox &Out);

/// Sets the ticket in force on this server, which heartbeat tables carry.
void setOwnTicket(Membership &Members, std::uint64_t Number);
void setOwnRejectedTicket(Membership &Members, std::uint64_t Number);
void setOwnBuckets(Membership &Members,
                   std::span<const wire::HeldBucket> Buckets);

/// Records that a target beside this server announced itself. A record is
/// gossiped only if something changed; a target that was leaving or removed
/// becomes usable again. Ignored unless this server is alive.
void announceTarget(Membership &Members, std::string_view Name,
                    std::string_view Service, std::uint32_t Slots, Now Time,
                    std::string_view SoftwareVersion = {});

/// Removes a target that deleted its announcement or missed 3 of them.
void withdrawTarget(Membership &Members, std::string_view Name, Now Time);

/// Excludes the target from new work.
void markTargetLeaving(Membership &Members, std::string_view Name, Now Time);

/// Records that a target process beside this server, and every earlier one of
/// its name, has announced that it leaves, and notifies all neighbours at once.
/// Returns false if that was known.
bool recordDeparture(Membership &Members, std::string_view Target,
                     std::int64_t StartedUnixMs, Now Time, Outbox &Out);

/// Adds departures from the store or from an answer to this server. They are
/// not gossiped.
void learnDepartures(Membership &Members,
                     std::span<const wire::DepartedTarget> Departures,
                     Now Time);

/// Start time of the latest departed process of a target beside this server;
/// unset if none is known.
std::optional<std::int64_t> departedProcess(const Membership &Members,
                                            std::string_view Target);

/// The known departed targets of a server, for an answer to it.
std::vector<wire::DepartedTarget> departuresOf(const Membership &Members,
                                               const std::string &Server);

/// Excludes this server and its targets from new work, and notifies all
/// neighbours at once.
void startLeaving(Membership &Members, Now Time, Outbox &Out);

/// Marks this server as left before its process ends, and notifies all
/// neighbours at once.
void finishLeaving(Membership &Members, Now Time, Outbox &Out);

/// Adds servers from settings or from the seeds in the store. Such a record
/// never changes one that is already known.
void addSeeds(Membership &Members, std::span<const wire::ServerRecord> Seeds,
              Now Time);

/// Queues quarantine records for bounded gossip.
void gossipQuarantine(Membership &Members,
                      std::span<const wire::QuarantineRecord> Records);

/// Servers to which this daemon keeps links: about 2 log2(n) of the n servers
/// in its data centre and, if it is a reader, the readers of all other data
/// centres.
std::vector<std::string> neighbours(const Membership &Members);

/// The servers that read the store for a data centre, as this daemon sees it.
std::vector<std::string> readersOf(const Membership &Members,
                                   std::string_view DataCentre);
bool isReader(const Membership &Members);

/// Whether nothing shows that tickets reach this server from its peers: no peer
/// has been heard for two probe intervals, the readers of its data centre do
/// not answer it, or they are known from seeds alone.
bool isIsolated(const Membership &Members, Now Time);

/// Names of alive and suspect servers; leaving, left and dead ones are
/// excluded. An empty DataCentre means all.
std::vector<std::string> aliveServers(const Membership &Members,
                                      std::string_view DataCentre = "");

/// Class of the rate of a server's link, higher for faster ones. Each class
/// spans a factor of two; 0 if the rate is not known.
int linkClass(const wire::ServerRecord &Record);

/// Null for a server that is unknown or whose record has expired.
const wire::ServerRecord *findServer(const Membership &Members,
                                     std::string_view Name);

struct EligibleTarget {
  std::string Name_;
  std::string Server_;
  std::string DataCentre_; ///< Of the server.
  std::uint32_t Slots_ = 0;
  bool Suspect_ = false; ///< Its server does not answer probes.
  std::string Version_;  ///< Of its software; empty when not announced.
};

/// Targets of a service that the snapshot admits, that are announced and not
/// leaving, and whose server is alive or suspect and not stale (StaleAfter_).
std::vector<EligibleTarget> eligibleTargets(const Membership &Members,
                                            const Snapshot &Current,
                                            std::string_view Service);

/// Reports that a link to this server went silent while calls were in progress.
/// The server is probed like a successor for 2 s and suspected after one failed
/// round, so that its failure is detected sooner than by its predecessors on
/// the ring alone.
void onLinkSilent(Membership &Members, std::string_view Name, Now Time);

struct FleetRow {
  std::string Name_;
  std::string DataCentre_;
  wire::ServerState State_ = wire::SERVER_ALIVE;
  std::uint64_t Ticket_ = 0;
  std::uint64_t RejectedTicket_ = 0;
  /// Upper bound of the time since the row was true; unset without any
  /// heartbeat of the server.
  std::optional<Duration> Age_;
};

/// One row per server record, sorted by name.
std::vector<FleetRow> fleetView(const Membership &Members, Now Time);

/// Readers of the other data centres; empty unless this daemon is a reader.
std::vector<std::string> remoteReaders(const Membership &Members);

/// Highest ticket known to have run at a peer address, over all incarnations
/// and names; 0 when none is known.
std::uint64_t highestTicketAt(const Membership &Members,
                              std::string_view PeerAddress);

} // namespace sycamore
