// Rendezvous hash: every holder of the same names ranks them alike.
#pragma once

#include <cstdint>
#include <string_view>

namespace sycamore {

/// Rank of Name for Key; the highest rank wins.
std::uint64_t rendezvousRank(std::string_view Name, std::uint64_t Key);

} // namespace sycamore
