// Tables of servers and targets, kept alike on all daemons by probes, gossip
// and anti-entropy.
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
  std::string PeerAddress_;   ///< Where other daemons reach this one.
  std::string PublicKey_;     ///< CURVE key of the peer endpoint; may be empty.
  std::uint64_t Process_ = 0; ///< See wire::ServerRecord::process.

  Duration GossipInterval_ = milliseconds(200);
  std::uint32_t GossipFanout_ = 3; ///< Neighbours for each round of gossip.
  /// Sends of one item beyond log2 of the servers known.
  std::uint32_t GossipExtraSends_ = 2;

  Duration ProbeInterval_ = seconds(1);
  Duration ProbeTimeout_ = milliseconds(400); ///< Then indirect probes start.
  std::uint32_t ProbeSuccessors_ = 3;
  std::uint32_t IndirectProbes_ = 2;
  std::uint32_t FailedRounds_ = 3; ///< Failed rounds until suspicion.
  Duration SuspicionTime_ = seconds(3);

  Duration HeartbeatInterval_ = seconds(2); ///< Of the table of ages.
  Duration SyncInterval_ = seconds(5);      ///< Of the comparison of tables.
  /// Added to every age that a message carries, for its time on the way.
  Duration TransitAllowance_ = milliseconds(100);
  /// A server without a heartbeat for this long is not used for calls, even
  /// though nobody has declared it dead (a data centre that is cut off).
  Duration StaleAfter_ = seconds(90);
  /// Records of servers and targets that are gone are kept this long, so that
  /// an old copy cannot bring them back.
  Duration GoneRetention_ = std::chrono::hours(1);
  /// Longer gaps between two ticks count as a freeze of this process.
  Duration FreezeThreshold_ = seconds(2);
  std::uint32_t ReadersPerDataCentre_ = 2;

  /// Only for tests: each switches one rule off, see test/mutations.txt.
  bool RefuteForTest_ = true;
  bool OwnerOnlyForTest_ = true;
  bool IndirectForTest_ = true;
  bool CountTransitForTest_ = true;
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
  std::uint64_t RecordsIgnored_ = 0; ///< Old, duplicate or not allowed.
  std::uint64_t HeartbeatTablesSent_ = 0;
  std::uint64_t HeartbeatSectionsUsed_ = 0;
  std::uint64_t HeartbeatSectionsIgnored_ = 0; ///< Tables differ in members.
  std::uint64_t Repairs_ = 0; ///< Comparisons that found a difference.
};

enum class MembershipEventKind {
  ServerJoined,
  ServerAlive, ///< Came back, or refuted a suspicion.
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
  std::uint64_t RingHash_ = 0; ///< Of the name.
  TimePoint StateSince_;       ///< When this daemon learned the state.
  /// When the server was known to run Ticket_; unset until heard of.
  std::optional<TimePoint> HeardAt_;
  std::uint64_t Ticket_ = 0;
  std::uint64_t RejectedTicket_ = 0;
  std::uint64_t HighestTicket_ = 0; ///< Over all its incarnations.
};

struct TargetRow {
  wire::TargetRecord Record_;
  TimePoint Since_; ///< When this daemon learned the record.
};

/// By target name, then server name.
using TargetKey = std::pair<std::string, std::string>;

/// A probe of one successor.
struct ProbeState {
  std::uint64_t Sequence_ = 0;
  TimePoint SentAt_;
  bool Answered_ = true;
  bool Indirect_ = false;
  std::uint32_t FailedRounds_ = 0;
};

/// A probe made for another server.
struct ProbeOnBehalf {
  std::string Asker_;
  std::uint64_t AskerSequence_ = 0;
  std::string Server_;
  TimePoint At_;
};

enum class GossipKind { Server, Target, Quarantine };

struct GossipKey {
  GossipKind Kind_ = GossipKind::Server;
  std::string Name_;  ///< Server, target or fingerprint.
  std::string Owner_; ///< Server of a target, else empty.

  auto operator<=>(const GossipKey &) const = default;
};

/// One changed record that is still to be sent; it is looked up when sent.
struct GossipItem {
  std::uint32_t SendsLeft_ = 0;
  std::set<std::string> Told_; ///< Servers that sent it or were sent it.
  /// Data centres whose readers this reader still has to tell.
  std::set<std::string> Remote_;
  wire::QuarantineRecord Mark_; ///< Only for quarantine marks.
};

/// Links of this server, derived from the server table.
struct Overlay {
  std::vector<std::string> Ring_;  ///< Own data centre, by hash of the name.
  std::vector<std::string> Ahead_; ///< At distances 1, 2, 4 ... on the ring.
  std::vector<std::string> Local_; ///< Neighbours in the own data centre.
  std::vector<std::string> RemoteReaders_; ///< Empty unless a reader.
  std::map<std::string, std::vector<std::string>> Readers_;
};

