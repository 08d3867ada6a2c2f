#include "sycamore/CallBody.h"

#include <memory>
#include <xxhash.h>

namespace sycamore {

std::uint64_t bodyHash(std::string_view Body) {
  return XXH3_64bits(Body.data(), Body.size());
}

Result<void> checkBody(std::string_view Body, std::uint64_t Size,
                       std::uint64_t Hash) {
  if (Body.size() != Size)
    return fail(ErrorKind::InvalidData,
                "body has " + std::to_string(Body.size()) + " bytes, not " +
                    std::to_string(Size),
                "send the request again");
  if (bodyHash(Body) != Hash)
    return fail(ErrorKind::InvalidData,
                "body of " + std::to_string(Size) +
                    " bytes does not match its checksum",
                "send the request again");
  return {};
}

std::uint64_t requestHash(std::string_view Service, std::string_view Method,
                          std::string_view Path, std::string_view Body) {
  std::unique_ptr<XXH3_state_t, XXH_errorcode (*)(XXH3_state_t *)> State(
      XXH3_createState(), XXH3_freeState);
  XXH3_64bits_reset(State.get());
  for (std::string_view Part : {Service, Method, Path, Body}) {
    // With the length, "a" + "bc" and "ab" + "c" have different hashes.
    std::uint64_t Size = Part.size();
    XXH3_64bits_update(State.get(), &Size, sizeof Size);
    XXH3_64bits_update(State.get(), Part.data(), Part.size());
  }
  return XXH3_64bits_digest(State.get());
}

} // namespace sycamore
