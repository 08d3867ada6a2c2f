// Comparison of the answers of two software versions.
#pragma once

#include "sycamore/RolloutPlan.h"

namespace sycamore {

void addOldAnswers(RouteEvidence &Evidence, const RolloutCounts &Added,
                   TimePoint Time);
/// Compares the answers with those of the old version added before.
void addNewAnswers(RouteEvidence &Evidence, const RolloutCounts &Added);

/// What shows that the version is bad; empty while nothing does.
std::string_view badnessOf(const RouteEvidence &Evidence);

/// Whether the evidence has reached this part of what shows a bad version.
bool isSuspicious(const RouteEvidence &Evidence, double Part);

} // namespace sycamore
