// Decides when a reader starts its next watch after one has failed.
#pragma once

#include "sycamore/Random.h"
#include "sycamore/Time.h"

#include <cstdint>
#include <optional>

namespace sycamore {

/// Longest delay before the first new watch. Changes made while no reader
/// watches reach the fleet only after this delay.
inline constexpr Duration FirstWatchRetry = milliseconds(100);

/// Limit of the delay, which doubles with each failure. A watch that lasts
/// longer than this resets the delay.
inline constexpr Duration MaxWatchRetry = seconds(3);

struct WatchRetry {
  TimePoint StartedAt_;              ///< Of the current or last watch.
  std::optional<TimePoint> EndedAt_; ///< Of the last watch that failed.
  TimePoint NextAt_;
  std::uint32_t Failures_ = 0; ///< Consecutive watches that ended early.
};

bool mayStartWatch(const WatchRetry &State, Now Time);

/// Returns for how long there was no watch; 0 for the first one.
Duration recordWatchStarted(WatchRetry &State, Now Time);

/// Schedules the next watch.
void recordWatchFailed(WatchRetry &State, Now Time, Random &Rng);

} // namespace sycamore
