// Access to the system clocks; no other code reads them.
#pragma once

#include "sycamore/Time.h"

namespace sycamore {

/// Reads CLOCK_BOOTTIME, which advances while the machine is suspended, so that
/// a lease holder sees after a suspension that its lease has lapsed.
TimePoint monotonicNow();

/// Reads CLOCK_REALTIME.
WallTime wallNow();

/// Reads both clocks, the wall clock first: a pause between the two readings
/// must not make a lapsed lease look valid.
Now readClocks();

/// Processor time that all threads of this process have used.
Duration processorTime();

} // namespace sycamore
