// Buckets of idempotency keys and the store lease under which this daemon holds
// some of them (docs/decisions/0002-idempotency-keys.md).
//
// Each key belongs to one bucket, and each bucket to at most one holder that
// may accept keys: the daemon whose lease the store binds to `buckets/<n>`. A
// daemon has one lease for all its buckets. By its own monotonic clock, it
// counts the lease from a time before the grant or renewal was sent.
//
// Every Now must be read with the wall clock before the monotonic clock;
// otherwise, after a pause between the two readings, a lapsed lease could pass
// as valid.
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
  /// Time after its creation in which a key may be sent again.
  Duration ResendWindow_ = std::chrono::minutes(10);
  /// Largest difference between any two wall clocks of daemons and callers.
  Duration ClockSkew_ = seconds(1);
  seconds LeaseTtl_{30};
  Duration KeepAliveInterval_ = seconds(10);
  /// Subtracted from the lease's end, for clocks that run at different rates.
  Duration LeaseSafetyMargin_ = milliseconds(500);
  /// Delay after a failed store call. It is multiplied by the number of
  /// consecutive failures, up to four; jitter of up to RetryDelay_ is added.
  Duration RetryDelay_ = seconds(1);
  /// A server of rank 1 tries to acquire a bucket that has had no holder for
  /// this long, rank 2 after twice this time, rank 3 after four times, and so
  /// on, in case the servers that rank before it cannot reach the store. During
  /// an outage of 10 min, at most seven servers try.
  Duration AcquireDelayPerRank_ = seconds(10);
  /// Size of the records in one part of a handover, in bytes.
  std::size_t HandoverPartBytes_ = 256U << 10U;
  /// Longest time that a handed-over key may stay running at its old holder.
  Duration MaxRemoteRunTime_ = seconds(120);
  /// Records of all buckets together; about 0.8 KB each with a small answer.
  std::size_t MaxRecords_ = 150000;
  std::size_t MaxAnswerBytes_ = 24U << 20U; ///< Stored answers' bodies.
};

enum class KeyState {
  Running,       ///< Runs at this daemon.
  RemoteRunning, ///< Handed over while it ran; the old holder reports its end.
  Done,          ///< It ran, and its answer is stored.
  DoneNoAnswer,  ///< It ran, but its answer was dropped or damaged.
  Unknown,       ///< It may have run.
};

struct StoredAnswer {
  wire::CallAnswer Answer_;
  std::string Body_;
};

struct KeyEntry {
  KeyState State_ = KeyState::Running;
  std::uint64_t RequestHash_ = 0; ///< See requestHash().
  bool HasCreationTime_ = false;  ///< See keyCreationTime().
  TimePoint ExpiresAt_;
  TimePoint RunningSince_;
  std::shared_ptr<const StoredAnswer> Answer_;
};

enum class BucketState {
  Free,        ///< Not held here.
  Acquiring,   ///< The store call to acquire it is in progress.
  Held,        ///< Keys are accepted while the lease is valid.
  HandingOver, ///< Records were sent to a successor; no key is accepted.
};

/// A handover from the previous holder of a bucket that this daemon has not
/// acquired yet.
struct PendingHandover {
  std::uint64_t Fence_ = 0;
  WallTime UnknownBefore_;
  TimePoint OpaqueUnknownUntil_;
  std::uint32_t PartCount_ = 1;
  std::set<std::uint32_t> ReceivedParts_;
};

struct KeyBucket {
  BucketState State_ = BucketState::Free;
  /// Store revision at which this daemon acquired the bucket.
  std::uint64_t Fence_ = 0;
  /// A key created before this time and without a record may have run.
  WallTime UnknownBefore_;
  /// Until this time, a key that has neither a creation time nor a record may
  /// have run.
  TimePoint OpaqueUnknownUntil_;
  std::unordered_map<std::string, KeyEntry> Records_;
  /// Keys in the order in which their records expire.
  std::deque<std::pair<TimePoint, std::string>> ExpiryQueue_;
  TimePoint NextAttempt_;
  /// Time since which no server with a valid lease has claimed it; unset while
  /// one does.
  std::optional<TimePoint> UnheldSince_;
  std::optional<PendingHandover> Pending_;
  std::uint64_t ExpectedFence_ = 0; ///< Of the acquisition in progress.
  std::int64_t AcquireLeaseId_ = 0; ///< Likewise; 0 if it began with a grant.
  std::string Successor_;           ///< Receives updates after a handover.
};

/// Put the bucket's key with this daemon's lease, if the key's modification
/// revision is ExpectedFence_ (0: absent). With LeaseId_ 0 the store must first
/// grant a lease of LeaseTtl_. The result is reported by exactly one of
/// onAcquired(), onAcquireConflict() and onAcquireFailed().
struct AcquireBucket {
  std::uint32_t Bucket_ = 0;
  std::int64_t LeaseId_ = 0;
  seconds LeaseTtl_{0};
  std::uint64_t ExpectedFence_ = 0;
  std::string Value_;
};

/// Renew the lease. The result is reported by exactly one of onKeptAlive(),
/// onKeepAliveFailed() and onLeaseLost().
struct KeepLeaseAlive {
  std::int64_t LeaseId_ = 0;
};

/// Delete the bucket's key if its modification revision is Fence_. The result
/// is not reported.
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

