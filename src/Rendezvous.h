// Rendezvous hashing: daemons with the same list of names rank it alike.
#pragma once

#include <cstdint>
#include <string_view>

namespace sycamore {

/// Weight of Name for Key; the name with the highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view Name, std::uint64_t Key);

} // namespace sycamore
