// Guards against deadlocks of services that call each other and wait for each
// other's slots.
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
  Out.Quick_ = true;
  if (isMutated("admission-no-depth-share"))
    Out.Product_.AdmissionOptions_.ReserveByDepth_ = false;
  if (isMutated("admission-no-conflict-refusal"))
    Out.Product_.AdmissionOptions_.ConflictWait_ = std::chrono::hours(1);
  return Out;
}

/// Both services receive 4 times the load that they can handle, so that a
/// deadlock would last until its calls reach their deadlines (1 s).
void expectProgress(const Site &TestSite, std::uint32_t Deepest) {
  std::vector<Measure> Measures = nested(TestSite, Deepest, options());
  EXPECT_GT(Measures[0].Product_, Measures[0].Baseline_);
  EXPECT_LT(Measures[1].Product_, 250.0) << "ms without an answer";
}

} // namespace

class NestedCalls : public testing::TestWithParam<std::uint32_t> {};

TEST_P(NestedCalls, MakeProgressWith6SlotsAtEveryDepth) {
  expectProgress(daegu(), GetParam());
}

TEST_P(NestedCalls, MakeProgressWith12SlotsAtEveryDepth) {
  expectProgress(ashworth(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Depths, NestedCalls, testing::Range(1U, 10U));

/// Shows progress by the limits alone: if every level with recent calls has a
/// reserved slot, calls of the deepest level always find a slot and finish, and
/// therefore so do the calls that wait for them.
TEST(NestedCallsCaps, GrowWithDepthSoThatEachLevelHasItsOwnSlot) {
  Admission Table;
  Table.Options_ = options().Product_.AdmissionOptions_;
  TimePoint Now{seconds(1)};
  for (std::uint32_t Slots : {10U, 12U}) {
    setSlots(Table, Slots);
    for (std::uint32_t Depth = 0; Depth <= MaxAdmissionDepth; ++Depth)
      admit(Table, {Depth + 1, Depth, Now + seconds(1), {}, false, false}, Now);
    for (std::uint32_t Depth = 1; Depth <= MaxAdmissionDepth; ++Depth)
      EXPECT_GT(depthCap(Table, Depth, Now), depthCap(Table, Depth - 1, Now));
    EXPECT_GE(depthCap(Table, 0, Now), 1U);
    EXPECT_EQ(depthCap(Table, MaxAdmissionDepth, Now), Slots);
  }
}
