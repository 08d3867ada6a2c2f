// Guards against a configuration document that is parsed wrongly, applied in
// part, or crashes the daemon.
#include "ConfigDocument.h"
#include "sycamore/ConfigReplica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;
using namespace sycamore::platform;

namespace {

Json document(std::uint64_t Version = 7) {
  return Json::parse(R"({"version":)" + std::to_string(Version) + R"(,
    "services":[{"name":"view","healthPath":"/health","connectionLimit":130},
                {"name":"desk","healthPath":"/health","connectionLimit":130}],
    "limits":{"maxHeaderBytes":16384},
    "virtualHosts":[
      {"host":"a.example","paths":[
        {"name":"r-1","prefix":"/x/","kind":"idempotent","timeoutMs":1200,
         "targetLatencyMs":200,"priority":2,"maxAttempts":2,
         "trafficSplit":[{"service":"view","weight":90},
                         {"service":"desk","weight":10}]},
        {"name":"r-2","prefix":"/x/y/","kind":"non_idempotent","timeoutMs":800,
         "priority":1,"service":"desk","maxAttempts":2}]},
      {"host":"b.example","paths":[
        {"name":"r-3","prefix":"/x/","kind":"idempotent","timeoutMs":500,
         "service":"desk"}]}]})");
}

Result<FullState> parseDocument(const Json &Document) {
  return parseConfigDocument(Document.dump());
}

} // namespace

TEST(ConfigDocument, ParsesRoutesWithTheirPolicy) {
  auto Parsed = parseDocument(document());
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  EXPECT_EQ(Parsed->Number_, 7U);
  const Route &Split = Parsed->State_.Routes_.at("r-1");
  EXPECT_EQ(Split.Host_, "a.example");
  EXPECT_EQ(Split.Split_.size(), 2U);
  EXPECT_EQ(Split.Timeout_, milliseconds(1200));
  EXPECT_EQ(Split.LatencyTarget_, milliseconds(200));
  EXPECT_EQ(Split.MaxAttempts_, 2U);
  EXPECT_EQ(Split.Priority_, 2U);
  EXPECT_EQ(Split.Idempotent_, true);
  EXPECT_EQ(Parsed->State_.Routes_.at("r-2").Idempotent_, false);
  EXPECT_TRUE(Parsed->State_.Services_.at("view").AdmitAnnounced_);
}

TEST(ConfigDocument, MatchesTheLongestPrefixOfTheHost) {
  auto Created = snapshotFromDocument(*parseDocument(document()), "text");
  ASSERT_TRUE(Created.has_value());
  auto MatchedRoute = [&](const char *Host, const char *Path) {
    std::string Out;
    matchRoute(*Created, Host, "GET", Path, &Out);
    return Out;
  };
  EXPECT_EQ(MatchedRoute("a.example", "/x/z"), "r-1");
  EXPECT_EQ(MatchedRoute("a.example", "/x/y/z"), "r-2");
  EXPECT_EQ(MatchedRoute("a.example", "/x/yy/z"), "r-1");
  EXPECT_EQ(MatchedRoute("b.example", "/x/y/z"), "r-3");
  EXPECT_EQ(MatchedRoute("a.example", "/xx/"), "");
  EXPECT_EQ(MatchedRoute("c.example", "/x/z"), "");
}

TEST(ConfigDocument, SplitsRequestsByWeight) {
  auto Parsed = parseDocument(document());
  int DeskRequests = 0;
  for (int I = 0; I < 1000; ++I)
    DeskRequests += chooseService(Parsed->State_.Routes_.at("r-1"),
                                  (I + 0.5) / 1000) == "desk"
                        ? 1
                        : 0;
  EXPECT_EQ(DeskRequests, 100);
}

