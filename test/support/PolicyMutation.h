// Test-only switches that each disable one rule, to show that the check that
// guards the rule fails without it. See test/mutations-policy.txt.
#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

namespace sycamore::test {

/// Whether the environment variable SYCAMORE_MUTATION names this switch.
inline bool isMutated(std::string_view Name) {
  const char *Value = std::getenv("SYCAMORE_MUTATION");
  return Value != nullptr && Name == Value;
}

/// SYCAMORE_TEST_SEED, or 1; printed so that a run can be reproduced.
inline std::uint64_t testSeed() {
  const char *Value = std::getenv("SYCAMORE_TEST_SEED");
  std::uint64_t Seed = Value == nullptr ? 1 : std::strtoull(Value, nullptr, 10);
  std::cout << "SYCAMORE_TEST_SEED=" << Seed << '\n';
  return Seed;
}

} // namespace sycamore::test