/// State changes that are logged.
struct BucketTaken {
  std::uint32_t Bucket_ = 0;
  std::uint64_t Fence_ = 0;
  bool WithRecords_ = false; ///< Records came by handover.
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
/// The outcome of a key is known, so that requests waiting for it can be
/// answered; see KeyedCalls.h.
struct KeyResolved {
  std::string Key_;
};
using BucketEvent = std::variant<BucketTaken, BucketLost, LeaseLapsed,
                                 LeaseResumed, KeyResolved>;

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
  /// The latest time passed to admitKey() or tickBuckets(). Records expire by
  /// it, so no key may be judged by an earlier time.
  Now LatestTime_;
  TimePoint NextKeepAlive_;
  bool KeepAliveInFlight_ = false;
  /// Consecutive store calls without an answer. While there are any, buckets
  /// are acquired one at a time, to limit the number of calls during an outage.
  std::uint32_t StoreFailures_ = 0;
  TimePoint NextAcquire_; ///< After a failure.
  /// Restorations of the store that this daemon has seen, and the time until
  /// which a lease that it lost may still be valid to its holder.
  std::uint64_t StoreRestorations_ = 0;
  TimePoint LostLeasesUntil_;
  std::size_t Records_ = 0;
  std::size_t AnswerBytes_ = 0;
  /// Bucket and key of stored answers, oldest first.
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
std::string_view rendezvousOwner(std::uint32_t BucketIndex,
                                 std::span<const std::string> Servers);

struct BucketHolder {
  std::string Server_;
  std::uint64_t Fence_ = 0;
  bool Lapsed_ = false; ///< Its lease is not valid; see HeldBucket.lapsed.
};

/// Holder of a bucket according to the server records: the server whose claim
/// has the highest fence. Nothing when there is no claim, or when that server
/// has left or died; claims with lower fences are then out of date.
std::optional<BucketHolder>
holderOf(std::uint32_t BucketIndex,
         std::span<const wire::ServerRecord> Records);

/// The same for all buckets, in one pass over the records.
std::vector<std::optional<BucketHolder>>
holdersOf(std::uint32_t BucketCount,
          std::span<const wire::ServerRecord> Records);

/// The claims of this daemon for its own server record.
std::vector<wire::HeldBucket> heldBuckets(const BucketTable &Table);

/// Whether this daemon may accept new keys of a bucket.
bool holdsBucket(const BucketTable &Table, std::uint32_t BucketIndex,
                 TimePoint Now);

/// Position of a server in the ranking of rendezvousOwner(), from 0; the list's
/// size if it is absent.
std::size_t rendezvousRank(std::uint32_t BucketIndex, std::string_view Server,
                           std::span<const std::string> Servers);

/// Renews the lease, acquires free buckets for which this daemon ranks first
/// among AliveServers (own name included), and removes expired records. Called
/// periodically (by KeyedProxy every 200 ms), but not before the membership is
/// known: otherwise the first server of a starting fleet would acquire all
/// buckets.
BucketActions tickBuckets(BucketTable &Table,
                          std::span<const std::string> AliveServers,
                          std::span<const wire::ServerRecord> Records, Now At,
                          Random &Rng);

/// A lease as the store granted or renewed it.
struct LeaseGrant {
  std::int64_t Id_ = 0;
  seconds Ttl_{0};
  TimePoint SentAt_; ///< Read before the grant or renewal was sent.
};

/// The bucket's key was put at revision Fence. Granted is set when the
/// acquisition began with a grant. At must be read after the answer arrived.
void onAcquired(BucketTable &Table, std::uint32_t BucketIndex,
                std::uint64_t Fence, const std::optional<LeaseGrant> &Granted,
                Now At);

/// The comparison failed; Found is the key's present value in the store. It is
/// this daemon's own claim if the answer to an earlier put was lost.
void onAcquireConflict(BucketTable &Table, std::uint32_t BucketIndex,
                       const KeyValue &Found,
                       const std::optional<LeaseGrant> &Granted, Now At,
                       Random &Rng);

/// The store did not answer, or returned an error.
void onAcquireFailed(BucketTable &Table, std::uint32_t BucketIndex,
                     const std::optional<LeaseGrant> &Granted, Now At,
                     Random &Rng);

void onKeptAlive(BucketTable &Table, const LeaseGrant &Renewed, Now At);
void onKeepAliveFailed(BucketTable &Table, std::int64_t LeaseId, Now At,
                       Random &Rng);

/// The store has expired the lease, so every bucket is free again. Records are
/// kept because they remain correct.
void onLeaseLost(BucketTable &Table, std::int64_t LeaseId);

/// Begins a planned stop: acquires no more buckets and sends the records of
/// each held bucket to its next owner among AliveServers. Running calls
/// continue; their outcomes are sent as updates.
BucketActions beginHandover(BucketTable &Table,
                            std::span<const std::string> AliveServers, Now At);

/// Stores records that a leaving holder sent. They count as complete only once
/// this daemon has acquired the bucket by replacing exactly that holder's
/// fence. tickBuckets() starts to acquire it when all parts have arrived.
void onHandover(BucketTable &Table, const wire::BucketHandover &Handover,
                Now At);

/// The store was restored from a copy, without the leases granted since. Frees
/// all buckets, and acquires none until every lease has ended by its holder's
/// clock: holders that have not noticed accept keys until then.
void onStoreRestored(BucketTable &Table, Now At);

/// Ends a planned stop, when no keyed call runs any more: releases the buckets
/// that no daemon has taken over.
BucketActions releaseBuckets(BucketTable &Table);

/// Value of a bucket's key in the store, as JSON.
std::string bucketClaim(std::string_view Holder, std::uint64_t Process);

} // namespace sycamore
