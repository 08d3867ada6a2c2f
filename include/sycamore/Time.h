// Time types. Decision logic takes the current time as an argument; only I/O
// adapters read the clocks (Clock.h).
#pragma once

#include <chrono>
#include <cstdint>

namespace sycamore {

using Duration = std::chrono::microseconds;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Monotonic clock that also advances while the machine is suspended. Has no
/// now(): use monotonicNow() of Clock.h.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
};

using TimePoint = MonotonicClock::time_point;

/// Time of day in microseconds since the Unix epoch.
using WallTime = std::chrono::sys_time<Duration>;

/// Both clocks, read together once per event of the event loop.
struct Now {
  TimePoint Monotonic_;
  WallTime Wall_;
};

inline std::int64_t toMilliseconds(Duration Value) {
  return std::chrono::duration_cast<milliseconds>(Value).count();
}

} // namespace sycamore
