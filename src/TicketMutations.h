// Switches for mutation tests: deliberate faults that a test must detect. Only
// builds with SYCAMORE_MUTATIONS contain them; test/mutations-tickets.txt lists
// each.
#pragma once

#include <cstdlib>
#include <string_view>

namespace sycamore {

#ifdef SYCAMORE_MUTATIONS
/// Whether the environment variable SYCAMORE_MUTATION names this fault.
inline bool mutationEnabled(std::string_view Name) {
  const char *Chosen = std::getenv("SYCAMORE_MUTATION");
  return Chosen && Name == Chosen;
}
#else
constexpr bool mutationEnabled(std::string_view /*Name*/) { return false; }
#endif

} // namespace sycamore
