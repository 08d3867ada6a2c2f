// Names of error kinds, and the text form of errors.
#include "sycamore/Error.h"

#include <array>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 12> KindNames = {
    "invalid-argument", "invalid-settings",  "invalid-ticket",
    "invalid-data",     "conflict",          "not-found",
    "too-large",        "permission-denied", "unavailable",
    "outcome-unknown",  "deadline-exceeded", "internal"};

} // namespace

std::string_view errorKindName(ErrorKind Kind) {
  return KindNames[static_cast<std::size_t>(Kind)];
}

std::string describe(const Error &Failure) {
  if (Failure.Remedy_.empty())
    return Failure.Message_;
  return Failure.Message_ + "; " + Failure.Remedy_;
}

} // namespace sycamore
