// Guards against an order that is accepted although it cannot be followed, and
// against a status that the platform cannot read.
#include "RolloutDocument.h"
#include "sycamore/Json.h"

#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::platform;

namespace {

KeyValue entry(const std::string &Value,
               const std::string &Key = "op/rollout/view") {
  KeyValue Out;
  Out.Key_ = Key;
  Out.Value_ = Value;
  Out.ModRevision_ = 31;
  return Out;
}

} // namespace

TEST(RolloutDocument, ParsesAnOrder) {
  auto Order = parseRolloutDocument(
      entry(R"({"service":"view","targetVersion":"v2","durationS":12.5,
                "note":"new fields are ignored"})"));
  ASSERT_TRUE(Order.has_value()) << describe(Order.error());
  EXPECT_EQ(Order->Service_, "view");
  EXPECT_EQ(Order->TargetVersion_, "v2");
  EXPECT_EQ(Order->Duration_, milliseconds(12500));
  EXPECT_EQ(Order->Revision_, 31);
}

TEST(RolloutDocument, RejectsAnOrderThatCannotBeFollowed) {
  for (const char *Value :
       {"", "nonsense", "[]", R"({"service":"view","durationS":12})",
        R"({"service":"view","targetVersion":"","durationS":12})",
        R"({"service":"view","targetVersion":7,"durationS":12})",
        R"({"service":"view","targetVersion":"v2","durationS":0})",
        R"({"service":"view","targetVersion":"v2","durationS":"12"})",
        R"({"service":"desk","targetVersion":"v2","durationS":12})"}) {
    auto Order = parseRolloutDocument(entry(Value));
    ASSERT_FALSE(Order.has_value()) << Value;
    EXPECT_EQ(Order.error().Kind_, ErrorKind::InvalidArgument) << Value;
  }
}

TEST(RolloutDocument, KnowsTheKeysOfOrders) {
  EXPECT_TRUE(isRolloutOrderKey("op/rollout/view"));
  EXPECT_FALSE(isRolloutOrderKey("op/rollout/"));
  EXPECT_FALSE(isRolloutOrderKey("op/config"));
  EXPECT_FALSE(isRolloutOrderKey("status/rollout/view"));
}

TEST(RolloutDocument, FormatsTheStatus) {
  KeyValue Status =
      formatStatusDocument("view", "v2", wire::ROLLOUT_ROLLED_BACK);
  EXPECT_EQ(Status.Key_, "status/rollout/view");
  EXPECT_EQ(Json::parse(Status.Value_),
            Json::parse(R"({"service":"view","state":"rolled_back",
                            "targetVersion":"v2"})"));
  EXPECT_EQ(
      Json::parse(formatStatusDocument("view", "v2", wire::ROLLOUT_COMPLETED)
                      .Value_)["state"],
      "completed");
}
