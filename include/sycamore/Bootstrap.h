// Start of a daemon: finds its floor, the lowest ticket with which it may
// serve, by querying the store and its peers. Also schedules the store calls
// that a reader makes for its data centre.
#pragma once

#include "sycamore/ConfigReplica.h"
#include "sycamore/Membership.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace sycamore {

struct BootstrapConfig {
  std::vector<std::string> Peers_; ///< Names of bootstrap peers.
  /// First store read: uniform in 0 to this.
  Duration MaxReadDelay_ = seconds(5);
  Duration MinRetryDelay_ = seconds(5); ///< After a failed store read.
  Duration MaxRetryDelay_ = seconds(10);
  /// A peer that has not answered is queried again after this time, one that
  /// has answered after RefreshInterval_.
  Duration QueryInterval_ = seconds(1);
  Duration RefreshInterval_ = seconds(3);
  /// The highest ticket among the peers' answers must be unchanged for this
  /// long before it becomes the floor.
  Duration StableTime_ = seconds(2);
  /// A store read without an answer counts as failed after this time.
  Duration ReadTimeout_ = seconds(3);
  /// After its first store read, time for which a daemon waits for a peer that
  /// has a floor: a restored store may lack a ticket that peers run.
  Duration PeerWait_ = milliseconds(500);
  /// Minimum time between two store reads that answer floor queries.
  Duration VerifyInterval_ = milliseconds(200);
  Duration HeadInterval_ = seconds(10); ///< Of reads of `head`, less up to 10%.
  Duration SeedsInterval_ = seconds(30); ///< Minimum time between two writes.
  std::uint32_t MaxSeeds_ = 8;
  /// Time from reaching the floor until the daemon may act as a reader.
  Duration ReaderDelay_ = seconds(5);

  /// Only for tests: each switches one rule off, see test/mutations.txt.
  bool JitterForTest_ = true;
  bool WaitForAllForTest_ = true;
  bool CombineReadsForTest_ = true;
  bool VerifyByReadForTest_ = true;
  bool WatchUntilJoinedForTest_ = true;
  bool PeersBeforeStoreForTest_ = true;
};

struct BootstrapCounters {
  std::uint64_t QueriesSent_ = 0;
  std::uint64_t QueriesReceived_ = 0;
  std::uint64_t AnswersSent_ = 0;
  std::uint64_t VerifiedAnswersSent_ = 0;
  std::uint64_t AnswersReceived_ = 0;
  std::uint64_t StoreReadsRequested_ = 0;
  std::uint64_t StoreReadsFailed_ = 0;
  std::uint64_t StoreReadsAvoided_ = 0; ///< Replaced by a verified answer.
};

enum class FloorBasis {
  None,
  Store, ///< This daemon's own read of `head`, or a newer ticket of a peer.
  VerifiedAnswer, ///< A reader's read of `head`, begun after the query.
  Peers,          ///< All alive servers of the data centre; the store is down.
};

std::string_view floorBasisName(FloorBasis Basis);

struct PendingFloorQuery {
  std::string Requester_;
  std::uint64_t QueryNonce_ = 0;
  std::string PeerAddress_;
  TimePoint ArrivedAt_;
};

/// The latest floor answer of one peer.
struct PeerFloor {
  bool HasFloor_ = false;
  std::uint64_t Number_ = 0; ///< Larger of number and seen_number.
  std::string Digest_;
  std::vector<std::string> AliveServers_;
  TimePoint QueriedAt_;
  std::optional<TimePoint> AnsweredAt_;
};

/// Result of the first store read, until the floor is established.
struct StoreTicket {
  std::uint64_t Number_ = 0;
  TimePoint ReadAt_;
};