// A credential that names the wrong tenant, or that stays in memory, would let
// one customer act for another.
TEST(ConfigDocument, ParsesTenantsWithoutKeepingTheirCredentials) {
  Json Document = document();
  Document["tenants"] = {{{"name", "t-1"},
                          {"apiKeys", {"first-key", "second-key"}},
                          {"priority", 1},
                          {"requestsPerS", 366},
                          {"burst", 50}},
                         {{"name", "t-2"}, {"apiKeys", Json::array()}}};
  Document["virtualHosts"][0]["paths"][1]["allowAnonymous"] = true;
  auto Created = snapshotFromDocument(parseDocument(Document).value(), "text");
  ASSERT_TRUE(Created.has_value()) << describe(Created.error());
  const Tenant &First = Created->State_.Tenants_.at("t-1");
  EXPECT_EQ(First.Priority_, 1U);
  EXPECT_EQ(First.RequestsPerSecond_, 366U);
  EXPECT_EQ(First.Burst_, 50U);
  ASSERT_NE(findTenant(*Created, "second-key"), nullptr);
  EXPECT_EQ(*findTenant(*Created, "second-key"), "t-1");
  EXPECT_EQ(findTenant(*Created, "third-key"), nullptr);
  EXPECT_EQ(toJson(Created->State_).dump().find("first-key"),
            std::string::npos);
  EXPECT_FALSE(Created->State_.Routes_.at("r-1").AllowAnonymous_);
  EXPECT_TRUE(Created->State_.Routes_.at("r-2").AllowAnonymous_);
}

TEST(ConfigDocument, RefusesACredentialOfTwoTenantsAndQuotasOutOfRange) {
  Json Document = document();
  Document["tenants"] = {{{"name", "t-1"}, {"apiKeys", {"key"}}},
                         {{"name", "t-2"}, {"apiKeys", {"other", "key"}}}};
  auto Created = snapshotFromDocument(parseDocument(Document).value(), "text");
  ASSERT_FALSE(Created.has_value());
  EXPECT_NE(Created.error().Message_.find("tenants.t-2: key 1"),
            std::string::npos);
  EXPECT_EQ(Created.error().Message_.find("\"key\""), std::string::npos);
  for (const Json &Quota : {Json(-1), Json(1'000'001), Json("many")}) {
    Document["tenants"][1] = {
        {"name", "t-2"}, {"apiKeys", {"other"}}, {"requestsPerS", Quota}};
    auto Parsed = parseDocument(Document);
    ASSERT_FALSE(Parsed.has_value()) << Quota;
    EXPECT_NE(Parsed.error().Message_.find("tenants[1].requestsPerS"),
              std::string::npos);
  }
}

// The priority of a tenant precedes that of the route; without tenants, only
// that of the route counts.
TEST(ConfigDocument, RanksRequestsByTenantThenByRoute) {
  Json Document = document();
  auto Rank = [&](const char *RouteName, const char *TenantName) {
    auto Created =
        snapshotFromDocument(parseDocument(Document).value(), "text");
    return requestPriority(*Created, Created->State_.Routes_.at(RouteName),
                           TenantName);
  };
  EXPECT_EQ(Rank("r-1", ""), 2U);
  Document["tenants"] = {
      {{"name", "gold"}, {"apiKeys", {"a"}}, {"priority", 0}},
      {{"name", "basic"}, {"apiKeys", {"b"}}, {"priority", 3}}};
  EXPECT_LT(Rank("r-1", "gold"), Rank("r-2", "basic"));
  EXPECT_LT(Rank("r-2", "gold"), Rank("r-1", "gold"));
  EXPECT_LT(Rank("r-1", ""), Rank("r-2", "basic"));
}

TEST(ConfigDocument, NamesEachProblemWithItsField) {
  Json Bad = document();
  Bad["virtualHosts"][0]["paths"][0]["kind"] = 7;
  Bad["virtualHosts"][0]["paths"][1].erase("service");
  auto Parsed = parseDocument(Bad);
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_NE(Parsed.error().Message_.find("virtualHosts[0].paths[0].kind"),
            std::string::npos);
  EXPECT_NE(Parsed.error().Message_.find("virtualHosts[0].paths[1].service"),
            std::string::npos);
}

TEST(ConfigDocument, RequestsOfADownloadRouteMayRunMoreThanOnce) {
  Json Document = document();
  Document["virtualHosts"][0]["paths"][0]["kind"] = "download";
  auto Parsed = parseDocument(Document);
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  EXPECT_EQ(Parsed->State_.Routes_.at("r-1").Idempotent_, true);
  EXPECT_TRUE(Parsed->Substitutions_.empty());
}

