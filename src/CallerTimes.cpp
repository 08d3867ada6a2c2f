// Detects requests that their callers have sent before.
#include "sycamore/CallerTimes.h"

#include <algorithm>

namespace sycamore {

Duration recordCallerTime(CallerTimes &Table, std::string_view Route,
                          Duration RemainingTime, TimePoint Now) {
  auto Found = Table.Routes_.find(std::string(Route));
  if (Found == Table.Routes_.end()) {
    if (Table.Routes_.size() < Table.Options_.MaxRoutes_)
      Table.Routes_.emplace(Route,
                            CallerTimeEntry{Now, RemainingTime, Duration{0}});
    return Duration{0};
  }
  CallerTimeEntry &Entry = Found->second;
  Duration Age = Now - Entry.WindowStart_;
  if (Age >= Table.Options_.Window_) {
    bool Adjacent = Age < Table.Options_.Window_ * 2;
    Entry.LongestInPreviousWindow_ =
        Adjacent ? Entry.LongestInWindow_ : Duration{0};
    Entry.LongestInWindow_ = Duration{0};
    Entry.WindowStart_ = Now;
  }
  Entry.LongestInWindow_ = std::max(Entry.LongestInWindow_, RemainingTime);
  return std::max(Entry.LongestInWindow_, Entry.LongestInPreviousWindow_) -
         RemainingTime;
}

} // namespace sycamore
