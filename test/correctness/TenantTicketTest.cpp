// Guards against tickets that lose, confuse or wrongly accept tenants, and
// against credentials in what operators see.
#include "sycamore/Head.h"

#include "Cli.h"

#include <gtest/gtest.h>
#include <iostream>
#include <sstream>

using namespace sycamore;

namespace {

Json tenant(const std::string &Key) {
  return {{"key_digests", {credentialDigest(Key)}},
          {"priority", 2},
          {"requests_per_s", 40},
          {"burst", 80}};
}

Result<Ticket> parse(const Json &Tenants) {
  return parseTicket({{"author", "ana"}, {"number", 1}, {"tenants", Tenants}},
                     "test");
}

/// State after tickets that are applied in turn.
Result<State> apply(const std::vector<Json> &Changes) {
  State Out;
  for (const Json &Each : Changes) {
    auto Parsed = parse(Each);
    if (!Parsed)
      return tl::unexpected(Parsed.error());
    auto Next = applyToState(Out, *Parsed);
    if (!Next)
      return Next;
    Out = std::move(*Next);
  }
  return Out;
}

std::pair<int, std::string> keyDigest(const std::string &Input) {
  std::istringstream In(Input);
  std::ostringstream Out;
  std::ostringstream Err;
  std::streambuf *Before = std::cin.rdbuf(In.rdbuf());
  int Code = runCli({"key", "digest"}, networkEnvironment(Out, Err));
  std::cin.rdbuf(Before);
  std::cin.clear();
  return {Code, Out.str()};
}

} // namespace

TEST(TenantTicket, IsTheSameAfterEncodingAndParsing) {
  auto Parsed = parse({{"alder", tenant("a")}, {"birch", nullptr}});
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  EXPECT_EQ(Parsed->Tenants_.at("alder")->RequestsPerSecond_, 40U);
  EXPECT_FALSE(Parsed->Tenants_.at("birch").has_value());
  auto Again = parseTicket(toJson(*Parsed), "test");
  ASSERT_TRUE(Again.has_value());
  EXPECT_EQ(*Again, *Parsed);
}

TEST(TenantTicket, AddsReplacesAndRemovesTenants) {
  auto After = apply({{{"alder", tenant("a")}, {"birch", tenant("b")}},
                      {{"alder", {{"key_digests", Json::array()}}}},
                      {{"birch", nullptr}}});
  ASSERT_TRUE(After.has_value()) << describe(After.error());
  ASSERT_EQ(After->Tenants_.size(), 1U);
  EXPECT_TRUE(After->Tenants_.at("alder").KeyDigests_.empty());
  EXPECT_EQ(After->Tenants_.at("alder").RequestsPerSecond_, 0U);
  EXPECT_FALSE(apply({{{"birch", nullptr}}}).has_value());
}

TEST(TenantTicket, OneCredentialOfTwoTenantsIsAnError) {
  Json Both = {{"alder", tenant("a")}, {"birch", tenant("a")}};
  std::vector<std::string> Problems = lintTicket(parse(Both).value());
  ASSERT_EQ(Problems.size(), 1U);
  EXPECT_NE(Problems[0].find("tenants.birch.key_digests[0]"),
            std::string::npos);
  EXPECT_FALSE(apply({Both}).has_value());
  EXPECT_FALSE(
      apply({{{"alder", tenant("a")}}, {{"birch", tenant("a")}}}).has_value());
  // A credential may move from one tenant to another in one ticket.
  EXPECT_TRUE(apply({{{"alder", tenant("a")}},
                     {{"alder", tenant("c")}, {"birch", tenant("a")}}})
                  .has_value());
}

TEST(TenantTicket, ErrorsNameTheFieldAndTheValue) {
  Json Bad = tenant("a");
  Bad["requests_per_s"] = 1'000'001;
  Bad["key_digests"] = {"the-credential-itself"};
  auto Parsed = parse({{"alder", Bad}});
  ASSERT_FALSE(Parsed.has_value());
  std::string Text = describe(Parsed.error());
  EXPECT_NE(Text.find("tenants.alder.requests_per_s"), std::string::npos);
  EXPECT_NE(Text.find("1000001"), std::string::npos);
  EXPECT_NE(Text.find("tenants.alder.key_digests"), std::string::npos);
  // An operator may have put the credential where its digest belongs.
  EXPECT_EQ(Text.find("the-credential-itself"), std::string::npos);
}

TEST(TenantTicket, KeyDigestReadsOneLineAndPrintsNoCredential) {
  for (const char *Input : {"alder-key\n", "alder-key\r\n", "alder-key"}) {
    auto [Code, Text] = keyDigest(Input);
    EXPECT_EQ(Code, 0);
    EXPECT_EQ(Text, credentialDigest("alder-key") + "\n");
  }
  EXPECT_EQ(keyDigest("\n").first, 2);
}
