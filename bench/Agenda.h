// Simulated clock and event queue of a discrete-event simulation.
#pragma once

#include "sycamore/Time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace sycamore::bench {

struct Event {
  TimePoint At_;
  std::uint64_t Order_ = 0; ///< Keeps events of equal time in order.
  std::function<void()> Action_;
};

struct FiresLater {
  bool operator()(const Event &Left, const Event &Right) const {
    return Left.At_ != Right.At_ ? Left.At_ > Right.At_
                                 : Left.Order_ > Right.Order_;
  }
};

struct EventQueue {
  TimePoint Now_{};
  std::uint64_t NextOrder_ = 0;
  std::priority_queue<Event, std::vector<Event>, FiresLater> Events_;

  void schedule(Duration Delay, std::function<void()> Action) {
    Events_.push(
        {Now_ + std::max(Delay, Duration{0}), NextOrder_++, std::move(Action)});
  }

  void runUntil(TimePoint End) {
    while (!Events_.empty() && Events_.top().At_ <= End) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      Next.Action_();
    }
  }
};

} // namespace sycamore::bench
