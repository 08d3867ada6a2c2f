// Rendezvous hashing: daemons with the same list of names rank it alike.
#include "Rendezvous.h"

#include <xxhash.h>

namespace sycamore {

std::uint64_t rendezvousWeight(std::string_view Name, std::uint64_t Key) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), Key);
}

} // namespace sycamore
