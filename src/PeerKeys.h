// Loads the CURVE keys that the settings name.
#pragma once

#include "sycamore/PeerTransport.h"
#include "sycamore/Settings.h"

namespace sycamore {

struct PeerKeys {
  CurveKeys Own_;
  AllowedKeys Allowed_;
};

/// Returns empty keys when the settings have no curve section. The allowed keys
/// file is a JSON object from server names to public keys (Z85). Errors: those
/// of readKeyFile(), and InvalidSettings.
Result<PeerKeys> loadPeerKeys(const Settings &Config);

} // namespace sycamore
