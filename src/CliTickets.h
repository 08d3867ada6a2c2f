// What the commands on tickets share.
#pragma once

#include "Cli.h"

namespace sycamore {

/// The settings, identity and store of one command.
struct DeskSetup {
  OperatorSettings Settings_;
  DeskOperator Operator_;
  std::unique_ptr<CliStore> Store_;
  Random Rng_{std::random_device{}()};
  Duration Timeout_{0};

  /// Refers to this object.
  DeskSession session();
};

Result<DeskSetup> connectDesk(const CliRun &Run);

} // namespace sycamore
