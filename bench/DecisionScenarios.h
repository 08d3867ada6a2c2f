// Scenarios for the measures of design.md that depend on the load policies, run
// in simulation (DecisionRun.h).
#pragma once

#include "DecisionRun.h"

#include <functional>
#include <span>

namespace sycamore::bench {

/// One figure, for the product and for the baseline.
struct Measure {
  std::string Name_;
  std::string Site_;
  std::string Unit_;
  double Product_ = 0;
  double Baseline_ = 0;
  bool AtLeast_ = false;        ///< Bound_ is a lower, not an upper bound.
  std::optional<double> Bound_; ///< From design.md; unset if there is none.
};

/// Product divided by baseline; 0 when the baseline is 0.
double ratioOf(const Measure &Figure);
bool isMet(const Measure &Figure);

struct ScenarioOptions {
  std::uint64_t Seed_ = 1;
  bool Quick_ = false; ///< Shorter runs.
  Policy Product_ = product();
  Policy Baseline_ = baseline();
};

/// Demand at 4 times capacity reached within 1 s, with stragglers and resends
/// by customers, on the first service of the site.
std::vector<Measure> peakLoad(const Site &TestSite,
                              const ScenarioOptions &Options);

/// The same peak load on the two services that call each other.
std::vector<Measure> nestedPeakLoad(const Site &TestSite,
                                    const ScenarioOptions &Options);

/// 2% of the requests take 50 times longer; OwnRoute: on a separate route.
std::vector<Measure> headOfLineBlocking(const Site &TestSite, bool OwnRoute,
                                        const ScenarioOptions &Options);

/// One target in 5 is ten times slower; Rotating: another one every second.
std::vector<Measure> tailLatency(const Site &TestSite, bool Rotating,
                                 const ScenarioOptions &Options);

/// Two saturated services that call each other, with nested calls to depth
/// MaxDepth.
std::vector<Measure> nested(const Site &TestSite, std::uint32_t MaxDepth,
                            const ScenarioOptions &Options);

/// The measures of all scenarios at both sites, or of those whose name contains
/// Only. Names: crest, nested-crest, head-of-line, tail, nested.
std::vector<Measure> allMeasures(const ScenarioOptions &Options,
                                 std::string_view Only = {});

/// Quantile of the values; 0 if there are none.
double quantileOf(std::vector<double> Values, double Share);

} // namespace sycamore::bench
