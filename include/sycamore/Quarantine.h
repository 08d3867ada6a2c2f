// Fingerprints of requests that were running when a target was lost.
//
// A request whose fingerprint has one recorded loss is a suspect: each entry
// daemon runs only one copy of it at a time, and all entry daemons run it on
// the same target (chooseSuspectTarget), whose Admission runs one suspect at a
// time. After two losses without a success in between, the request is refused
// for RefusalTime_ after the last loss, and is then a suspect again until
// RetentionTime_ after that loss. Losses reported for the same server within
// SameLossWindow_ count as one loss seen by several daemons.
#pragma once

#include "sycamore/PeerMessages.pb.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamore {

struct QuarantineOptions {
  std::uint32_t LossLimit_ = 2;
  Duration RefusalTime_ = seconds(60);
  /// How long a loss is kept. Limits a caller that resends indefinitely to one
  /// lost target per RefusalTime_.
  Duration RetentionTime_ = seconds(600);
  Duration SameLossWindow_ = seconds(5);
  /// Time in which gossip carries a loss to the whole fleet. The daemon that
  /// detected the loss neither retries nor answers the lost call before this
  /// time has passed, so that a caller's resend reaches only daemons that know
  /// of the loss.
  Duration PropagationTime_ = seconds(1);
  /// A suspect's run counts as ended after this time if endSuspectRun() was
  /// never called for it.
  Duration SuspectRunLimit_ = seconds(60);
  std::size_t MaxRecords_ = 4096;
  std::size_t MaxBytes_ = 1U << 20U;
  std::size_t MaxSampleBytes_ = 256;
  std::size_t MaxServers_ = 8; ///< Servers listed in a record.
};

struct QuarantineLoss {
  std::string Server_;
  WallTime At_{};
};

struct QuarantineEntry {
  std::vector<QuarantineLoss> Losses_; ///< The last loss at each server.
  std::uint32_t LossCount_ = 0;
  WallTime LastLoss_{};
  bool Cleared_ = false;
  /// Unix time of the last change in microseconds, or greater, as each change
  /// raises it. A clear overrides the losses up to its version.
  std::uint64_t Version_ = 0;
  std::string Sample_;
  /// Start of the suspect's run by this daemon; not part of the gossip.
  std::optional<WallTime> SuspectRunStartedAt_;
  std::size_t Bytes_ = 0; ///< Share of Quarantine::Bytes_.
  /// Gossip rounds in which the last change has been sent.
  std::uint32_t RoundsSent_ = 0;
};

struct QuarantineCounters {
  std::uint64_t Losses_ = 0;
  std::uint64_t Suspected_ = 0;   ///< Fingerprints that became suspects here.
  std::uint64_t Quarantined_ = 0; ///< Fingerprints that reached LossLimit_.
  std::uint64_t Refused_ = 0;     ///< Calls refused because of LossLimit_.
  /// Calls refused while a copy of the request ran as a suspect.
  std::uint64_t RefusedSuspectRunning_ = 0;
  std::uint64_t AllowedAsSuspect_ = 0;
  std::uint64_t ClearedBySuccess_ = 0;
  std::uint64_t ClearedByOperator_ = 0;
  std::uint64_t Merged_ = 0;   ///< Gossip records that changed something.
  std::uint64_t Rejected_ = 0; ///< Gossip records that were malformed.
  std::uint64_t Expired_ = 0;
  std::uint64_t Evicted_ = 0; ///< By MaxRecords_ or MaxBytes_.
};

enum class QuarantineEventKind {
  Suspected,
  Quarantined,
  ClearedBySuccess,
  ClearedByOperator,
  ClearedByPeer, ///< A success or an operator's command at another daemon.
  Expired,
};

struct QuarantineEvent {
  QuarantineEventKind Kind_;
  std::uint64_t Fingerprint_ = 0;
  std::string Sample_;
};

struct Quarantine {
  QuarantineOptions Options_;
  QuarantineCounters Counters_;
  std::unordered_map<std::uint64_t, QuarantineEntry> Entries_;
  std::size_t Bytes_ = 0;               ///< Approximate memory of Entries_.
  std::vector<QuarantineEvent> Events_; ///< See takeEvents().
};

enum class QuarantineDecision {
  Allow,
  /// Run it as a suspect (CallRequest.suspect) on the target returned by
  /// chooseSuspectTarget(), with no hedge and no second attempt, then call
  /// endSuspectRun().
  AllowAsSuspect,
  Refuse,
};

struct QuarantineVerdict {
  QuarantineDecision Decision_ = QuarantineDecision::Allow;
  Duration RetryAfter_{0}; ///< When refused.
  bool Busy_ = false; ///< Refused only because a copy runs as a suspect now.
};

/// XXH3 hash of the four parts, each preceded by its length.
std::uint64_t fingerprintOf(std::string_view Service, std::string_view Method,
                            std::string_view Path, std::string_view Body);

/// Records that the target beside Server was lost while it ran the request.
/// Sample describes the request to operators. Returns how long the caller's
/// answer and any retry must be delayed. Send changedRecords() to all
/// neighbours at once, in the message that reports the removal of the target.
Duration recordLoss(Quarantine &Table, std::uint64_t Fingerprint,
                    std::string_view Server, std::string_view Sample,
                    WallTime Now);

/// Records that the request ran to its end, whatever the status. Clears its
/// losses.
void recordSuccess(Quarantine &Table, std::uint64_t Fingerprint, WallTime Now);

/// Whether an entry daemon may run the request now. After AllowAsSuspect,
/// further copies are refused until endSuspectRun() or SuspectRunLimit_.
QuarantineVerdict check(Quarantine &Table, std::uint64_t Fingerprint,
                        WallTime Now);

/// The same check at the daemon beside the target, just before the request
/// runs. Does not change the table.
QuarantineDecision checkAtTarget(const Quarantine &Table,
                                 std::uint64_t Fingerprint, WallTime Now);

/// Records that the run of a suspect has ended, with any outcome. Call it after
/// recordLoss() or recordSuccess().
void endSuspectRun(Quarantine &Table, std::uint64_t Fingerprint);

/// Merges a record received from a peer. Returns whether the table changed, in
/// which case the record is passed on. Malformed records are counted and
/// ignored.
bool merge(Quarantine &Table, const wire::QuarantineRecord &Record,
           WallTime Now);

/// Records for one gossip round. Each changed record is returned in
/// log2(FleetSize) + 2 gossip rounds, rounded down.
std::vector<wire::QuarantineRecord> changedRecords(Quarantine &Table,
                                                   std::size_t FleetSize);

/// Every record, for anti-entropy and for operators.
std::vector<wire::QuarantineRecord> list(const Quarantine &Table);

/// Operator's command: clears all losses recorded so far; later losses are
/// counted from zero. Also takes effect for a fingerprint that this daemon does
/// not know.
void clear(Quarantine &Table, std::uint64_t Fingerprint, WallTime Now);

/// Drops the entries whose last loss or clear is older than RetentionTime_.
void expire(Quarantine &Table, WallTime Now);

/// Moves the state changes since the last call out of the table.
std::vector<QuarantineEvent> takeEvents(Quarantine &Table);

} // namespace sycamore
