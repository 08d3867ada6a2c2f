// Fingerprints of requests that were running when a target was lost.
#include "sycamore/Quarantine.h"

#include "QuarantineTable.h"

#include <algorithm>
#include <memory>
#include <xxhash.h>

namespace sycamore {
namespace {

/// Decision by the recorded losses alone, regardless of whether a copy of the
/// request runs as a suspect now.
QuarantineDecision decisionByLosses(const QuarantineOptions &Options,
                                    const QuarantineEntry &Entry,
                                    WallTime Now) {
  if (Entry.Cleared_ || Now - Entry.LastLoss_ >= Options.RetentionTime_)
    return QuarantineDecision::Allow;
  if (Entry.LossCount_ >= Options.LossLimit_ &&
      Now - Entry.LastLoss_ < Options.RefusalTime_)
    return QuarantineDecision::Refuse;
  return QuarantineDecision::AllowAsSuspect;
}

struct HashStateDeleter {
  void operator()(XXH3_state_t *State) const { XXH3_freeState(State); }
};

void hashPart(XXH3_state_t &State, std::string_view Part) {
  std::uint64_t Size = Part.size();
  XXH3_64bits_update(&State, &Size, sizeof Size);
  XXH3_64bits_update(&State, Part.data(), Part.size());
}

/// Adds one loss. Returns whether it is new, as opposed to a further report of
/// a known loss.
bool addLoss(const QuarantineOptions &Options, QuarantineEntry &Entry,
             std::string_view Server, WallTime Now) {
  auto Known = std::find_if(
      Entry.Losses_.begin(), Entry.Losses_.end(),
      [&](const QuarantineLoss &Each) { return Each.Server_ == Server; });
  if (Known != Entry.Losses_.end()) {
    bool IsNew = Now - Known->At_ >= Options.SameLossWindow_;
    Known->At_ = std::max(Known->At_, Now);
    Entry.LossCount_ += IsNew ? 1 : 0;
    return IsNew;
  }
  if (Entry.Losses_.size() < Options.MaxServers_)
    Entry.Losses_.push_back({std::string(Server), Now});
  ++Entry.LossCount_;
  return true;
}

void resetLosses(QuarantineEntry &Entry) {
  Entry.Losses_.clear();
  Entry.LossCount_ = 0;
  Entry.Cleared_ = false;
}

void markCleared(Quarantine &Table, std::uint64_t Fingerprint,
                 QuarantineEntry &Entry, WallTime Now) {
  resetLosses(Entry);
  Entry.Cleared_ = true;
  Entry.LastLoss_ = Now;
  Entry.Version_ = std::max(Entry.Version_ + 1, unixMicroseconds(Now));
  Entry.RoundsSent_ = 0;
  updateSize(Table, Fingerprint);
}

} // namespace

std::uint64_t fingerprintOf(std::string_view Service, std::string_view Method,
                            std::string_view Path, std::string_view Body) {
  std::unique_ptr<XXH3_state_t, HashStateDeleter> State(XXH3_createState());
  XXH3_64bits_reset(State.get());
  for (std::string_view Part : {Service, Method, Path, Body})
    hashPart(*State, Part);
  return XXH3_64bits_digest(State.get());
}

Duration recordLoss(Quarantine &Table, std::uint64_t Fingerprint,
                    std::string_view Server, std::string_view Sample,
                    WallTime Now) {
  QuarantineEntry &Entry = findOrCreateEntry(Table, Fingerprint);
  if (Entry.Cleared_ || Now - Entry.LastLoss_ >= Table.Options_.RetentionTime_)
    resetLosses(Entry);
  std::uint32_t LossesBefore = Entry.LossCount_;
  bool IsNew = addLoss(Table.Options_, Entry, Server, Now);
  if (Entry.Sample_.empty())
    Entry.Sample_ = Sample.substr(0, Table.Options_.MaxSampleBytes_);
  Entry.LastLoss_ = std::max(Entry.LastLoss_, Now);
  Entry.Version_ = std::max(Entry.Version_ + 1, unixMicroseconds(Now));
  Entry.RoundsSent_ = 0;
  Table.Counters_.Losses_ += IsNew ? 1 : 0;
  reportStateChange(Table, Fingerprint, Entry, LossesBefore);
  updateSize(Table, Fingerprint);
  return Table.Options_.PropagationTime_;
}

void recordSuccess(Quarantine &Table, std::uint64_t Fingerprint, WallTime Now) {
  auto Found = Table.Entries_.find(Fingerprint);
  if (Found == Table.Entries_.end() || Found->second.Cleared_)
    return;
  addEvent(Table, QuarantineEventKind::ClearedBySuccess, Fingerprint,
           Found->second.Sample_);
  ++Table.Counters_.ClearedBySuccess_;
  markCleared(Table, Fingerprint, Found->second, Now);
}

QuarantineVerdict check(Quarantine &Table, std::uint64_t Fingerprint,
                        WallTime Now) {
  auto Found = Table.Entries_.find(Fingerprint);
  if (Found == Table.Entries_.end())
    return {};
  QuarantineEntry &Entry = Found->second;
  QuarantineDecision State = decisionByLosses(Table.Options_, Entry, Now);
  if (State == QuarantineDecision::Allow)
    return {};
  if (State == QuarantineDecision::Refuse) {
    ++Table.Counters_.Refused_;
    Duration Remaining = Entry.LastLoss_ + Table.Options_.RefusalTime_ - Now;
    return {State, std::min(Remaining, Table.Options_.RefusalTime_), false};
  }
  if (Entry.SuspectRunStartedAt_ &&
      Now - *Entry.SuspectRunStartedAt_ < Table.Options_.SuspectRunLimit_) {
    ++Table.Counters_.RefusedSuspectRunning_;
    return {QuarantineDecision::Refuse, Table.Options_.PropagationTime_, true};
  }
  Entry.SuspectRunStartedAt_ = Now;
  ++Table.Counters_.AllowedAsSuspect_;
  return {QuarantineDecision::AllowAsSuspect, Duration{0}, false};
}

QuarantineDecision checkAtTarget(const Quarantine &Table,
                                 std::uint64_t Fingerprint, WallTime Now) {
  auto Found = Table.Entries_.find(Fingerprint);
  return Found == Table.Entries_.end()
             ? QuarantineDecision::Allow
             : decisionByLosses(Table.Options_, Found->second, Now);
}

void endSuspectRun(Quarantine &Table, std::uint64_t Fingerprint) {
  auto Found = Table.Entries_.find(Fingerprint);
  if (Found != Table.Entries_.end())
    Found->second.SuspectRunStartedAt_.reset();
}

void clear(Quarantine &Table, std::uint64_t Fingerprint, WallTime Now) {
  QuarantineEntry &Entry = findOrCreateEntry(Table, Fingerprint);
  addEvent(Table, QuarantineEventKind::ClearedByOperator, Fingerprint,
           Entry.Sample_);
  ++Table.Counters_.ClearedByOperator_;
  markCleared(Table, Fingerprint, Entry, Now);
}

void expire(Quarantine &Table, WallTime Now) {
  std::vector<std::uint64_t> ExpiredFingerprints;
  for (const auto &[Fingerprint, Entry] : Table.Entries_)
    if (Now - Entry.LastLoss_ >= Table.Options_.RetentionTime_)
      ExpiredFingerprints.push_back(Fingerprint);
  for (std::uint64_t Fingerprint : ExpiredFingerprints) {
    const QuarantineEntry &Entry = Table.Entries_.at(Fingerprint);
    if (!Entry.Cleared_)
      addEvent(Table, QuarantineEventKind::Expired, Fingerprint, Entry.Sample_);
    ++Table.Counters_.Expired_;
    eraseEntry(Table, Fingerprint);
  }
}

} // namespace sycamore
