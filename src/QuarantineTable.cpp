// Entries of the quarantine table: creation, eviction, memory size and events.
#include "QuarantineTable.h"

#include <algorithm>
#include <utility>

namespace sycamore {
namespace {

std::size_t sizeOf(const QuarantineEntry &Entry) {
  std::size_t Size =
      sizeof(QuarantineEntry) + sizeof(std::uint64_t) + Entry.Sample_.size();
  for (const QuarantineLoss &Each : Entry.Losses_)
    Size += sizeof(QuarantineLoss) + Each.Server_.size();
  return Size;
}

/// Drops the entry with the oldest last loss, except Keep. Returns false when
/// there is no other entry.
bool evictOldest(Quarantine &Table, std::uint64_t Keep) {
  auto Oldest = Table.Entries_.end();
  for (auto It = Table.Entries_.begin(); It != Table.Entries_.end(); ++It)
    if (It->first != Keep && (Oldest == Table.Entries_.end() ||
                              It->second.LastLoss_ < Oldest->second.LastLoss_))
      Oldest = It;
  if (Oldest == Table.Entries_.end())
    return false;
  ++Table.Counters_.Evicted_;
  eraseEntry(Table, Oldest->first);
  return true;
}

} // namespace

std::uint64_t unixMicroseconds(WallTime Time) {
  return static_cast<std::uint64_t>(
      std::max<std::int64_t>(Time.time_since_epoch().count(), 0));
}

QuarantineEntry &findOrCreateEntry(Quarantine &Table,
                                   std::uint64_t Fingerprint) {
  auto Found = Table.Entries_.find(Fingerprint);
  if (Found != Table.Entries_.end())
    return Found->second;
  while (Table.Entries_.size() >= Table.Options_.MaxRecords_ &&
         evictOldest(Table, Fingerprint)) {
  }
  QuarantineEntry &Entry = Table.Entries_[Fingerprint];
  Entry.Bytes_ = sizeOf(Entry);
  Table.Bytes_ += Entry.Bytes_;
  return Entry;
}

void eraseEntry(Quarantine &Table, std::uint64_t Fingerprint) {
  auto Found = Table.Entries_.find(Fingerprint);
  if (Found == Table.Entries_.end())
    return;
  Table.Bytes_ -= Found->second.Bytes_;
  Table.Entries_.erase(Found);
}

void updateSize(Quarantine &Table, std::uint64_t Fingerprint) {
  QuarantineEntry &Entry = Table.Entries_.at(Fingerprint);
  Table.Bytes_ -= Entry.Bytes_;
  Entry.Bytes_ = sizeOf(Entry);
  Table.Bytes_ += Entry.Bytes_;
  while (Table.Bytes_ > Table.Options_.MaxBytes_ &&
         evictOldest(Table, Fingerprint)) {
  }
}

void addEvent(Quarantine &Table, QuarantineEventKind Kind,
              std::uint64_t Fingerprint, const std::string &Sample) {
  // Bounds the memory used if takeEvents() is never called.
  constexpr std::size_t MaxEvents = 1024;
  if (Table.Events_.size() < MaxEvents)
    Table.Events_.push_back({Kind, Fingerprint, Sample});
}

void reportStateChange(Quarantine &Table, std::uint64_t Fingerprint,
                       const QuarantineEntry &Entry,
                       std::uint32_t LossesBefore) {
  std::uint32_t Limit = Table.Options_.LossLimit_;
  if (LossesBefore == 0 && Entry.LossCount_ > 0) {
    ++Table.Counters_.Suspected_;
    addEvent(Table, QuarantineEventKind::Suspected, Fingerprint, Entry.Sample_);
  }
  if (LossesBefore < Limit && Entry.LossCount_ >= Limit) {
    ++Table.Counters_.Quarantined_;
    addEvent(Table, QuarantineEventKind::Quarantined, Fingerprint,
             Entry.Sample_);
  }
}

std::vector<QuarantineEvent> takeEvents(Quarantine &Table) {
  return std::exchange(Table.Events_, {});
}

} // namespace sycamore
