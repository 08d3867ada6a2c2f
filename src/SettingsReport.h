// The effective settings without secrets, as logged at the start.
#pragma once

#include "sycamore/Settings.h"

namespace sycamore {

/// States whether the features that use key files are enabled, but not the
/// paths of the key files.
Json describeSettings(const Settings &Value);

} // namespace sycamore
