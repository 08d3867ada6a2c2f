// Estimates of a target's remaining work at an entry daemon, and of the time
// until a request would be complete there.
//
// With many entry daemons and targets, one entry daemon hears from a target
// every second or so, while the queue of that target changes within a tenth of
// it. A report therefore loses weight quickly: the estimate returns to the mean
// of all targets, which is known better. The speed of a target changes slowly
// and is kept.
#pragma once

#include "sycamore/Placement.h"

namespace sycamore {

/// Whether a service with this many candidates is placed by remaining work.
bool isPlacedByWork(const PlacementOptions &Options, std::size_t Candidates);

/// Sets MeanWorkUs_ of all targets to the mean of their last reports. Returns
/// the same mean without the queued work that a request of Rank would precede.
double updateMeanWork(std::span<TargetStats *const> Targets, std::size_t Rank);

/// Estimated time in microseconds until a request would be complete. MeanWorkUs
/// is the result of updateMeanWork().
double completionTime(const PlacementOptions &Options, const Candidate &Target,
                      const TargetStats &Stats, double MeanWorkUs, bool Far,
                      const RequestCost &Request, TimePoint Now);

/// Cost to compare: the completion time, but below the share of the slack that
/// is soon enough, faster targets cost more. See PlacementOptions::SlackShare_.
double costWithSlack(const PlacementOptions &Options, const TargetStats &Stats,
                     double CompletionUs, Duration Slack);

bool hasFreshReport(const PlacementOptions &Options, const TargetStats &Stats,
                    TimePoint Now);

/// Adds the work of an own call that was just sent.
void addOwnWork(const PlacementOptions &Options, TargetStats &Stats,
                Duration Cost, TimePoint Now);

/// Applies the figures of an answer. Does nothing if it has none.
void recordWork(const PlacementOptions &Options, TargetStats &Stats,
                const TargetLoad &Load, TimePoint Now);

} // namespace sycamore
