// Quantile of a stream in constant memory.
#include "sycamore/RunningQuantile.h"

#include <algorithm>
#include <cmath>

namespace sycamore {

void addValue(RunningQuantile &Estimate, double Value) {
  double Log = std::log(std::max(Value, 1.0));
  ++Estimate.Count_;
  if (Estimate.Count_ == 1) {
    Estimate.LogValue_ = Log;
    return;
  }
  // Larger steps at the start correct a first value far from the quantile
  // within a few more values.
  double Step =
      std::max(Estimate.Step_, 1.0 / static_cast<double>(Estimate.Count_));
  double Distance = Log - Estimate.LogValue_;
  double Move = Distance > 0 ? Step * Estimate.Probability_ * 2
                             : Step * (1 - Estimate.Probability_) * 2;
  Estimate.LogValue_ += std::clamp(Distance, -Move, Move);
}

double estimateOf(const RunningQuantile &Estimate) {
  return Estimate.Count_ == 0 ? 0 : std::exp(Estimate.LogValue_);
}

} // namespace sycamore
