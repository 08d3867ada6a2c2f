// Counts the calls that a stand-in received: in total, in the last complete
// second and in the busiest second.
#pragma once

#include "sycamore/Json.h"
#include "sycamore/Time.h"

#include <algorithm>
#include <map>

namespace sycamore::standin {

class RateCounter {
public:
  void add(TimePoint Now) {
    advanceTo(Now);
    ++Total_;
    Highest_ = std::max(Highest_, ++Current_);
  }

  /// Calls so far in the current second.
  std::uint64_t current(TimePoint Now) {
    advanceTo(Now);
    return Current_;
  }

  Json toJson(TimePoint Now) {
    advanceTo(Now);
    return {{"total", Total_},
            {"last_second", Previous_},
            {"highest_second", Highest_}};
  }

private:
  void advanceTo(TimePoint Now) {
    auto Second = std::chrono::floor<seconds>(Now.time_since_epoch()).count();
    if (Second == Second_)
      return;
    Previous_ = Second == Second_ + 1 ? Current_ : 0;
    Current_ = 0;
    Second_ = Second;
  }

  std::uint64_t Total_ = 0;
  std::uint64_t Current_ = 0;
  std::uint64_t Previous_ = 0;
  std::uint64_t Highest_ = 0;
  std::int64_t Second_ = 0;
};

} // namespace sycamore::standin