struct Membership {
  MembershipConfig Config_;
  std::map<std::string, ServerRow> Servers_; ///< Includes this server.
  std::map<TargetKey, TargetRow> Targets_;
  Overlay Overlay_;
  bool OverlayStale_ = false;
  bool Joined_ = false; ///< A whole table has arrived from a peer.
  std::map<GossipKey, GossipItem> Queue_;
  std::map<std::string, ProbeState> Probes_;
  std::map<std::uint64_t, ProbeOnBehalf> OnBehalf_;
  /// When a repair was last started with a peer, and the last answer to a
  /// sender whose record is out of date; each limits its own.
  std::map<std::string, TimePoint> RepairedAt_;
  std::map<std::string, TimePoint> CorrectedAt_;
  std::uint64_t NextSequence_ = 1;
  Now Time_; ///< Of the last call with a time.
  TimePoint LastTick_;
  TimePoint WokeAt_; ///< Messages until shortly afterwards may be old.
  TimePoint NextGossip_;
  TimePoint NextProbe_;
  std::int64_t HeartbeatRound_ = 0;
  std::uint32_t GossipRound_ = 0;
  TimePoint NextSync_;
  TimePoint NextScan_; ///< Of suspicion timers and expiry.
  TimePoint NextOverlay_;
  /// Servers whose links went silent, until when they are probed.
  std::map<std::string, TimePoint> Doubted_;
  MembershipCounters Counters_;
};

/// A table that holds this server only. Its incarnation is Now's wall time.
Membership makeMembership(MembershipConfig Config, Now Time);

/// Probes, gossip, heartbeats and expiry; call it every 20 ms. Messages in Out
/// carry sender and incarnation.
MembershipEvents tickMembership(Membership &Members, Now Time, Random &Rng,
                                Outbox &Out);

/// Takes Probe, ProbeAck, IndirectProbe, Gossip and SyncDigest; any other
/// message only counts as a sign of life. Quarantine marks in Gossip are the
/// caller's to read; spreadQuarantine() passes them on.
MembershipEvents receiveMembership(Membership &Members,
                                   const wire::PeerMessage &Message, Now Time,
                                   Random &Rng, Outbox &Out);

/// Sets sender and incarnation of messages that other modules made.
void stampSender(const Membership &Members, Outbox &Out);

/// The ticket in force here; it travels in the heartbeat tables.
void setOwnTicket(Membership &Members, std::uint64_t Number);
void setOwnRejectedTicket(Membership &Members, std::uint64_t Number);
void setOwnBuckets(Membership &Members,
                   std::span<const wire::HeldBucket> Buckets);

/// A target beside this server announced itself. Spreads a record only when
/// something changed; a target that was leaving or gone becomes usable again.
void announceTarget(Membership &Members, std::string_view Name,
                    std::string_view Service, std::uint32_t Slots, Now Time);

/// The target is gone: it deleted its announcement or missed 3 of them.
void withdrawTarget(Membership &Members, std::string_view Name, Now Time);

/// The target takes no new work from now on.
void markTargetLeaving(Membership &Members, std::string_view Name, Now Time);

/// This server and its targets take no new work; tells all neighbours at once.
void startLeaving(Membership &Members, Now Time, Outbox &Out);

/// The last message before the process ends; tells all neighbours at once.
void finishLeaving(Membership &Members, Now Time, Outbox &Out);

/// Servers from settings or the store's seeds. Such a record never changes one
/// that is known already.
void learnSeeds(Membership &Members, std::span<const wire::ServerRecord> Seeds,
                Now Time);

/// Queues quarantine marks for bounded gossip.
void spreadQuarantine(Membership &Members,
                      std::span<const wire::QuarantineRecord> Marks);

/// Servers to which this daemon keeps links: about 2 log2(n) of its data
/// centre, and the readers of the other ones if it is a reader.
std::vector<std::string> neighbours(const Membership &Members);

/// The servers that read the store for a data centre, in this daemon's view.
std::vector<std::string> readersOf(const Membership &Members,
                                   std::string_view DataCentre);
bool isReader(const Membership &Members);

/// Names of servers that are not gone (suspects included, leaving excluded);
/// an empty DataCentre means all.
std::vector<std::string> aliveServers(const Membership &Members,
                                      std::string_view DataCentre = "");

/// Null for a server that was never heard of or whose record has expired.
const wire::ServerRecord *findServer(const Membership &Members,
                                     std::string_view Name);

struct EligibleTarget {
  std::string Name_;
  std::string Server_;
  std::string DataCentre_; ///< Of the server.
  std::uint32_t Slots_ = 0;
  bool Suspect_ = false; ///< Its server does not answer probes.
};

/// Targets of a service that are admitted by the snapshot AND announced AND not
/// leaving AND whose server is alive.
std::vector<EligibleTarget> eligibleTargets(const Membership &Members,
                                            const Snapshot &Current,
                                            std::string_view Service);

/// A link with calls under way to this server went silent. It is probed like a
/// successor for a while and suspected after one failed round, so that the
/// fleet learns of a lost server sooner than from its predecessors on the ring.
void noteSilent(Membership &Members, std::string_view Name, Now Time);

struct FleetRow {
  std::string Name_;
  std::string DataCentre_;
  wire::ServerState State_ = wire::SERVER_ALIVE;
  std::uint64_t Ticket_ = 0;
  std::uint64_t RejectedTicket_ = 0;
  /// At most this long ago the row was true; unset when the server was never
  /// heard of.
  std::optional<Duration> Age_;
};

/// One row for each record, by name.
std::vector<FleetRow> fleetView(const Membership &Members, Now Time);

/// Readers of the other data centres; empty unless this daemon is a reader.
std::vector<std::string> remoteReaders(const Membership &Members);

/// Highest ticket known to have run at a peer address, over all incarnations
/// and names; 0 when none is known.
std::uint64_t highestTicketAt(const Membership &Members,
                              std::string_view PeerAddress);

} // namespace sycamore
