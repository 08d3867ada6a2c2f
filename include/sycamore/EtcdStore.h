// Store over the JSON gateway of the etcd v3 protocol.
#pragma once

#include "sycamore/HttpMessage.h"
#include "sycamore/Store.h"

#include <map>

struct event_base;

namespace sycamore {

/// Calls by kind ("range", "txn", "lease-grant", "lease-keep-alive",
/// "lease-revoke", "watch") and outcome ("done", "not-done", "unknown",
/// "over-budget").
struct StoreCounters {
  std::map<std::string, std::map<std::string, std::uint64_t>> Calls_;
  /// Attempts, with retries and new watches: at least what the store counts.
  std::uint64_t Sent_ = 0;
};

struct EtcdStoreConfig {
  std::vector<std::string> Endpoints_; ///< "IP:PORT"; the first is preferred.
  /// Calls of this process that the store may see each second, retries and new
  /// watches included; as many may come at once after a pause. A call above
  /// it fails as Unavailable.
  double CallsPerSecond_ = 20;
  TlsFiles Tls_;
  Duration ConnectTimeout_ = milliseconds(500);
  /// A watch on which nothing arrives for this long fails. The store is asked
  /// for progress notices, which keep a working watch alive.
  Duration WatchSilence_ = seconds(30);
  std::shared_ptr<StoreCounters> Counters_; ///< Counts when set.
};

/// Endpoints are tried in turn when a call was not sent or is a read. A write
/// whose answer is lost or cannot be read is OutcomeUnknown. A watch also
/// reports the removal of its key, as a value with CreateRevision_ 0.
///
/// If the TLS files cannot be used, every call fails with that error. When the
/// store is destroyed, callbacks of its open calls do not run. The loop must
/// outlive the store and its watch handles.
std::unique_ptr<Store> makeEtcdStore(event_base *Base,
                                     const EtcdStoreConfig &Config);

} // namespace sycamore
