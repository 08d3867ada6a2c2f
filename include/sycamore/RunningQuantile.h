// Quantile of a stream in constant memory.
#pragma once

#include <cstdint>

namespace sycamore {

/// Estimates one quantile of positive values by stochastic approximation on
/// their logarithm. Only the side of the estimate on which a value falls
/// counts, so one extreme value moves it no further than any other, and a
/// value known only to exceed a bound can be added as that bound.
struct RunningQuantile {
  double Probability_ = 0.5; ///< In (0, 1).
  double Step_ = 0.15;       ///< Largest move of the logarithm for one value.
  double LogValue_ = 0;
  std::uint64_t Count_ = 0;
};

/// Adds one value; values below 1 count as 1.
void addValue(RunningQuantile &Estimate, double Value);

/// The estimate, or 0 before the first value.
double estimateOf(const RunningQuantile &Estimate);

} // namespace sycamore
