// What a load run counted: outcomes, latencies and rates over time.
#pragma once

#include "LoadScenario.h"
#include "sycamore/HttpClient.h"

#include <array>
#include <boost/histogram.hpp>

namespace sycamore {

enum class LoadOutcome {
  Good,    ///< A correct answer.
  Wrong,   ///< An answer with the wrong body.
  Failed,  ///< The target's answer is an error.
  NotRun,  ///< Refused, and the target did not run it.
  Unknown, ///< It may or may not have run.
};

inline constexpr std::size_t LoadOutcomes = 5;

std::string_view loadOutcomeName(LoadOutcome Outcome);

/// By the `sycamore-run` header where there is one, else by status; a call that
/// was not sent counts as not run, one without a whole answer as unknown.
LoadOutcome classifyAnswer(const HttpAnswer &Answer, const LoadRequest &Request,
                           std::string_view Body);

/// Latencies from 1 us to 1000 s with an error of at most 1%.
class LatencyHistogram {
public:
  LatencyHistogram();

  void add(Duration Latency);
  void merge(const LatencyHistogram &Other);
  std::uint64_t count() const { return Count_; }
  Duration max() const { return Max_; }
  /// Share is within (0, 1]; 0 us without values.
  Duration percentile(double Share) const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> Bins_;
  std::uint64_t Count_ = 0;
  Duration Max_{0};
};

/// Requests of one kind in one phase.
struct LoadCell {
  std::array<std::uint64_t, LoadOutcomes> Outcomes_{};
  std::uint64_t Resends_ = 0;
  LatencyHistogram Latency_; ///< Of good answers, from the intended time.

  std::uint64_t total() const;
  std::uint64_t count(LoadOutcome Outcome) const {
    return Outcomes_[static_cast<std::size_t>(Outcome)];
  }
  void merge(const LoadCell &Other);
};

/// Requests of one slice of time.
struct LoadSlice {
  std::uint64_t Offered_ = 0; ///< By intended time.
  std::uint64_t Good_ = 0;    ///< By time of the answer.
  std::uint64_t Bad_ = 0;     ///< Any other outcome, by its time.
};

struct LoadResult {
  LoadScenario Scenario_;
  std::vector<std::vector<LoadCell>> Cells_; ///< By phase, then request.
  std::vector<LoadSlice> Slices_;
  Duration SliceLength_{0};
  /// Between the intended time and the moment the generator sent. Values near
  /// the latencies mean that the generator itself was the bottleneck.
  LatencyHistogram SendDelay_;

  /// All requests of a phase, or of all phases that are not warm-up.
  LoadCell ofPhase(std::size_t Phase) const;
  LoadCell total() const;
  Duration totalLength() const;
};

LoadResult makeLoadResult(const LoadScenario &Scenario);

} // namespace sycamore