struct Bootstrap {
  BootstrapConfig Config_;
  /// Random for each start; the answers repeat it.
  std::uint64_t QueryNonce_ = 0;
  FloorBasis Basis_ = FloorBasis::None;
  std::uint64_t Floor_ = 0; ///< Valid unless Basis_ is None.
  /// When the ticket in force reached Floor_.
  std::optional<TimePoint> FloorReachedAt_;
  /// The last read failed; peers may give the floor.
  bool StoreFailed_ = false;
  TimePoint NextRead_;
  std::optional<TimePoint> ReadStartedAt_; ///< Start of the pending read.
  std::optional<StoreTicket> StoreTicket_;
  std::map<std::string, PeerFloor> Peers_; ///< Servers queried so far.
  std::uint64_t HighestTicket_ = 0;        ///< Among the answers.
  TimePoint HighestTicketSince_;
  /// Queries that await a verified answer.
  std::vector<PendingFloorQuery> PendingQueries_;
  TimePoint NextVerification_;
  // Schedule of a reader's store calls.
  TimePoint NextHead_;
  TimePoint NextSeeds_;
  /// Names in the seeds key, as last read or written.
  std::vector<std::string> CurrentSeeds_;
  /// The last read found no seeds for this data centre.
  bool SeedsMissing_ = false;
  BootstrapCounters Counters_;
};

Bootstrap makeBootstrap(BootstrapConfig Config, Now Time, Random &Rng);

enum class BootstrapEventKind {
  FloorKnown,   ///< Number_ is the floor; the ticket may still be missing.
  FloorReached, ///< The daemon may serve from now on.
};

struct BootstrapEvent {
  BootstrapEventKind Kind_ = BootstrapEventKind::FloorKnown;
  FloorBasis Basis_ = FloorBasis::None;
  std::uint64_t Number_ = 0;
};

struct BootstrapStep {
  /// Read `head` and the seeds key of this data centre in one transaction, then
  /// call onStoreRead(). At most one read is requested at a time.
  bool ReadStore_ = false;
  std::vector<BootstrapEvent> Events_;
};

/// Queries peers, requests store reads and checks whether the floor is reached;
/// call it every 20 ms.
BootstrapStep tickBootstrap(Bootstrap &Boot, const Membership &Members,
                            const ConfigReplica &Replica, Now Time, Random &Rng,
                            Outbox &Out);

/// Handles the FloorAnswer of a peer; ignores other messages. The ticket that
/// it names is pulled by receiveDissemination().
std::vector<BootstrapEvent> receiveFloorAnswer(Bootstrap &Boot,
                                               const Membership &Members,
                                               const ConfigReplica &Replica,
                                               const wire::PeerMessage &Message,
                                               Now Time);

/// Answers a peer's FloorQuery: a reader that has its floor answers after its
/// next store read, any other daemon at once and without verification.
void answerFloorQuery(Bootstrap &Boot, const Membership &Members,
                      const ConfigReplica &Replica,
                      const wire::PeerMessage &Message, Now Time, Outbox &Out);

/// Result of a store read that tickBootstrap() requested. Offer the head to the
/// replica before passing the result to onStoreRead().
struct StoreReadResult {
  TimePoint StartedAt_; ///< When the read was sent.
  /// Number and digest of `head`; unset when the read failed or its outcome is
  /// not known.
  std::optional<std::uint64_t> Number_;
  std::string Digest_;
};

/// Answers the floor queries that waited for the read, and establishes the
/// floor of this daemon.
std::vector<BootstrapEvent> onStoreRead(Bootstrap &Boot,
                                        const Membership &Members,
                                        const ConfigReplica &Replica,
                                        const StoreReadResult &Read, Now Time,
                                        Random &Rng, Outbox &Out);

/// Whether this daemon may serve: its floor is known and the ticket in force
/// is at or above it. Never becomes false again.
bool hasFloor(const Bootstrap &Boot);

/// Store operations that a reader performs now.
struct ReaderStep {
  bool WatchHead_ = false; ///< Keep a watch on `head` while this is set.
  /// Read `head` and the seeds key in one transaction; offer the head to the
  /// replica and the seeds to addSeeds().
  bool ReadHead_ = false;
  /// Write these servers to the seeds key by compare-and-swap; at most every
  /// 30 s, and only when they changed.
  std::optional<std::vector<wire::ServerRecord>> WriteSeeds_;
};

/// Records the content of the seeds key as it was last read or written, so that
/// unchanged seeds are not written again.
void recordSeeds(Bootstrap &Boot, std::span<const wire::ServerRecord> Seeds);

/// The store was restored from a copy and may have lost the seeds: a reader
/// writes them as soon as the next read shows that they differ.
void recordStoreRestored(Bootstrap &Boot, Now Time);

/// Call it every 20 ms, also on daemons that are not readers.
ReaderStep tickReader(Bootstrap &Boot, const Membership &Members, Now Time,
                      Random &Rng);

} // namespace sycamore
