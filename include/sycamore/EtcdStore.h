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
  /// Requests sent, including retries and new watches; at least as many as the
  /// store counts.
  std::uint64_t RequestsSent_ = 0;
};

struct EtcdStoreConfig {
  std::vector<std::string> Endpoints_; ///< "IP:PORT"; the first is preferred.
  /// Maximum rate of this process's calls, retries and new watches included. A
  /// burst after a pause may hold one second's calls. A call over the limit
  /// fails with ErrorKind::Unavailable.
  double CallsPerSecond_ = 20;
  TlsFiles Tls_;
  Duration ConnectTimeout_ = milliseconds(500);
  /// A watch that receives no data for this long fails. Watches request
  /// progress notifications from the store, which keep a working watch from
  /// timing out.
  Duration WatchIdleTimeout_ = seconds(30);
  std::shared_ptr<StoreCounters> Counters_; ///< Optional; updated if set.
};

/// A call that was not sent, and any read, is retried at the next endpoint. A
/// write whose response is lost or cannot be parsed fails with
/// ErrorKind::OutcomeUnknown. A watch also reports the deletion of its key, as
/// a value with CreateRevision_ 0.
///
/// If the TLS files cannot be loaded, every call fails with the load error.
/// Callbacks of calls that are pending when the store is destroyed do not run.
/// Base must outlive the store and its watch handles.
std::unique_ptr<Store> makeEtcdStore(event_base *Base,
                                     const EtcdStoreConfig &Config);

} // namespace sycamore
