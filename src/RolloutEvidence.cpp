// Comparison of the answers of two software versions.
#include "RolloutEvidence.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace {

/// Time after which an answer of the old version has half its weight.
constexpr Duration OldHalfLife = seconds(3);

/// A bad version fails a third to a half of its requests on at least one route;
/// a good one may fail as often as the old one does, with a margin.
struct RateModel {
  double GoodFloor_;  ///< Least rate that a good version is granted.
  double GoodFactor_; ///< Multiple of the old version's rate granted.
  double BadFloor_;   ///< Least rate of a bad version.
  double Distance_;   ///< Least difference between bad and good.
};
constexpr RateModel FailureModel{0.02, 1.5, 0.3, 0.25};
/// Times vary with the work that a request asks for, so more of a good
/// version's answers are slow than fail.
constexpr RateModel SlowModel{0.08, 1.5, 0.4, 0.3};

/// Weight of the assumption that the old version is good, in answers.
constexpr double PriorAnswers = 20;
constexpr double MaxRate = 0.9;

/// Score at which a version is bad, beyond the logarithm of the answers seen:
/// with more answers, a good version has more chances to look bad. Counting at
/// least MinScoreAnswers keeps a single failure from deciding.
constexpr double ScoreMargin = 3;
constexpr std::uint64_t MinScoreAnswers = 20;

/// Mean times decide on routes with too few answers for the entry daemons to
/// know a median each.
constexpr std::uint64_t MinMeanAnswers = 5;
constexpr std::uint64_t MaxMeanAnswers = 100;
constexpr double MinOldMeanAnswers = 3;
constexpr double MeanFactor = 4;

struct Rates {
  double Good_;
  double Bad_;
};

Rates ratesOf(const RateModel &Model, double OldCount, double OldAnswers) {
  double Old = OldCount / (OldAnswers + PriorAnswers);
  double Good = std::clamp(Old * Model.GoodFactor_, Model.GoodFloor_,
                           MaxRate - Model.Distance_);
  double Bad =
      std::min(std::max(Model.BadFloor_, Good + Model.Distance_), MaxRate);
  return {Good, Bad};
}

void addToScore(double &Score, const Rates &Expected, std::uint64_t Hits,
                std::uint64_t Answers) {
  double HitWeight = std::log(Expected.Bad_ / Expected.Good_);
  double MissWeight = std::log((1 - Expected.Bad_) / (1 - Expected.Good_));
  double Misses = static_cast<double>(Answers - std::min(Hits, Answers));
  Score = std::max(0.0, Score + static_cast<double>(Hits) * HitWeight +
                            Misses * MissWeight);
}

double thresholdOf(const RouteEvidence &Evidence) {
  return ScoreMargin + std::log(static_cast<double>(
                           std::max(Evidence.New_.Answers_, MinScoreAnswers)));
}

bool isMeanSlow(const RouteEvidence &Evidence) {
  std::uint64_t Answers = Evidence.New_.Answers_;
  if (Answers < MinMeanAnswers || Answers > MaxMeanAnswers ||
      Evidence.OldAnswers_ < MinOldMeanAnswers)
    return false;
  double New = static_cast<double>(Evidence.New_.Times_.count()) /
               static_cast<double>(Answers);
  return New > MeanFactor * Evidence.OldTimesUs_ / Evidence.OldAnswers_;
}

} // namespace

void addOldAnswers(RouteEvidence &Evidence, const RolloutCounts &Added,
                   TimePoint Time) {
  if (Added.Answers_ == 0 && Added.Failures_ == 0)
    return;
  double Age = std::chrono::duration<double>(Time - Evidence.OldAddedAt_) /
               std::chrono::duration<double>(OldHalfLife);
  double Weight = std::exp2(-std::max(Age, 0.0));
  Evidence.OldAddedAt_ = Time;
  Evidence.OldAnswers_ =
      Evidence.OldAnswers_ * Weight + static_cast<double>(Added.Answers_);
  Evidence.OldFailures_ =
      Evidence.OldFailures_ * Weight + static_cast<double>(Added.Failures_);
  Evidence.OldSlow_ =
      Evidence.OldSlow_ * Weight + static_cast<double>(Added.Slow_);
  Evidence.OldTimesUs_ =
      Evidence.OldTimesUs_ * Weight + static_cast<double>(Added.Times_.count());
}

void addNewAnswers(RouteEvidence &Evidence, const RolloutCounts &Added) {
  Evidence.New_.Answers_ += Added.Answers_;
  Evidence.New_.Failures_ += Added.Failures_;
  Evidence.New_.Slow_ += Added.Slow_;
  Evidence.New_.Times_ += Added.Times_;
  addToScore(Evidence.FailureScore_,
             ratesOf(FailureModel, Evidence.OldFailures_, Evidence.OldAnswers_),
             Added.Failures_, Added.Answers_);
  addToScore(Evidence.SlowScore_,
             ratesOf(SlowModel, Evidence.OldSlow_, Evidence.OldAnswers_),
             Added.Slow_, Added.Answers_);
}

std::string_view badnessOf(const RouteEvidence &Evidence) {
  double Threshold = thresholdOf(Evidence);
  if (Evidence.FailureScore_ >= Threshold)
    return "failures";
  if (Evidence.SlowScore_ >= Threshold)
    return "slow answers";
  return isMeanSlow(Evidence) ? "mean time" : "";
}

bool isSuspicious(const RouteEvidence &Evidence, double Part) {
  double Limit = thresholdOf(Evidence) * Part;
  return Evidence.FailureScore_ >= Limit || Evidence.SlowScore_ >= Limit;
}

} // namespace sycamore
