// Detects requests that their callers have sent before.
#include "sycamore/CallerTimes.h"

#include <algorithm>

namespace sycamore {

Duration noteCallerTime(CallerTimes &Table, std::string_view Route,
                        Duration Stated, TimePoint Now) {
  auto Found = Table.Routes_.find(std::string(Route));
  if (Found == Table.Routes_.end()) {
    if (Table.Routes_.size() < Table.Options_.MaxRoutes_)
      Table.Routes_.emplace(Route, CallerTimeEntry{Now, Stated, Duration{0}});
    return Duration{0};
  }
  CallerTimeEntry &Entry = Found->second;
  Duration Age = Now - Entry.WindowStart_;
  if (Age >= Table.Options_.Window_) {
    bool Adjacent = Age < Table.Options_.Window_ * 2;
    Entry.LongestBefore_ = Adjacent ? Entry.Longest_ : Duration{0};
    Entry.Longest_ = Duration{0};
    Entry.WindowStart_ = Now;
  }
  Entry.Longest_ = std::max(Entry.Longest_, Stated);
  return std::max(Entry.Longest_, Entry.LongestBefore_) - Stated;
}

} // namespace sycamore
