// Reads the system clocks.
#include "sycamore/Clock.h"

#include <ctime>

namespace sycamore {
namespace {

Duration readClock(clockid_t Id) {
  timespec Value{};
  clock_gettime(Id, &Value);
  return std::chrono::duration_cast<Duration>(
      seconds(Value.tv_sec) + std::chrono::nanoseconds(Value.tv_nsec));
}

} // namespace

TimePoint monotonicNow() { return TimePoint(readClock(CLOCK_BOOTTIME)); }

WallTime wallNow() { return WallTime(readClock(CLOCK_REALTIME)); }

Now readClocks() {
  WallTime Wall = wallNow();
  return {monotonicNow(), Wall};
}

Duration processorTime() { return readClock(CLOCK_PROCESS_CPUTIME_ID); }

} // namespace sycamore
