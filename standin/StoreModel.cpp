// Keys, revisions and leases of the stand-in store.
#include "StoreModel.h"

#include <algorithm>
#include <utility>

namespace sycamore::standin {
namespace {

/// Events retained for watches that start at a past revision.
constexpr std::size_t MaxRetainedEvents = 4096;

} // namespace

const StoredItem *StoreModel::find(const std::string &Key) const {
  auto Found = Items_.find(Key);
  return Found == Items_.end() ? nullptr : &Found->second;
}

void StoreModel::detachLease(const std::string &Key) {
  const StoredItem *Item = find(Key);
  if (!Item)
    return;
  if (auto Found = Leases_.find(Item->Lease_); Found != Leases_.end())
    Found->second.Keys_.erase(Key);
}

void StoreModel::appendEvent(StoreEvent Event) {
  Events_.push_back(std::move(Event));
  if (Events_.size() <= MaxRetainedEvents)
    return;
  CompactedUpTo_ = Events_.front().Revision_;
  Events_.pop_front();
}

void StoreModel::apply(const std::vector<StoreWrite> &Writes) {
  std::int64_t Next = Revision_ + 1;
  for (const StoreWrite &Write : Writes) {
    if (!Write.Value_ && !find(Write.Key_))
      continue;
    Revision_ = Next;
    detachLease(Write.Key_);
    if (!Write.Value_) {
      Items_.erase(Write.Key_);
      appendEvent({Write.Key_, std::nullopt, Next});
      continue;
    }
    StoredItem &Item = Items_[Write.Key_];
    Item.Value_ = *Write.Value_;
    if (Item.CreateRevision_ == 0)
      Item.CreateRevision_ = Next;
    Item.ModRevision_ = Next;
    ++Item.Version_;
    Item.Lease_ = Write.Lease_;
    if (Write.Lease_ != 0)
      Leases_[Write.Lease_].Keys_.insert(Write.Key_);
    appendEvent({Write.Key_, Item, Next});
  }
}

std::int64_t StoreModel::grant(seconds Ttl, TimePoint Now) {
  std::int64_t Id = NextLease_++;
  Leases_[Id] = {Ttl, Now + Ttl, {}};
  return Id;
}

std::optional<seconds> StoreModel::keepAlive(std::int64_t Id, TimePoint Now) {
  auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return std::nullopt;
  Found->second.ExpiresAt_ = Now + Found->second.Ttl_;
  return Found->second.Ttl_;
}

bool StoreModel::revoke(std::int64_t Id) {
  auto Found = Leases_.find(Id);
  if (Found == Leases_.end())
    return false;
  std::vector<StoreWrite> Removals;
  for (const std::string &Key : Found->second.Keys_)
    Removals.push_back({Key, std::nullopt, 0});
  apply(Removals);
  Leases_.erase(Id);
  return true;
}

void StoreModel::expireLeases(TimePoint Now) {
  std::vector<std::int64_t> Expired;
  for (const auto &[Id, Lease] : Leases_)
    if (Lease.ExpiresAt_ <= Now)
      Expired.push_back(Id);
  for (std::int64_t Id : Expired)
    revoke(Id);
}

void StoreModel::restoreCopy(
    std::span<const std::string_view> RewrittenPrefixes) {
  auto Lost = std::exchange(Items_, Copy_.Items_);
  Revision_ = Copy_.Revision_;
  ++ClusterId_;
  Leases_.clear();
  std::erase_if(Items_,
                [](const auto &Entry) { return Entry.second.Lease_ != 0; });
  // History before the copy is not restored either.
  Events_.clear();
  CompactedUpTo_ = Revision_;
  for (const auto &[Key, Item] : Lost) {
    const StoredItem *Current = find(Key);
    bool Rewritten =
        std::any_of(RewrittenPrefixes.begin(), RewrittenPrefixes.end(),
                    [&Name = Key](std::string_view Prefix) {
                      return Name.starts_with(Prefix);
                    });
    if (Rewritten && (!Current || Current->Value_ != Item.Value_))
      apply({{Key, Item.Value_, 0}});
  }
}

std::optional<std::vector<StoreEvent>>
StoreModel::eventsFrom(std::int64_t From) const {
  if (From <= CompactedUpTo_)
    return std::nullopt;
  std::vector<StoreEvent> Out;
  for (const StoreEvent &Event : Events_)
    if (Event.Revision_ >= From)
      Out.push_back(Event);
  return Out;
}

} // namespace sycamore::standin
