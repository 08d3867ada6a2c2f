// Guards against a heartbeat that is accepted although it lacks a field or has
// an invalid one.
#include "InstanceNotice.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using namespace sycamore::platform;

namespace {

Json heartbeat() {
  return Json::parse(R"({"address":"10.0.0.9:8080","born":1700000000123,
    "information":{"service":"view","version":"v1","zone":"z","slots":12},
    "status":{"state":"ready","sequence":4,"coldRemainingMs":1500}})");
}

Result<TargetNotice> read(const std::string &Path, const std::string &Body) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = Path;
  Request.Body_ = Body;
  return readInstanceNotice(Request);
}

Result<TargetNotice> readBeat(const Json &Body) {
  return read("/v1/instances/i-7f/heartbeat", Body.dump());
}

} // namespace

TEST(InstanceNotice, ReadsAHeartbeat) {
  auto Read = readBeat(heartbeat());
  ASSERT_TRUE(Read.has_value()) << describe(Read.error());
  const auto &News = std::get<TargetAnnouncement>(*Read);
  EXPECT_EQ(News.Name_, "i-7f");
  EXPECT_EQ(News.Service_, "view");
  EXPECT_EQ(News.Address_, "10.0.0.9:8080");
  EXPECT_EQ(News.Slots_, 12U);
  EXPECT_EQ(News.Sequence_, 4U);
  EXPECT_EQ(News.StartedUnixMs_, 1700000000123);
  EXPECT_EQ(News.ColdFor_, milliseconds(1500));
  EXPECT_FALSE(News.Leaving_);
}

TEST(InstanceNotice, ReadsLeavingInBothForms) {
  Json Draining = heartbeat();
  Draining["status"]["state"] = "draining";
  EXPECT_TRUE(std::get<TargetAnnouncement>(*readBeat(Draining)).Leaving_);
  auto Departed = read("/v1/instances/i-7f/deregister", "");
  ASSERT_TRUE(Departed.has_value());
  EXPECT_EQ(std::get<TargetDeparture>(*Departed).Name_, "i-7f");
}

TEST(InstanceNotice, RefusesAHeartbeatWithoutWhatItNeeds) {
  for (const char *Pointer :
       {"/address", "/information", "/status", "/information/service",
        "/information/slots", "/status/state", "/status/sequence"}) {
    Json Body = heartbeat();
    Json::json_pointer At{Pointer};
    Body[At.parent_pointer()].erase(At.back());
    EXPECT_FALSE(readBeat(Body).has_value()) << Pointer;
    Body[At] = Json::array({1});
    EXPECT_FALSE(readBeat(Body).has_value()) << Pointer;
  }
}

TEST(InstanceNotice, RefusesAnUnknownStateAndOtherRequests) {
  Json Body = heartbeat();
  Body["status"]["state"] = "perhaps";
  EXPECT_FALSE(readBeat(Body).has_value());
  auto Other = read("/v1/instances/i-7f", heartbeat().dump());
  ASSERT_FALSE(Other.has_value());
  EXPECT_EQ(Other.error().Kind_, ErrorKind::NotFound);
  EXPECT_FALSE(
      read("/v1/instances/i%20x/heartbeat", heartbeat().dump()).has_value());
}

RC_GTEST_PROP(InstanceNotice, AnyBytesAreAnErrorOrANotice,
              (const std::string &Bytes)) {
  auto Read = read("/v1/instances/i-7f/heartbeat", Bytes);
  if (!Read)
    RC_ASSERT(!Read.error().Message_.empty());
}
