// Checks the measures of design.md that depend on the load policies against
// their bounds. The clock is simulated and every run has a seed, so the results
// are reproducible and the bounds can be enforced.
#include "DecisionScenarios.h"
#include "PolicyMutation.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::bench;
using sycamore::test::isMutated;

namespace {

ScenarioOptions options() {
  ScenarioOptions Out;
  Out.Seed_ = sycamore::test::testSeed();
  Policy &ProductPolicy = Out.Product_;
  if (isMutated("placement-no-outliers"))
    ProductPolicy.PlacementOptions_.OutlierRatio_ = 1e9;
  if (isMutated("placement-trusts-late-reports"))
    ProductPolicy.PlacementOptions_.LoadSmoothing_ = milliseconds(1);
  if (isMutated("admission-no-long-share"))
    ProductPolicy.AdmissionOptions_.LongShare_ = 1;
  if (isMutated("admission-baseline"))
    ProductPolicy.Admission_ = false;
  if (isMutated("hedge-unbounded"))
    ProductPolicy.HedgeOptions_.Share_ = 1;
  return Out;
}

void expectMet(const std::vector<Measure> &Measures) {
  for (const Measure &Each : Measures)
    EXPECT_TRUE(isMet(Each))
        << Each.Name_ << ", " << Each.Site_ << ": " << Each.Product_ << ' '
        << Each.Unit_ << ", bound " << Each.Bound_.value_or(0);
}

} // namespace

class DecisionRun : public testing::TestWithParam<Site> {};

TEST_P(DecisionRun, KeepsItsGoodputAtTheCrestAndRecovers) {
  expectMet(peakLoad(GetParam(), options()));
}

TEST_P(DecisionRun, ShortRequestsDoNotWaitForKnownLongOnes) {
  expectMet(headOfLineBlocking(GetParam(), true, options()));
}

TEST_P(DecisionRun, ShortRequestsDoNotWaitForUnknownLongOnes) {
  expectMet(headOfLineBlocking(GetParam(), false, options()));
}

TEST_P(DecisionRun, OneSlowTargetDoesNotSlowTheTail) {
  expectMet(tailLatency(GetParam(), false, options()));
}

TEST_P(DecisionRun, ASlowTargetThatMovesDoesNotSlowTheTail) {
  expectMet(tailLatency(GetParam(), true, options()));
}

INSTANTIATE_TEST_SUITE_P(Sites, DecisionRun,
                         testing::Values(daegu(), ashworth()),
                         [](const auto &Info) { return Info.param.Name_; });
