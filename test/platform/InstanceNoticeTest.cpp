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

Result<TargetNotice> parseNotice(const std::string &Path,
                                 const std::string &Body) {
  HttpRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = Path;
  Request.Body_ = Body;
  return parseInstanceNotice(Request);
}

Result<TargetNotice> parseHeartbeat(const Json &Body) {
  return parseNotice("/v1/instances/i-7f/heartbeat", Body.dump());
}

} // namespace

TEST(InstanceNotice, ParsesAHeartbeat) {
  auto Parsed = parseHeartbeat(heartbeat());
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  const auto &Announcement = std::get<TargetAnnouncement>(*Parsed);
  EXPECT_EQ(Announcement.Name_, "i-7f");
  EXPECT_EQ(Announcement.Service_, "view");
  EXPECT_EQ(Announcement.Version_, "v1");
  EXPECT_EQ(Announcement.Address_, "10.0.0.9:8080");
  EXPECT_EQ(Announcement.Slots_, 12U);
  EXPECT_EQ(Announcement.Sequence_, 4U);
  EXPECT_EQ(Announcement.StartedUnixMs_, 1700000000123);
  EXPECT_EQ(Announcement.WarmUpRemaining_, milliseconds(1500));
  EXPECT_FALSE(Announcement.Leaving_);
}

// A server of a platform that states no version, or one that is no text, still
// serves; it only belongs to no version of a roll-out.
TEST(InstanceNotice, AcceptsAHeartbeatWithoutAVersion) {
  for (const Json &Version : {Json(), Json(3), Json(std::string(300, 'v'))}) {
    Json Body = heartbeat();
    Body["information"]["version"] = Version;
    auto Parsed = parseHeartbeat(Body);
    ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
    EXPECT_EQ(std::get<TargetAnnouncement>(*Parsed).Version_, "");
  }
  Json Body = heartbeat();
  Body["information"].erase("version");
  auto Parsed = parseHeartbeat(Body);
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  EXPECT_EQ(std::get<TargetAnnouncement>(*Parsed).Version_, "");
}

TEST(InstanceNotice, ParsesADepartureInBothForms) {
  Json Draining = heartbeat();
  Draining["status"]["state"] = "draining";
  EXPECT_TRUE(std::get<TargetAnnouncement>(*parseHeartbeat(Draining)).Leaving_);
  auto Departed = parseNotice("/v1/instances/i-7f/deregister", "");
  ASSERT_TRUE(Departed.has_value());
  EXPECT_EQ(std::get<TargetDeparture>(*Departed).Name_, "i-7f");
}

TEST(InstanceNotice, RejectsAHeartbeatWithoutARequiredField) {
  for (const char *Pointer :
       {"/address", "/information", "/status", "/information/service",
        "/information/slots", "/status/state", "/status/sequence"}) {
    Json Body = heartbeat();
    Json::json_pointer Field{Pointer};
    Body[Field.parent_pointer()].erase(Field.back());
    EXPECT_FALSE(parseHeartbeat(Body).has_value()) << Pointer;
    Body[Field] = Json::array({1});
    EXPECT_FALSE(parseHeartbeat(Body).has_value()) << Pointer;
  }
}

TEST(InstanceNotice, RejectsAPortThatNobodyCanListenOn) {
  for (const char *Port : {"0", "65536", "99999", "-1", "8080x", ""}) {
    Json Body = heartbeat();
    Body["address"] = std::string("10.0.0.9:") + Port;
    EXPECT_FALSE(parseHeartbeat(Body).has_value()) << Port;
  }
}

TEST(InstanceNotice, RejectsANumberThatIsTooLargeAndDeepNesting) {
  std::string Valid = heartbeat().dump();
  std::string Deep = std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string &Value :
       {std::string("1e999"), std::string("18446744073709551616"),
        std::string("9223372036854775808"), Deep}) {
    for (const char *Field :
         {"\"slots\":12", "\"sequence\":4", "\"born\":1700000000123"}) {
      std::string Name(Field, std::string(Field).find(':') + 1);
      std::string Body = Valid;
      Body.replace(Body.find(Field), std::string(Field).size(), Name + Value);
      EXPECT_FALSE(parseNotice("/v1/instances/i-7f/heartbeat", Body))
          << Name << Value.substr(0, 40);
    }
  }
}

TEST(InstanceNotice, RejectsAnUnknownStateAndOtherRequests) {
  Json Body = heartbeat();
  Body["status"]["state"] = "perhaps";
  EXPECT_FALSE(parseHeartbeat(Body).has_value());
  auto Other = parseNotice("/v1/instances/i-7f", heartbeat().dump());
  ASSERT_FALSE(Other.has_value());
  EXPECT_EQ(Other.error().Kind_, ErrorKind::NotFound);
  EXPECT_FALSE(parseNotice("/v1/instances/i%20x/heartbeat", heartbeat().dump())
                   .has_value());
}

RC_GTEST_PROP(InstanceNotice, AnyBytesAreAnErrorOrANotice,
              (const std::string &Bytes)) {
  auto Parsed = parseNotice("/v1/instances/i-7f/heartbeat", Bytes);
  if (!Parsed)
    RC_ASSERT(!Parsed.error().Message_.empty());
}