// One route of a kind that this version does not know used to keep a daemon
// from every configuration.
TEST(ConfigDocument, ServesARouteOfAnUnknownKindAtMostOnceAndNamesIt) {
  Json Document = document();
  Document["virtualHosts"][0]["paths"][0]["kind"] = "sometimes";
  auto Parsed = parseDocument(Document);
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  EXPECT_EQ(Parsed->State_.Routes_.at("r-1").Idempotent_, false);
  EXPECT_EQ(Parsed->State_.Routes_.at("r-3").Idempotent_, true);
  ASSERT_EQ(Parsed->Substitutions_.size(), 1U);
  for (const char *Part : {"virtualHosts[0].paths[0].kind", "\"r-1\"",
                           "\"sometimes\"", "\"non_idempotent\""})
    EXPECT_NE(Parsed->Substitutions_[0].find(Part), std::string::npos) << Part;
}

TEST(ConfigDocument, RejectsADocumentWithARouteWithoutKind) {
  for (const Json &Kind : {Json(), Json(7), Json(""), Json::array()}) {
    Json Document = document();
    Document["virtualHosts"][0]["paths"][0]["kind"] = Kind;
    auto Parsed = parseDocument(Document);
    ASSERT_FALSE(Parsed.has_value()) << Kind.dump();
    EXPECT_NE(Parsed.error().Message_.find("virtualHosts[0].paths[0].kind"),
              std::string::npos);
  }
}

TEST(ConfigDocument, IgnoresUnknownFields) {
  Json Extended = document();
  Extended["added_later"] = 1;
  Extended["virtualHosts"][0]["paths"][0]["added_later"] = Json::array();
  EXPECT_TRUE(parseDocument(Extended).has_value());
}

TEST(ConfigDocument, ARejectedDocumentLeavesTheReplicaUnchanged) {
  ConfigReplicaConfig Config;
  Config.ParseDocument_ = [](std::string_view Text,
                             const ParsedDocument &Before) {
    return parseConfigDocument(Text, Before);
  };
  ConfigReplica Replica = makeConfigReplica(Config);
  EXPECT_EQ(offerDocument(Replica, document(7).dump()).Outcome_,
            OfferOutcome::Applied);
  Json Dangling = document(8);
  Dangling["virtualHosts"][1]["paths"][0]["service"] = "nowhere";
  EXPECT_EQ(offerDocument(Replica, Dangling.dump()).Outcome_,
            OfferOutcome::Rejected);
  EXPECT_EQ(Replica.Current_->Number_, 7U);
  EXPECT_EQ(offerDocument(Replica, document(6).dump()).Outcome_,
            OfferOutcome::AlreadyHave);
  EXPECT_EQ(offerDocument(Replica, document(9).dump()).Outcome_,
            OfferOutcome::Applied);
  EXPECT_EQ(Replica.Current_->Number_, 9U);
}

namespace {

/// A document of many routes, some of them changed at random.
Json randomDocument(std::uint64_t Version) {
  Json Out = document(Version);
  int Hosts = *rc::gen::inRange(1, 4);
  for (int Host = 0; Host < Hosts; ++Host) {
    Json Paths = Json::array();
    int Routes = *rc::gen::inRange(0, 6);
    for (int I = 0; I < Routes; ++I) {
      std::string Number = std::to_string(I);
      Json Path = {{"name", *rc::gen::element<std::string>("n-", "n\"\\-") +
                                std::to_string(Host) + Number},
                   {"prefix", "/p" + Number + "/"},
                   {"kind", *rc::gen::element("idempotent", "later")},
                   {"timeoutMs", *rc::gen::element(500, 800)},
                   {"service", *rc::gen::element("view", "desk")}};
      if (*rc::gen::inRange(0, 4) == 0)
        Path["added_later"] = {{"deep", Json::array({1, "x,]}"})}};
      Paths.push_back(Path);
    }
    Json Entry = {{"host", "h" + std::to_string(Host)}, {"paths", Paths}};
    if (*rc::gen::inRange(0, 10) == 0)
      Entry["added_later"] = 1;
    Out["virtualHosts"].push_back(Entry);
  }
  return Out;
}

} // namespace

