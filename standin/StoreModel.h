// In-memory keys, revisions and leases of the stand-in store. Does no I/O.
#pragma once

#include "sycamore/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace sycamore::standin {

struct StoredItem {
  std::string Value_;
  std::int64_t CreateRevision_ = 0;
  std::int64_t ModRevision_ = 0;
  std::int64_t Version_ = 0;
  std::int64_t Lease_ = 0;
};

struct StoreEvent {
  std::string Key_;
  std::optional<StoredItem> Item_; ///< Unset for a deletion.
  std::int64_t Revision_ = 0;
};

struct StoreWrite {
  std::string Key_;
  std::optional<std::string> Value_; ///< Unset to delete the key.
  std::int64_t Lease_ = 0;
};

class StoreModel {
public:
  const std::map<std::string, StoredItem> &items() const { return Items_; }
  std::int64_t revision() const { return Revision_; }
  const StoredItem *find(const std::string &Key) const;

  /// Applies all writes in one new revision. Deletions of absent keys are
  /// ignored. Every lease that a write refers to must exist.
  void apply(const std::vector<StoreWrite> &Writes);

  std::int64_t grant(seconds Ttl, TimePoint Now);
  /// Renews a lease and returns its time to live, or nothing if it does not
  /// exist.
  std::optional<seconds> keepAlive(std::int64_t Id, TimePoint Now);
  bool hasLease(std::int64_t Id) const { return Leases_.contains(Id); }
  /// Deletes a lease and its keys; false if it does not exist.
  bool revoke(std::int64_t Id);
  void expireLeases(TimePoint Now);

  /// Keeps a copy of the items for restoreCopy().
  void keepCopy() { Copy_ = {Items_, Revision_}; }
  /// Goes back to the copy as a cluster with another id, without leases, and
  /// writes the lost values of keys with one of these prefixes again.
  void restoreCopy(std::span<const std::string_view> RewrittenPrefixes);
  std::int64_t clusterId() const { return ClusterId_; }

  /// Events from a revision on, or nothing if some of them were compacted.
  std::optional<std::vector<StoreEvent>> eventsFrom(std::int64_t From) const;

private:
  struct LeaseState {
    seconds Ttl_{0};
    TimePoint ExpiresAt_;
    std::set<std::string> Keys_;
  };

  void detachLease(const std::string &Key);
  void appendEvent(StoreEvent Event);

  struct Copy {
    std::map<std::string, StoredItem> Items_;
    std::int64_t Revision_ = 1;
  };

  std::map<std::string, StoredItem> Items_;
  Copy Copy_;
  std::int64_t ClusterId_ = 1;
  std::map<std::int64_t, LeaseState> Leases_;
  std::deque<StoreEvent> Events_;
  std::int64_t Revision_ = 1;
  std::int64_t CompactedUpTo_ = 0;
  std::int64_t NextLease_ = 7587000000000000001;
};

} // namespace sycamore::standin
