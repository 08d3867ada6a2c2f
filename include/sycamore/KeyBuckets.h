// Buckets of idempotency keys and the store lease under which this daemon holds
// some of them (docs/decisions/0002-idempotency-keys.md).
//
// Each key belongs to one bucket, and each bucket to at most one holder that
// may accept keys: the daemon whose lease the store binds to `buckets/<n>`. A
// daemon has one lease for all its buckets. It counts the lease from before the
// grant or renewal was sent, by its own monotonic clock.
//
// Now must be taken with the wall clock read before the monotonic one, or a
// pause between the two readings would pass off a lapsed lease as valid.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/PeerMessages.pb.h"
#include "sycamore/Random.h"
#include "sycamore/Store.h"

#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>

namespace sycamore {

struct KeyedLimits {
  std::uint32_t BucketCount_ = 16; ///< The same in the whole fleet.
  /// A key may be sent again for this long after its creation.
  Duration ResendWindow_ = std::chrono::minutes(10);
  /// Largest difference between any two wall clocks of daemons and callers.
  Duration ClockSkew_ = seconds(1);
  seconds LeaseTtl_{30};
  Duration KeepAliveEvery_ = seconds(10);
  /// Taken off the lease's end for clocks that run at different rates.
  Duration LeaseGuard_ = milliseconds(500);
  /// Pause after a failed store call; jitter of up to as much is added. It
  /// grows with each failure in a row, up to four times.
  Duration RetryPause_ = seconds(1);
  /// A server of rank 1 tries to take a bucket that has had no holder for this
  /// long, rank 2 after twice this time, rank 3 after four times, and so on,
  /// for the case that the servers before it cannot reach the store. So seven
  /// servers at most try during an outage of 10 min.
  Duration RankDelay_ = seconds(10);
  /// Records in one part of a handover, in bytes.
  std::size_t HandoverPartBytes_ = 256U << 10U;
  /// Longest time that a handed-over key may stay running at its old holder.
  Duration MaxRemoteRun_ = seconds(120);
  /// Of all buckets together; about 0.8 KB each with a small answer.
  std::size_t MaxRecords_ = 150000;
  std::size_t MaxAnswerBytes_ = 24U << 20U; ///< Bodies of kept answers.
};

enum class KeyState {
  Running,       ///< At this daemon.
  RemoteRunning, ///< Handed over while it ran; the old holder will tell.
  Done,          ///< With its answer.
  DoneNoAnswer,  ///< It ran, but the answer was dropped or damaged.
  Unknown,       ///< It may have run.
};

struct KeptAnswer {
  wire::CallAnswer Answer_;
  std::string Body_;
};

struct KeyEntry {
  KeyState State_ = KeyState::Running;
  std::uint64_t RequestHash_ = 0; ///< See requestHash().
  bool HasBirth_ = false;         ///< Whether the key tells its creation time.
  TimePoint KeepUntil_;
  TimePoint RunningSince_;
  std::shared_ptr<const KeptAnswer> Answer_;
};

enum class BucketState {
  Free,        ///< Not held here.
  Acquiring,   ///< A store call is under way.
  Held,        ///< Keys are accepted while the lease is valid.
  HandingOver, ///< Records were sent to a successor; no key is accepted.
};

/// A predecessor's word on a bucket, before the store has confirmed it.
struct PendingHandover {
  std::uint64_t Fence_ = 0;
  WallTime UnknownBefore_;
  TimePoint OpaqueUnknownUntil_;
  std::uint32_t Parts_ = 1;
  std::set<std::uint32_t> SeenParts_;
};

struct KeyBucket {
  BucketState State_ = BucketState::Free;
  /// Store revision at which it was taken.
  std::uint64_t Fence_ = 0;
  /// A key created before this time and without a record may have run.
  WallTime UnknownBefore_;
  /// The same for keys without a creation time, until this moment.
  TimePoint OpaqueUnknownUntil_;
  std::unordered_map<std::string, KeyEntry> Records_;
  /// Keys in the order in which their records end.
  std::deque<std::pair<TimePoint, std::string>> Expiry_;
  TimePoint NextTry_;
  /// Since when no server with a valid lease claims it; unset while one does.
  std::optional<TimePoint> UnheldSince_;
  std::optional<PendingHandover> Pending_;
  std::uint64_t ReplacesFence_ = 0; ///< Of the acquisition under way.
  std::int64_t AcquireLease_ = 0;   ///< Likewise; 0 when it began with a grant.
  std::string Successor_;           ///< Gets updates after a handover.
};

/// Put the bucket's key with this daemon's lease, if the key's modification
/// revision is ReplacesFence_ (0: absent). With LeaseId_ 0 the store must first
/// grant a lease of LeaseTtl_. Ends in exactly one of onAcquired(),
/// onAcquireConflict() and onAcquireFailed().
struct AcquireBucket {
  std::uint32_t Bucket_ = 0;
  std::int64_t LeaseId_ = 0;
  seconds LeaseTtl_{0};
  std::uint64_t ReplacesFence_ = 0;
  std::string Value_;
};

/// Ends in exactly one of onKeptAlive(), onKeepAliveFailed(), onLeaseLost().
struct KeepLeaseAlive {
  std::int64_t LeaseId_ = 0;
};

/// Delete the bucket's key if its modification revision is Fence_. Needs no
/// answer.
struct ReleaseBucket {
  std::uint32_t Bucket_ = 0;
  std::uint64_t Fence_ = 0;
};

/// Send records to another daemon.
struct SendHandover {
  std::string Server_;
  wire::BucketHandover Handover_;
};

using BucketAction =
    std::variant<AcquireBucket, KeepLeaseAlive, ReleaseBucket, SendHandover>;
using BucketActions = std::vector<BucketAction>;

/// Changes of state worth a log line.
struct BucketTaken {
  std::uint32_t Bucket_ = 0;
  std::uint64_t Fence_ = 0;
  bool WithRecords_ = false; ///< By handover.
};
struct BucketLost {
  std::uint32_t Bucket_ = 0;
  std::uint64_t Fence_ = 0;
};
struct LeaseLapsed {
  std::int64_t LeaseId_ = 0;
};
struct LeaseResumed {
  std::int64_t LeaseId_ = 0;
};
/// A key that others wait for has an outcome; see KeyedCalls.h.
struct KeySettled {
  std::string Key_;
};
using BucketEvent = std::variant<BucketTaken, BucketLost, LeaseLapsed,
                                 LeaseResumed, KeySettled>;

struct KeyedCallsCounters {
  std::uint64_t Run_ = 0;
  std::uint64_t Joined_ = 0;
  std::uint64_t Replayed_ = 0;
  std::uint64_t Mismatched_ = 0;
  std::uint64_t NotHolder_ = 0;
  std::uint64_t LeaseLapsed_ = 0;
  std::uint64_t HandingOver_ = 0;
  std::uint64_t FromTheFuture_ = 0;
  std::uint64_t Full_ = 0;
  std::uint64_t UnknownAfterTakeover_ = 0;
  std::uint64_t UnknownTooOld_ = 0;
  std::uint64_t UnknownOutcome_ = 0;
  std::uint64_t AnswersDropped_ = 0;
  std::uint64_t Acquired_ = 0;
  std::uint64_t AcquireFailures_ = 0;
  std::uint64_t KeepAlives_ = 0;
  std::uint64_t KeepAliveFailures_ = 0;
  std::uint64_t LeasesLost_ = 0;
  std::uint64_t HandoversSent_ = 0;
  std::uint64_t HandoversTaken_ = 0;
};

struct BucketTable {
  std::string Self_; ///< Name of this server.
  /// Start time of this process in microseconds since the epoch.
  std::uint64_t Process_ = 0;
  KeyedLimits Limits_;
  std::vector<KeyBucket> Buckets_;
  std::int64_t LeaseId_ = 0; ///< 0 for none.
  TimePoint LeaseValidUntil_;
  bool LeaseValid_ = false; ///< As last reported by an event.
  bool Leaving_ = false;
  /// The latest time that admitKey() or tickBuckets() was given. Records end
  /// by it, so no key may be judged by an earlier reading.
  Now Latest_;
  TimePoint NextKeepAlive_;
  bool KeepAliveInFlight_ = false;
  /// Store calls in a row that got no answer. While there are any, one bucket
  /// at a time is tried, so that an outage sees few calls.
  std::uint32_t StoreFailures_ = 0;
  TimePoint NextAcquire_; ///< After a failure.
  std::size_t Records_ = 0;
  std::size_t AnswerBytes_ = 0;
  /// Bucket and key of kept answers, oldest first.
  std::deque<std::pair<std::uint32_t, std::string>> Answers_;
  std::vector<BucketEvent> Events_; ///< See takeEvents().
  KeyedCallsCounters Counters_;
};

BucketTable makeBucketTable(std::string Self, std::uint64_t Process,
                            const KeyedLimits &Limits);

std::vector<BucketEvent> takeEvents(BucketTable &Table);

/// Bucket of a key, by xxh3.
std::uint32_t bucketOf(std::string_view Key, std::uint32_t BucketCount);

/// The server of the list that ranks first for a bucket by rendezvous hashing;
/// empty for an empty list.
std::string_view rendezvousOwner(std::uint32_t Bucket,
                                 std::span<const std::string> Servers);

struct BucketHolder {
  std::string Server_;
  std::uint64_t Fence_ = 0;
  bool Lapsed_ = false; ///< Its lease is not valid; see HeldBucket.lapsed.
};

/// Who holds a bucket according to the servers' records: the claim with the
/// highest fence. Nothing when no one claims it, or when the highest claim is
/// of a server that left or died; an older claim is then out of date.
std::optional<BucketHolder>
holderOf(std::uint32_t Bucket, std::span<const wire::ServerRecord> Records);

/// The same for all buckets, in one pass over the records.
std::vector<std::optional<BucketHolder>>
holdersOf(std::uint32_t BucketCount,
          std::span<const wire::ServerRecord> Records);

/// The claims of this daemon for its own server record.
std::vector<wire::HeldBucket> heldBuckets(const BucketTable &Table);

/// Whether this daemon may accept new keys of a bucket.
bool holdsBucket(const BucketTable &Table, std::uint32_t Bucket, TimePoint Now);

/// Position of a server in that ranking, from 0; the list's size if absent.
std::size_t rendezvousRank(std::uint32_t Bucket, std::string_view Server,
                           std::span<const std::string> Servers);

/// Renews the lease, acquires free buckets for which this daemon ranks first
/// among AliveServers (own name included), ends old records. Called every
/// 20 ms, but not before the membership has been learnt, or the first server
/// of a starting fleet would take all buckets.
BucketActions tickBuckets(BucketTable &Table,
                          std::span<const std::string> AliveServers,
                          std::span<const wire::ServerRecord> Records, Now At,
                          Random &Rng);

/// A lease as the store granted or renewed it.
struct LeaseAnswer {
  std::int64_t Id_ = 0;
  seconds Ttl_{0};
  TimePoint SentAt_; ///< Before the grant or renewal was sent.
};

/// The bucket's key was put at revision Fence. Granted is set when the
/// acquisition began with a grant. At must be read after the answer came.
void onAcquired(BucketTable &Table, std::uint32_t Bucket, std::uint64_t Fence,
                const std::optional<LeaseAnswer> &Granted, Now At);

/// The comparison failed and the store returned what it has. That is this
/// daemon's own claim if the answer to an earlier put was lost.
void onAcquireConflict(BucketTable &Table, std::uint32_t Bucket,
                       const KeyValue &Found,
                       const std::optional<LeaseAnswer> &Granted, Now At,
                       Random &Rng);

/// The store did not answer, or not usefully.
void onAcquireFailed(BucketTable &Table, std::uint32_t Bucket,
                     const std::optional<LeaseAnswer> &Granted, Now At,
                     Random &Rng);

void onKeptAlive(BucketTable &Table, const LeaseAnswer &Renewed, Now At);
void onKeepAliveFailed(BucketTable &Table, std::int64_t LeaseId, Now At,
                       Random &Rng);

/// The store has expired the lease: every bucket is free again. Records stay,
/// for they remain true.
void onLeaseLost(BucketTable &Table, std::int64_t LeaseId);

/// Planned stop: acquires nothing more and sends the records of each held
/// bucket to its next owner among AliveServers. Calls that run go on; their
/// outcome follows as an update.
BucketActions beginHandover(BucketTable &Table,
                            std::span<const std::string> AliveServers, Now At);

/// A leaving holder sent records. They count once this daemon has taken the
/// bucket from exactly that holder's fence.
/// tickBuckets() starts to take it when all parts are here.
void onHandover(BucketTable &Table, const wire::BucketHandover &Handover,
                Now At);

/// The end of a planned stop, with no keyed call running any more: gives up
/// what nobody has taken over.
BucketActions releaseBuckets(BucketTable &Table);

/// Value of a bucket's key in the store, in JSON.
std::string bucketClaim(std::string_view Holder, std::uint64_t Process);

} // namespace sycamore
