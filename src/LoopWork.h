// Accounts for the time that the event loop spends in each kind of work, so
// that a late answer can be attributed to the work that delayed it.
#pragma once

#include "sycamore/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace sycamore {

enum class LoopTask : std::size_t {
  Tick,           ///< Timers of all modules.
  CallerRequest,  ///< A request of a caller, until it is passed on.
  Call,           ///< A message between daemons that belongs to a call.
  Control,        ///< Any other message between daemons.
  TicketBodies,   ///< A ticket from a peer: unpacked, checked and applied.
  TicketPull,     ///< A ticket packed for a peer.
  StoreAnswer,    ///< An answer of the store, and the ticket in it.
  TargetResponse, ///< A response of a local target.
  Count
};

inline constexpr std::size_t LoopTaskCount =
    static_cast<std::size_t>(LoopTask::Count);

/// Name in logs and metrics, for example "ticket-bodies".
std::string_view loopTaskName(LoopTask Task);

struct LoopTaskStats {
  std::uint64_t Count_ = 0;
  Duration Total_{0};
  Duration Longest_{0}; ///< Since the last call of takeLongest().
};

struct LoopWork {
  std::array<LoopTaskStats, LoopTaskCount> Tasks_;
  /// Longest delay of a tick beyond its interval, since takeLongest().
  Duration TickDelay_{0};
};

/// Adds one piece of work that took Span. A piece that takes SlowTaskTime or
/// longer is logged.
void recordTask(LoopWork &Work, LoopTask Task, Duration Span);

/// All other requests wait while one piece of work takes this long.
inline constexpr Duration SlowTaskTime = milliseconds(50);

void recordTickDelay(LoopWork &Work, Duration Delay);

/// Resets the maxima and returns what they were.
LoopWork takeLongest(LoopWork &Work);

/// Measures the work between its construction and its destruction.
class LoopTaskTimer {
public:
  LoopTaskTimer(LoopWork &Work, LoopTask Task);
  ~LoopTaskTimer();
  LoopTaskTimer(const LoopTaskTimer &) = delete;
  LoopTaskTimer &operator=(const LoopTaskTimer &) = delete;

private:
  LoopWork &Work_;
  LoopTask Task_;
  TimePoint StartedAt_;
};

} // namespace sycamore
