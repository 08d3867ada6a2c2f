// Random number generator, which decision logic takes as an argument.
#pragma once

#include <random>

namespace sycamore {

using Random = std::mt19937_64;

/// Uniform in [0, Bound); Bound must be positive.
inline std::size_t randomIndex(Random &Rng, std::size_t Bound) {
  return std::uniform_int_distribution<std::size_t>(0, Bound - 1)(Rng);
}

/// Uniform in [0, 1).
inline double randomUnit(Random &Rng) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(Rng);
}

} // namespace sycamore
