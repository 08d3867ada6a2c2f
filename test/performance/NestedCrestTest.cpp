// Guards the goodput at peak load of services that call each other. A separate
// program because it is listed in KNOWN-RED.txt.
#include "DecisionScenarios.h"
#include "PolicyMutation.h"

#include <gtest/gtest.h>

using namespace sycamore::bench;

class NestedCrest : public testing::TestWithParam<Site> {};

TEST_P(NestedCrest, KeepsItsGoodputAndRecovers) {
  ScenarioOptions Options;
  Options.Seed_ = sycamore::test::testSeed();
  Options.Quick_ = true;
  for (const Measure &Each : nestedPeakLoad(GetParam(), Options))
    EXPECT_TRUE(isMet(Each))
        << Each.Name_ << ": " << Each.Product_ << ' ' << Each.Unit_;
}

INSTANTIATE_TEST_SUITE_P(Sites, NestedCrest,
                         testing::Values(daegu(), ashworth()),
                         [](const auto &Info) { return Info.param.Name_; });
