// Limits the rate of calls that this process makes to the store.
#pragma once

#include "sycamore/Time.h"

#include <algorithm>

namespace sycamore {

/// Token bucket with one token per call. Holds at most the tokens of one
/// second, but at least 1.
class CallBudget {
public:
  CallBudget(double PerSecond, TimePoint Now)
      : PerSecond_(PerSecond), Tokens_(std::max(PerSecond, 1.0)),
        LastRefill_(Now) {}

  bool tryAcquire(TimePoint Now) {
    std::chrono::duration<double> Elapsed = Now - LastRefill_;
    LastRefill_ = Now;
    Tokens_ = std::min(Tokens_ + Elapsed.count() * PerSecond_,
                       std::max(PerSecond_, 1.0));
    if (Tokens_ < 1.0)
      return false;
    Tokens_ -= 1.0;
    return true;
  }

private:
  double PerSecond_;
  double Tokens_;
  TimePoint LastRefill_;
};

} // namespace sycamore
