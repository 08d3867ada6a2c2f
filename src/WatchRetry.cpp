// Decides when a reader starts its next watch after one has failed.
#include "WatchRetry.h"

#include <algorithm>

namespace sycamore {

bool mayStartWatch(const WatchRetry &State, Now Time) {
  return Time.Monotonic_ >= State.NextAt_;
}

Duration recordWatchStarted(WatchRetry &State, Now Time) {
  State.StartedAt_ = Time.Monotonic_;
  return State.EndedAt_ ? Time.Monotonic_ - *State.EndedAt_ : Duration(0);
}

void recordWatchFailed(WatchRetry &State, Now Time, Random &Rng) {
  if (Time.Monotonic_ - State.StartedAt_ > MaxWatchRetry)
    State.Failures_ = 0;
  constexpr std::uint32_t MaxDoublings = 5;
  Duration Limit = std::min<Duration>(
      FirstWatchRetry * (1U << std::min(State.Failures_, MaxDoublings)),
      MaxWatchRetry);
  ++State.Failures_;
  State.EndedAt_ = Time.Monotonic_;
  // Random, so that readers whose watches ended together do not reconnect
  // together.
  State.NextAt_ = Time.Monotonic_ + std::chrono::duration_cast<Duration>(
                                        Limit * (0.5 + 0.5 * randomUnit(Rng)));
}

} // namespace sycamore
