// What a starting daemon asks, whom it asks and when it may serve; and what a
// reader asks of the store for its data centre.
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
  std::vector<std::string> Peers_;      ///< Names of bootstrap peers.
  Duration MaxReadDelay_ = seconds(5);  ///< First store read: uniform from 0.
  Duration MinRetryDelay_ = seconds(5); ///< After a store read that failed.
  Duration MaxRetryDelay_ = seconds(10);
  /// A peer without an answer is asked again after this time, one that has
  /// answered after RefreshInterval_.
  Duration QueryInterval_ = seconds(1);
  Duration RefreshInterval_ = seconds(3);
  Duration StableTime_ = seconds(2); ///< The maximum must not change so long.
  /// A store read without an answer is given up after this time.
  Duration ReadTimeout_ = seconds(3);
  /// Least time between two store reads that answer floor queries.
  Duration VerifyInterval_ = milliseconds(200);
  Duration HeadInterval_ = seconds(10);  ///< Of a reader's reads of `head`.
  Duration SeedsInterval_ = seconds(30); ///< Least time between two writes.
  std::uint32_t MaxSeeds_ = 8;
  /// A daemon takes up the reader's work this long after it has its floor.
  Duration ReaderDelay_ = seconds(5);

  /// Only for tests: each switches one rule off, see test/mutations.txt.
  bool JitterForTest_ = true;
  bool WaitForAllForTest_ = true;
  bool CombineReadsForTest_ = true;
  bool VerifyByReadForTest_ = true;
};

struct BootstrapCounters {
  std::uint64_t QueriesSent_ = 0;
  std::uint64_t QueriesReceived_ = 0;
  std::uint64_t AnswersSent_ = 0;
  std::uint64_t VerifiedAnswersSent_ = 0;
  std::uint64_t AnswersReceived_ = 0;
  std::uint64_t StoreReadsWanted_ = 0;
  std::uint64_t StoreReadsFailed_ = 0;
  std::uint64_t StoreReadsSpared_ = 0; ///< A verified answer came first.
};

enum class FloorBasis {
  None,
  Store,          ///< This daemon's own read of `head`.
  VerifiedAnswer, ///< A reader's read of `head`, begun after the question.
  Peers,          ///< All alive servers of the data centre, the store down.
};

std::string_view floorBasisName(FloorBasis Basis);

struct WaitingQuestion {
  std::string Asker_;
  std::uint64_t Question_ = 0;
  std::string PeerAddress_;
  TimePoint ArrivedAt_;
};

/// The newest answer of one peer.
struct PeerFloor {
  bool HasFloor_ = false;
  std::uint64_t Number_ = 0; ///< The larger of its ticket and the one seen.
  std::string Digest_;
  std::vector<std::string> AliveServers_;
  TimePoint AskedAt_;
  std::optional<TimePoint> AnsweredAt_;
};

struct Bootstrap {
  BootstrapConfig Config_;
  std::uint64_t Question_ = 0; ///< Random for each start.
  FloorBasis Basis_ = FloorBasis::None;
  std::uint64_t Floor_ = 0;          ///< Valid when Basis_ is set.
  std::optional<TimePoint> FloorAt_; ///< When Floor_ was reached.
  bool StoreFailed_ = false; ///< The last read failed; peers may decide.
  TimePoint NextRead_;
  std::optional<TimePoint> ReadSince_;     ///< A read is under way.
  std::map<std::string, PeerFloor> Peers_; ///< Servers asked so far.
  std::uint64_t Maximum_ = 0;              ///< Over the answers.
  TimePoint MaximumSince_;
  std::vector<WaitingQuestion> Waiting_; ///< For a verified answer.
  TimePoint NextVerify_;
  // The work of a reader.
  TimePoint NextHead_;
  TimePoint NextSeeds_;
  std::vector<std::string> WrittenSeeds_; ///< Names, as last read or written.
  /// The last read found no seeds for the own data centre.
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
  /// Read `head` and the seeds key of the own data centre in one transaction,
  /// then call onStoreRead(). At most one read is wanted at a time.
  bool ReadStore_ = false;
  std::vector<BootstrapEvent> Events_;
};

/// Call it every 20 ms.
BootstrapStep tickBootstrap(Bootstrap &Boot, const Membership &Members,
                            const ConfigReplica &Replica, Now Time, Random &Rng,
                            Outbox &Out);

/// Takes the FloorAnswer of a peer; ignores other messages. The ticket that it
/// names is pulled by receiveDissemination().
std::vector<BootstrapEvent> receiveFloorAnswer(Bootstrap &Boot,
                                               const Membership &Members,
                                               const ConfigReplica &Replica,
                                               const wire::PeerMessage &Message,
                                               Now Time);

/// Answers a peer's FloorQuery: a reader with a floor after its next store
/// read, any other daemon at once and unverified.
void answerFloorQuery(Bootstrap &Boot, const Membership &Members,
                      const ConfigReplica &Replica,
                      const wire::PeerMessage &Message, Now Time, Outbox &Out);

/// Result of a store read that tickBootstrap() wanted. Offer the head to the
/// replica first.
struct StoreReadResult {
  TimePoint StartedAt_; ///< When the read was sent.
  /// Number and digest of `head`; unset when the read failed or its outcome is
  /// not known.
  std::optional<std::uint64_t> Number_;
  std::string Digest_;
};

/// Answers the questions that waited for the read, and establishes the own
/// floor.
std::vector<BootstrapEvent> onStoreRead(Bootstrap &Boot,
                                        const Membership &Members,
                                        const ConfigReplica &Replica,
                                        const StoreReadResult &Read, Now Time,
                                        Random &Rng, Outbox &Out);

/// Whether this daemon may serve: its floor is known and the ticket in force
/// is at or above it. Never becomes false again.
bool hasFloor(const Bootstrap &Boot);

/// What a reader asks of the store now.
struct ReaderStep {
  bool WatchHead_ = false; ///< Keep a watch on `head` while this is set.
  /// Read `head` and the seeds key in one transaction; offer the head to the
  /// replica and the seeds to learnSeeds().
  bool ReadHead_ = false;
  /// Write these servers to the seeds key by compare-and-swap; at most every
  /// 30 s, and only when they changed.
  std::optional<std::vector<wire::ServerRecord>> WriteSeeds_;
};

/// The seeds key as it was read or written last, so that equal seeds are not
/// written again.
void noteSeeds(Bootstrap &Boot, std::span<const wire::ServerRecord> Seeds);

/// Call it every 20 ms, also on daemons that are no readers.
ReaderStep tickReader(Bootstrap &Boot, const Membership &Members, Now Time,
                      Random &Rng);

} // namespace sycamore
