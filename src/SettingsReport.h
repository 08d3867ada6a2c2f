// The effective settings for the log, without secrets.
#pragma once

#include "sycamore/Settings.h"

namespace sycamore {

/// Names of key files are left out; what they switch on is stated.
Json describeSettings(const Settings &Value);

} // namespace sycamore