// A document parsed with the help of the one before it that gave another state
// would leave daemons with different routes under one version.
RC_GTEST_PROP(ConfigDocument, ParsingOnlyWhatChangedGivesTheSameState, ()) {
  auto Dump = [](const Json &Value) {
    return Value.dump(*rc::gen::element(-1, 1));
  };
  std::string OldText = Dump(randomDocument(7));
  auto Old = parseConfigDocument(OldText);
  if (!Old)
    return;
  Json New =
      *rc::gen::inRange(0, 4) == 0 ? randomDocument(8) : Json::parse(OldText);
  New["version"] = *rc::gen::element(8, 9, 0);
  for (Json &Host : New["virtualHosts"])
    for (Json &Path : Host["paths"])
      if (*rc::gen::inRange(0, 3) == 0)
        Path["service"] = *rc::gen::element("view", "desk", "desk", "");
  if (*rc::gen::inRange(0, 5) == 0)
    New["virtualHosts"][0]["paths"][0]["kind"] = "";
  if (*rc::gen::inRange(0, 3) == 0)
    New["virtualHosts"][0]["host"] = "moved.example";
  std::string Text = Dump(New);
  if (*rc::gen::inRange(0, 3) == 0)
    Text[*rc::gen::inRange<std::size_t>(0, Text.size())] =
        *rc::gen::element(',', '"', '}', ']', '{', ':', '\\', 'x', ' ');
  auto Whole = parseConfigDocument(Text);
  auto Changes = parseConfigDocument(Text, {OldText, &Old->State_});
  RC_ASSERT(Whole.has_value() == Changes.has_value());
  if (!Whole) {
    RC_ASSERT(Whole.error().Message_ == Changes.error().Message_);
    return;
  }
  RC_ASSERT(Whole->Number_ == Changes->Number_);
  RC_ASSERT(Whole->State_ == Changes->State_);
}

TEST(ConfigDocument, TakesUnchangedRoutesFromTheDocumentBefore) {
  std::string OldText = document(7).dump();
  auto Old = parseDocument(document(7));
  // A state that differs from its text shows which routes are taken from it.
  Old->State_.Routes_.at("r-1").Priority_ = 900;
  Old->State_.Routes_.at("r-2").Priority_ = 900;
  Json New = document(8);
  New["virtualHosts"][0]["paths"][1]["timeoutMs"] = 801;
  auto Parsed = parseConfigDocument(New.dump(), {OldText, &Old->State_});
  ASSERT_TRUE(Parsed.has_value());
  EXPECT_EQ(Parsed->Number_, 8U);
  EXPECT_EQ(Parsed->State_.Routes_.at("r-1").Priority_, 900U);
  EXPECT_EQ(Parsed->State_.Routes_.at("r-2").Priority_, 1U);
  EXPECT_EQ(Parsed->State_.Routes_.at("r-2").Timeout_, milliseconds(801));
}

RC_GTEST_PROP(ConfigDocument, DamagedBytesAreAnErrorOrADocument, ()) {
  std::string Text = document().dump();
  auto Positions = *rc::gen::container<std::vector<std::size_t>>(
      rc::gen::inRange<std::size_t>(0, Text.size()));
  for (std::size_t Position : Positions)
    Text[Position % Text.size()] = *rc::gen::arbitrary<char>();
  auto Parsed = parseConfigDocument(
      Text.substr(0, *rc::gen::inRange<std::size_t>(0, Text.size() + 1)));
  if (!Parsed)
    RC_ASSERT(!Parsed.error().Message_.empty());
}

// The daemon logs the message, and operators pass it on.
TEST(ConfigDocument, ErrorsAboutTenantsHoldNoKey) {
  for (const char *Tenants : {R"("the-key")", R"(["the-key"])",
                              R"([{"name":"alder","apiKeys":"the-key"}])",
                              R"([{"name":"alder","apiKeys":["the-key",7]}])",
                              R"([{"name":"alder","apiKeys":["the-key"]},)"
                              R"({"name":"birch","apiKeys":["the-key"]}])",
                              R"([{"name":"alder","apiKeys":["the-key)"}) {
    auto Parsed = parseConfigDocument(
        R"({"version":1,"services":[],"virtualHosts":[],"tenants":)" +
        std::string(Tenants) + "}");
    Result<Snapshot> Applied =
        Parsed ? snapshotFromDocument(std::move(*Parsed), "text")
               : Result<Snapshot>(tl::unexpected(Parsed.error()));
    ASSERT_FALSE(Applied.has_value()) << Tenants;
    EXPECT_EQ(describe(Applied.error()).find("the-key"), std::string::npos)
        << describe(Applied.error());
  }
}
