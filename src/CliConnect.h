// What the command line needs from the outside: store, daemon, clock, output.
#pragma once

#include "sycamore/TicketDesk.h"

#include <iosfwd>
#include <memory>

namespace sycamore {

/// A store with the loop that drives it.
struct CliStore {
  StoreSession Session_;
  std::function<TimePoint()> Clock_;
  std::function<void(Duration)> Wait_;
  std::shared_ptr<void> Owner_; ///< Keeps the above alive.
};

struct AdminAnswer {
  int Status_ = 0;
  std::string Body_;
};

/// Replaceable in tests.
struct CliEnvironment {
  std::ostream &Out_;
  std::ostream &Err_;
  std::function<WallTime()> WallNow_;
  std::function<Result<CliStore>(const StoreSettings &)> ConnectStore_;
  /// One HTTP request to the daemon of the settings. Errors: Unavailable when
  /// it was not sent, OutcomeUnknown when its answer was lost.
  std::function<Result<AdminAnswer>(const OperatorSettings &,
                                    std::string_view Method,
                                    const std::string &Path, Duration Timeout)>
      CallDaemon_;
};

/// The store and daemon over the network, and the machine's clock.
CliEnvironment networkEnvironment(std::ostream &Out, std::ostream &Err);

} // namespace sycamore
