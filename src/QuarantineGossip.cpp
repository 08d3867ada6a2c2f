// Exchange of quarantine records between daemons.
#include "QuarantineTable.h"

#include <algorithm>
#include <bit>

namespace sycamore {
namespace {

/// Greatest clock difference between daemons (docs/decisions/0002).
constexpr Duration ClockSkew = seconds(1);

wire::QuarantineRecord toRecord(const Quarantine &Table,
                                std::uint64_t Fingerprint,
                                const QuarantineEntry &Entry) {
  wire::QuarantineRecord Record;
  Record.set_fingerprint(Fingerprint);
  Record.set_losses(Entry.LossCount_);
  for (const QuarantineLoss &Each : Entry.Losses_)
    Record.add_servers(Each.Server_);
  Record.set_expires_unix_us(
      unixMicroseconds(Entry.LastLoss_ + Table.Options_.RefusalTime_));
  Record.set_cleared(Entry.Cleared_);
  Record.set_sample(Entry.Sample_);
  Record.set_version(Entry.Version_);
  return Record;
}

/// Time of the last loss (or of the clear) in a record, limited so that a
/// sender whose clock is ahead does not extend the refusal of a request.
WallTime lossTimeOf(const Quarantine &Table,
                    const wire::QuarantineRecord &Record, WallTime Now) {
  auto Expires = std::min<std::uint64_t>(
      Record.expires_unix_us(),
      unixMicroseconds(Now + ClockSkew + Table.Options_.RefusalTime_));
  return WallTime(Duration(static_cast<std::int64_t>(Expires))) -
         Table.Options_.RefusalTime_;
}

bool isWellFormed(const Quarantine &Table, const wire::QuarantineRecord &Record,
                  WallTime Now) {
  auto Servers = static_cast<std::size_t>(Record.servers_size());
  if (Servers > Table.Options_.MaxServers_ || Record.version() == 0 ||
      Record.sample().size() > Table.Options_.MaxSampleBytes_)
    return false;
  // A version far ahead of the clock could not be overridden by a clear.
  if (Record.version() > unixMicroseconds(Now + ClockSkew * 60))
    return false;
  return Record.cleared() ? Servers == 0 : Servers > 0;
}

/// Whether the record has no effect because of a clear: either the entry's
/// clear overrides the record, or the record is a clear older than the entry.
bool isOverridden(const QuarantineEntry &Entry,
                  const wire::QuarantineRecord &Record) {
  if (Entry.Cleared_)
    return Record.version() <= Entry.Version_;
  return Record.cleared() && Record.version() < Entry.Version_;
}

void applyClear(Quarantine &Table, QuarantineEntry &Entry,
                const wire::QuarantineRecord &Record, WallTime LossTime) {
  if (!Entry.Cleared_)
    addEvent(Table, QuarantineEventKind::ClearedByPeer, Record.fingerprint(),
             Entry.Sample_);
  Entry.Losses_.clear();
  Entry.LossCount_ = 0;
  Entry.Cleared_ = true;
  Entry.LastLoss_ = LossTime;
  Entry.Version_ = Record.version();
}

/// Merges the losses of the record into the entry. Returns whether the entry
/// changed.
bool mergeLosses(Quarantine &Table, QuarantineEntry &Entry,
                 const wire::QuarantineRecord &Record, WallTime LossTime) {
  bool Changed = Entry.Cleared_;
  Entry.Cleared_ = false;
  std::uint32_t LossesBefore = Entry.LossCount_;
  for (const std::string &Server : Record.servers()) {
    bool Known = std::any_of(
        Entry.Losses_.begin(), Entry.Losses_.end(),
        [&](const QuarantineLoss &Each) { return Each.Server_ == Server; });
    if (Known || Entry.Losses_.size() >= Table.Options_.MaxServers_)
      continue;
    Entry.Losses_.push_back({Server, LossTime});
    Changed = true;
  }
  Entry.LossCount_ =
      std::max({Entry.LossCount_, Record.losses(),
                static_cast<std::uint32_t>(Entry.Losses_.size())});
  Changed |= Entry.LossCount_ != LossesBefore || LossTime > Entry.LastLoss_;
  Entry.LastLoss_ = std::max(Entry.LastLoss_, LossTime);
  Entry.Version_ = std::max(Entry.Version_, Record.version());
  if (Entry.Sample_.empty())
    Entry.Sample_ = Record.sample();
  reportStateChange(Table, Record.fingerprint(), Entry, LossesBefore);
  return Changed;
}

} // namespace

bool merge(Quarantine &Table, const wire::QuarantineRecord &Record,
           WallTime Now) {
  if (!isWellFormed(Table, Record, Now)) {
    ++Table.Counters_.Rejected_;
    return false;
  }
  WallTime LossTime = lossTimeOf(Table, Record, Now);
  if (Now - LossTime >= Table.Options_.RetentionTime_)
    return false;
  auto Found = Table.Entries_.find(Record.fingerprint());
  if (Found != Table.Entries_.end() && isOverridden(Found->second, Record))
    return false;
  bool IsKnownClear = Found != Table.Entries_.end() && Record.cleared() &&
                      Found->second.Cleared_ &&
                      Found->second.Version_ == Record.version();
  if (IsKnownClear)
    return false;
  QuarantineEntry &Entry = findOrCreateEntry(Table, Record.fingerprint());
  bool Changed = true;
  if (Record.cleared())
    applyClear(Table, Entry, Record, LossTime);
  else
    Changed = mergeLosses(Table, Entry, Record, LossTime);
  if (Changed) {
    ++Table.Counters_.Merged_;
    Entry.RoundsSent_ = 0;
    updateSize(Table, Record.fingerprint());
  }
  return Changed;
}

std::vector<wire::QuarantineRecord> changedRecords(Quarantine &Table,
                                                   std::size_t FleetSize) {
  // bit_width is log2 rounded down, plus one.
  auto Rounds = static_cast<std::uint32_t>(std::bit_width(FleetSize)) + 1;
  std::vector<wire::QuarantineRecord> Records;
  for (auto &[Fingerprint, Entry] : Table.Entries_) {
    if (Entry.RoundsSent_ >= Rounds)
      continue;
    ++Entry.RoundsSent_;
    Records.push_back(toRecord(Table, Fingerprint, Entry));
  }
  return Records;
}

std::vector<wire::QuarantineRecord> list(const Quarantine &Table) {
  std::vector<wire::QuarantineRecord> Records;
  Records.reserve(Table.Entries_.size());
  for (const auto &[Fingerprint, Entry] : Table.Entries_)
    Records.push_back(toRecord(Table, Fingerprint, Entry));
  return Records;
}

} // namespace sycamore
