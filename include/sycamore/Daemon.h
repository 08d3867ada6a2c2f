// The daemon: runs all modules in one libevent loop on one thread.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/Settings.h"

#include <memory>
#include <string>

struct event_base;

namespace sycamore {

/// Addresses as bound, with the ports that the system chose.
struct DaemonAddresses {
  std::string Caller_;
  std::string Admin_;
  std::string Peer_;
  std::string Ready_;    ///< Empty when not set.
  std::string Announce_; ///< Empty when not set.
};

class Integration;

class Daemon {
public:
  /// Adapter is the integration that the settings name, or null; it must
  /// outlive the daemon. Errors: InvalidSettings and PermissionDenied for key
  /// files, Unavailable for addresses in use.
  static Result<std::unique_ptr<Daemon>>
  create(event_base *Base, const Settings &Config,
         const Integration *Adapter = nullptr);

  virtual ~Daemon() = default;

  virtual DaemonAddresses addresses() const = 0;

  /// Starts a graceful shutdown: announces that this server leaves, finishes
  /// the calls in flight, then ends the loop. Further calls have no effect.
  virtual void stop() = 0;

  /// Reloads the allowed peer keys, admin tokens and certificates, in this
  /// order. On an error the old one of the item that failed, and those of later
  /// items, stay in use.
  virtual Result<void> reload() = 0;

  /// Whether a graceful shutdown ended before all work was finished because
  /// stop_limit_ms had passed.
  virtual bool stopLimitPassed() const = 0;
};

} // namespace sycamore
