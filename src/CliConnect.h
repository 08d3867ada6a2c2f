// External dependencies of the command line: store, daemon, clock and output.
#pragma once

#include "sycamore/TicketActions.h"

#include <iosfwd>
#include <memory>

namespace sycamore {

/// A connected store and the event loop that drives it.
struct CliStore {
  BlockingStoreClient Session_;
  std::function<TimePoint()> Clock_;
  std::function<void(Duration)> Wait_;
  std::shared_ptr<void> Owner_; ///< Owns the store and its event loop.
};

struct AdminResponse {
  int Status_ = 0;
  std::string Body_;
};

/// Connections, clock and streams of one invocation; tests replace them.
struct CliEnvironment {
  std::ostream &Out_;
  std::ostream &Err_;
  std::function<WallTime()> WallNow_;
  std::function<Result<CliStore>(const StoreSettings &)> ConnectStore_;
  /// Sends one HTTP request to the daemon named in the settings. Errors:
  /// InvalidSettings when they name none, Unavailable when the request was not
  /// sent, OutcomeUnknown when it was sent but the response was lost.
  std::function<Result<AdminResponse>(
      const OperatorSettings &, std::string_view Method,
      const std::string &Path, Duration Timeout)>
      CallDaemon_;
};

/// Connects to store and daemon over the network and uses the system clock.
CliEnvironment networkEnvironment(std::ostream &Out, std::ostream &Err);

} // namespace sycamore
