// Interface of the key-value store: reads, compare-and-swap transactions and
// leases, each with a deadline and a typed outcome, and watches.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sycamore {

/// Every key of this project starts with this prefix.
inline constexpr std::string_view StoreKeyPrefix = "/sycamore/";

/// Maximum size of a stored value, in bytes.
inline constexpr std::size_t MaxStoreValueBytes = 1U << 20U;

struct KeyValue {
  std::string Key_;
  std::string Value_;
  std::int64_t CreateRevision_ = 0;
  std::int64_t ModRevision_ = 0;
  std::int64_t Lease_ = 0; ///< 0 for no lease.
};

/// Reads one key or, if RangeEnd_ is set, all keys from Key_ up to but not
/// including RangeEnd_.
struct RangeRequest {
  std::string Key_;
  std::string RangeEnd_;
  std::int64_t Limit_ = 0; ///< 0 for no limit.
  bool Descending_ = false;
  bool KeysOnly_ = false;
};

struct RangeResult {
  std::int64_t Revision_ = 0; ///< Store revision at the time of the read.
  std::vector<KeyValue> Values_;
  /// In a transaction: why this read's answer could not be parsed. The other
  /// reads of the transaction hold.
  std::optional<Error> ParseError_;
};

/// Holds if the key's modification revision equals Revision_; 0 means that the
/// key is absent.
struct Compare {
  std::string Key_;
  std::int64_t Revision_ = 0;
};

struct Put {
  std::string Key_;
  std::string Value_;
  std::int64_t Lease_ = 0; ///< 0 for no lease.
};

/// Applies all puts and deletes if every comparison holds, and none otherwise.
/// Reads_ are performed in either case.
struct Txn {
  std::vector<Compare> Compares_;
  std::vector<Put> Puts_;
  std::vector<std::string> Deletes_;
  std::vector<RangeRequest> Reads_;
};

struct TxnResult {
  bool Succeeded_ = false;
  std::int64_t Revision_ = 0;
  std::vector<RangeResult> Reads_;
};

struct Lease {
  std::int64_t Id_ = 0;
  seconds Ttl_{0}; ///< 0 from a keep-alive: the lease expired or was revoked.
};

template <typename T> using StoreCallback = std::function<void(Result<T>)>;

/// The store was restored from a copy. What it acknowledged after the copy was
/// made is gone, leases included, and it gives the revisions of that time out
/// again.
struct StoreRestoration {
  std::string
      Identity_; ///< Stated by the store since; empty if it states none.
  std::int64_t RevisionBefore_ = 0; ///< Highest one answered before.
};

using RestorationHandler = std::function<void(const StoreRestoration &)>;

/// Stops its watch when destroyed.
class WatchHandle {
public:
  virtual ~WatchHandle() = default;

  /// When the store last answered this watch, by the monotonic clock; unset
  /// before its first answer.
  virtual std::optional<TimePoint> answeredAt() const = 0;

  /// When the latest request was sent whose answer shows that every change of
  /// the key before this time has been reported; unset when no answer has shown
  /// it, or when the watch has no such answers.
  virtual std::optional<TimePoint> confirmedAt() const { return std::nullopt; }
};

/// A call that fails with ErrorKind::Unavailable did not take effect; one that
/// fails with ErrorKind::OutcomeUnknown may have. A call that was answered
/// before a restoration which another answer has shown meanwhile fails. Done
/// runs exactly once, on the event loop's thread, possibly before the call
/// returns.
class Store {
public:
  virtual ~Store() = default;

  /// Handler runs on the event loop's thread when an answer shows a
  /// restoration, before the callback of that answer.
  void setRestorationHandler(RestorationHandler Handler) {
    OnRestored_ = std::move(Handler);
  }

  virtual void range(const RangeRequest &Request, Duration Deadline,
                     StoreCallback<RangeResult> Done) = 0;
  virtual void txn(const Txn &Request, Duration Deadline,
                   StoreCallback<TxnResult> Done) = 0;
  virtual void grantLease(seconds Ttl, Duration Deadline,
                          StoreCallback<Lease> Done) = 0;
  virtual void keepLeaseAlive(std::int64_t Id, Duration Deadline,
                              StoreCallback<Lease> Done) = 0;
  /// Done receives false if the lease does not exist.
  virtual void revokeLease(std::int64_t Id, Duration Deadline,
                           StoreCallback<bool> Done) = 0;

  /// Reports each new value of one key until the handle is destroyed, except
  /// values that a newer one has overtaken before they could be reported. A Key
  /// that ends with '/' is a prefix: the watch covers all keys that start with
  /// it.
  /// FromRevision 0 starts at the store's current revision. OnFailure runs once
  /// if the watch fails; the caller then starts a new watch.
  virtual std::unique_ptr<WatchHandle>
  watch(const std::string &Key, std::int64_t FromRevision,
        std::function<void(const KeyValue &)> OnChange,
        std::function<void(const Error &)> OnFailure) = 0;

protected:
  RestorationHandler OnRestored_;
};

/// Blocking store calls, one at a time. Pump_ runs the event loop until it has
/// handled an event; it is not called if the result is already available.
struct BlockingStoreClient {
  Store &Store_;
  std::function<void()> Pump_;
  Duration Deadline_ = seconds(3);

  Result<RangeResult> range(const RangeRequest &Request);
  Result<TxnResult> txn(const Txn &Request);
};

/// The end of the range of all keys that start with Prefix.
std::string prefixEnd(std::string Prefix);

/// See Store::watch().
inline bool isWatchedPrefix(std::string_view Key) { return Key.ends_with('/'); }
inline bool isWatched(std::string_view Watched, std::string_view Key) {
  return isWatchedPrefix(Watched) ? Key.starts_with(Watched) : Key == Watched;
}

std::string headKey();
std::string ticketKey(std::uint64_t Number);
std::string snapshotKey(std::uint64_t Number);
std::string seedsKey(std::string_view DataCentre);
/// Below the prefix of the seeds, so that one read returns both to a starting
/// daemon.
std::string departuresPrefix();
std::string bucketKey(std::uint32_t Bucket);

} // namespace sycamore
