// Recognises requests that their callers have sent before.
//
// A caller that sends a request again states what is left of its time. The
// longest time stated on a route is what callers allow there, so the
// difference is the time that the request has already taken.
#pragma once

#include "sycamore/Time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace sycamore {

struct CallerTimesOptions {
  /// The longest time counts for one to two of these spans, so that a caller
  /// that once allowed far more than the others is forgotten.
  Duration Window_ = seconds(30);
  std::size_t MaxRoutes_ = 4096; ///< Routes beyond these are not followed.
};

struct CallerTimeEntry {
  TimePoint WindowStart_;
  Duration Longest_{0};       ///< Stated in this window.
  Duration LongestBefore_{0}; ///< Stated in the window before it.
};

struct CallerTimes {
  CallerTimesOptions Options_;
  std::unordered_map<std::string, CallerTimeEntry> Routes_;
};

/// Notes the time that a caller states for a request and returns how much of
/// the usual time on the route is missing from it; 0 for the longest.
Duration noteCallerTime(CallerTimes &Table, std::string_view Route,
                        Duration Stated, TimePoint Now);

} // namespace sycamore
