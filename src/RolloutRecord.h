// State of a roll-out as the store holds it.
#pragma once

#include "sycamore/Error.h"
#include "sycamore/Rollout.h"
#include "sycamore/Store.h"

namespace sycamore {

struct RolloutRecord {
  wire::RolloutState State_;
  std::int64_t OrderedUnixMs_ = 0;
  bool Published_ = false; ///< The status states the verdict.
};

std::string rolloutKey(std::string_view Service);
std::string encodeRolloutRecord(const RolloutRecord &Record);
/// Errors: InvalidData.
Result<RolloutRecord> parseRolloutRecord(std::string_view Text);

} // namespace sycamore
