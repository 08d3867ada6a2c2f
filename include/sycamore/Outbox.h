// Messages that modules without I/O of their own queue; PeerTransport sends
// them.
#pragma once

#include "sycamore/PeerMessages.pb.h"

#include <string>
#include <vector>

namespace sycamore {

struct OutgoingMessage {
  std::string To_; ///< Name of the receiving server.
  wire::PeerMessage Message_;
  std::string Body_; ///< Second frame; only calls have one.
};

using Outbox = std::vector<OutgoingMessage>;

} // namespace sycamore
