// Detects requests that their callers have sent before.
//
// A caller that repeats a request states the remaining part of its time-out.
// The longest time stated on a route is taken as the full time-out of its
// callers, so the difference is the time that the request has already taken.
#pragma once

#include "sycamore/Time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sycamore {

struct CallerTimesOptions {
  /// A stated time counts for one to two windows, so that a caller that once
  /// allowed far more time than the others has no lasting effect.
  Duration Window_ = seconds(30);
  std::size_t MaxRoutes_ = 4096; ///< Further routes are not tracked.
};

struct CallerTimeEntry {
  TimePoint WindowStart_;
  Duration LongestInWindow_{0};         ///< Longest time stated in this window.
  Duration LongestInPreviousWindow_{0}; ///< The same for the window before it.
};

struct CallerTimes {
  CallerTimesOptions Options_;
  std::unordered_map<std::string, CallerTimeEntry> Routes_;
};

/// Records the remaining time that a caller states for a request. Returns by
/// how much it is shorter than the longest time on the route; 0 for the longest
/// and for routes that are not tracked.
Duration recordCallerTime(CallerTimes &Table, std::string_view Route,
                          Duration RemainingTime, TimePoint Now);

} // namespace sycamore
