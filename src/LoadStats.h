// Results of a load run: outcomes, latencies and rates over time.
#pragma once

#include "LoadScenario.h"
#include "sycamore/HttpClient.h"

#include <array>
#include <boost/histogram.hpp>

namespace sycamore {

enum class LoadOutcome {
  Good,    ///< A correct response.
  Wrong,   ///< A response with the wrong body.
  Failed,  ///< The target responded with an error.
  NotRun,  ///< Refused or not sent; the target did not run it.
  Unknown, ///< It may or may not have run.
};

inline constexpr std::size_t LoadOutcomeCount = 5;

std::string_view loadOutcomeName(LoadOutcome Outcome);

/// Classifies by the `sycamore-run` header if present, otherwise by status. A
/// request that was not sent is NotRun, one without a complete response
/// Unknown. Body is the body that was sent.
LoadOutcome classifyResponse(const HttpResponse &Response,
                             const LoadRequest &Request, std::string_view Body);

/// Latencies from 1 us to 1000 s with an error of at most 1%.
class LatencyHistogram {
public:
  LatencyHistogram();

  void add(Duration Latency);
  void merge(const LatencyHistogram &Other);
  std::uint64_t count() const { return Count_; }
  Duration max() const { return Max_; }
  /// Fraction is within (0, 1], for example 0.99 for p99. 0 us without values.
  Duration percentile(double Fraction) const;

private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> Bins_;
  std::uint64_t Count_ = 0;
  Duration Max_{0};
};

/// Outcomes and latencies of one request of the mix in one phase.
struct RequestStats {
  std::array<std::uint64_t, LoadOutcomeCount> Outcomes_{};
  std::uint64_t Resends_ = 0;
  LatencyHistogram Latency_; ///< Of good responses, from the intended time.

  std::uint64_t total() const;
  std::uint64_t count(LoadOutcome Outcome) const {
    return Outcomes_[static_cast<std::size_t>(Outcome)];
  }
  void merge(const RequestStats &Other);
};

/// Number of requests in one slice of time.
struct LoadSlice {
  std::uint64_t Offered_ = 0; ///< By intended time.
  std::uint64_t Good_ = 0;    ///< By time of the response.
  std::uint64_t Bad_ = 0;     ///< Any other outcome, by its time.
};

struct LoadResult {
  LoadScenario Scenario_;
  std::vector<std::vector<RequestStats>> Stats_; ///< By phase, then request.
  std::vector<LoadSlice> Slices_;
  Duration SliceLength_{0};
  /// From the intended to the actual send time. Values near the latencies mean
  /// that the generator itself was the bottleneck.
  LatencyHistogram SendDelay_;

  /// Sum over the requests of a phase, or of all phases other than warm-up.
  RequestStats phaseTotal(std::size_t Phase) const;
  RequestStats total() const;
  Duration totalLength() const;
};

LoadResult makeLoadResult(const LoadScenario &Scenario);

} // namespace sycamore
