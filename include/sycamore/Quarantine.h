// Fingerprints of requests that were running when a target was lost.
//
// A fingerprint with one loss is suspect: each entry daemon runs it alone, all
// of them on the same target (chooseSuspectTarget), whose Admission runs one
// suspect at a time. With two losses and no success since the first it is
// refused for RefuseFor_ after the last loss, then suspect again until
// RememberFor_ after it. Losses beside one server within SameLossWindow_ are
// one loss seen by several daemons.
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
  Duration RefuseFor_ = seconds(60);
  /// Keeps a caller that never gives up at one target per RefuseFor_.
  Duration RememberFor_ = seconds(600);
  Duration SameLossWindow_ = seconds(5);
  /// Time in which a mark reaches the fleet. The daemon that saw the loss
  /// neither retries nor answers the lost call before this has passed, so
  /// that the caller's resend meets daemons that know of the loss.
  Duration SpreadTime_ = seconds(1);
  /// An alone run that was never noted as finished ends after this.
  Duration AloneLimit_ = seconds(60);
  std::size_t MaxRecords_ = 4096;
  std::size_t MaxBytes_ = 1U << 20U;
  std::size_t MaxSampleBytes_ = 256;
  std::size_t MaxServers_ = 8; ///< Servers named in a record.
};

struct QuarantineLoss {
  std::string Server_;
  WallTime At_{};
};

struct QuarantineEntry {
  std::vector<QuarantineLoss> Losses_; ///< Distinct servers, newest time.
  std::uint32_t LossCount_ = 0;
  WallTime LastLoss_{};
  bool Cleared_ = false;
  std::uint64_t Version_ = 0; ///< Unix us; a clear hides marks below it.
  std::string Sample_;
  std::optional<WallTime> AloneSince_; ///< Local; not part of the gossip.
  std::size_t Bytes_ = 0;              ///< Share of Quarantine::Bytes_.
  std::uint32_t RoundsSent_ = 0;       ///< Gossip rounds since the change.
};

struct QuarantineCounters {
  std::uint64_t Losses_ = 0;
  std::uint64_t Suspected_ = 0;   ///< Fingerprints that became suspect here.
  std::uint64_t Quarantined_ = 0; ///< Fingerprints that reached the limit.
  std::uint64_t Refused_ = 0;     ///< Calls refused for two losses.
  std::uint64_t RefusedBusy_ = 0; ///< Calls refused beside an alone run.
  std::uint64_t AllowedAlone_ = 0;
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
  ClearedByPeer, ///< A success or an operator's command elsewhere.
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
  /// Run it as a suspect (CallRequest.suspect) on chooseSuspectTarget(), with
  /// no hedge and no second attempt, then call noteFinished().
  AllowAlone,
  Refuse,
};

struct QuarantineVerdict {
  QuarantineDecision Decision_ = QuarantineDecision::Allow;
  Duration RetryAfter_{0}; ///< When refused.
  bool Busy_ = false;      ///< Refused only because one runs alone now.
};

/// xxh3 over the four parts, each preceded by its length.
std::uint64_t fingerprintOf(std::string_view Service, std::string_view Method,
                            std::string_view Path, std::string_view Body);

/// A target beside Server was lost while it ran the request. Sample names the
/// request for operators. Returns how long the caller's answer and any retry
/// are to be held back. Send changedRecords() to all neighbours at once, in
/// the same message that reports the target gone.
Duration noteLoss(Quarantine &Table, std::uint64_t Fingerprint,
                  std::string_view Server, std::string_view Sample,
                  WallTime Now);

/// The request ran to its end, whatever the status: clears its mark.
void noteSuccess(Quarantine &Table, std::uint64_t Fingerprint, WallTime Now);

/// Whether an entry daemon may run the request now. AllowAlone is remembered
/// until noteFinished().
QuarantineVerdict check(Quarantine &Table, std::uint64_t Fingerprint,
                        WallTime Now);

/// The same question at the target's daemon, which is the last to know before
/// the request runs. Changes nothing.
QuarantineDecision checkAtTarget(const Quarantine &Table,
                                 std::uint64_t Fingerprint, WallTime Now);

/// An alone run ended, in whichever way. Call it after noteLoss() or
/// noteSuccess().
void noteFinished(Quarantine &Table, std::uint64_t Fingerprint);

/// Takes over a peer's record. Returns whether it changed anything, so that
/// it is passed on. Malformed records are counted and ignored.
bool merge(Quarantine &Table, const wire::QuarantineRecord &Record,
           WallTime Now);

/// Records for one gossip round: each changed one is returned in
/// log2(FleetSize) + 2 rounds.
std::vector<wire::QuarantineRecord> changedRecords(Quarantine &Table,
                                                   std::size_t FleetSize);

/// Every record, for anti-entropy and for operators.
std::vector<wire::QuarantineRecord> list(const Quarantine &Table);

/// Operator's command: hides all marks known so far; later losses count
/// afresh. Also takes effect for a fingerprint that this daemon does not know.
void clear(Quarantine &Table, std::uint64_t Fingerprint, WallTime Now);

/// Drops records whose time has passed.
void expire(Quarantine &Table, WallTime Now);

/// Moves the state changes since the last call out of the table.
std::vector<QuarantineEvent> takeEvents(Quarantine &Table);

} // namespace sycamore
