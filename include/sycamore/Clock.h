// The only place that reads the machine's clocks.
#pragma once

#include "sycamore/Time.h"

namespace sycamore {

/// Reads CLOCK_BOOTTIME, which advances during suspension, so that a paused
/// lease holder sees its lease as lapsed when it wakes.
TimePoint monotonicNow();

/// Reads CLOCK_REALTIME.
WallTime wallNow();

/// Reads the wall clock first: a pause between the two readings must not make a
/// lapsed lease look valid.
Now readClocks();

} // namespace sycamore
