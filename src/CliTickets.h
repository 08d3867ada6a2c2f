// Setup that the ticket commands share.
#pragma once

#include "Cli.h"

namespace sycamore {

/// The operator's settings and identity and the store connection of a command.
struct TicketContext {
  OperatorSettings Settings_;
  TicketOperator Operator_;
  std::unique_ptr<CliStore> Store_;
  Random Rng_{std::random_device{}()};
  Duration Timeout_{0};

  /// The result refers to members of this object.
  TicketSession session();
};

Result<TicketContext> openTicketContext(const CliRun &Run);

} // namespace sycamore
