// Guards against responses of the store that crash the parsers or are parsed
// into wrong values.
#include "EtcdCodec.h"

#include <gtest/gtest.h>
#include <random>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

const std::vector<std::string> &validResponses() {
  static const std::vector<std::string> Responses = {
      R"({"header":{"cluster_id":"1","revision":"12"},"kvs":[{"key":"L2E=",)"
      R"("create_revision":"2","mod_revision":"3","version":"1",)"
      R"("value":"eA==","lease":"7"}],"count":"1"})",
      R"({"header":{"revision":"5"},"succeeded":true,"responses":[)"
      R"({"response_put":{"header":{"revision":"5"}}},)"
      R"({"response_range":{"header":{"revision":"5"}}}]})",
      R"({"header":{"revision":"5"},"ID":"77","TTL":"10"})",
      R"({"result":{"header":{"revision":"5"},"ID":"77","TTL":"10"}})",
      R"({"result":{"header":{"revision":"9"},"events":[{"kv":{"key":"L2E=",)"
      R"("create_revision":"9","mod_revision":"9","value":"eA=="}},)"
      R"({"type":"DELETE","kv":{"key":"L2E=","mod_revision":"9"}}]}})",
      R"({"error":"x","code":8,"message":"x"})"};
  return Responses;
}

/// Runs every parser; each must return a value or a typed error.
void runAllParsers(const std::string &Text) {
  RC_ASSERT(parseRangeResponse(Text).has_value() ||
            !parseRangeResponse(Text).error().Message_.empty());
  static_cast<void>(parseTxnResponse(Text, 1));
  static_cast<void>(parseLeaseGrantResponse(Text));
  static_cast<void>(parseKeepAliveResponse(Text));
  static_cast<void>(parseWatchLine(Text));
  static_cast<void>(parseErrorResponse(Text));
}

} // namespace

TEST(EtcdCodec, ParsesResponses) {
  auto Range = parseRangeResponse(validResponses()[0]);
  ASSERT_TRUE(Range.has_value());
  EXPECT_EQ(Range->Revision_, 12);
  ASSERT_EQ(Range->Values_.size(), 1U);
  EXPECT_EQ(Range->Values_[0].Key_, "/a");
  EXPECT_EQ(Range->Values_[0].Value_, "x");
  EXPECT_EQ(Range->Values_[0].ModRevision_, 3);
  EXPECT_EQ(Range->Values_[0].Lease_, 7);
  auto Txn = parseTxnResponse(validResponses()[1], 1);
  ASSERT_TRUE(Txn.has_value());
  EXPECT_TRUE(Txn->Succeeded_);
  EXPECT_FALSE(parseTxnResponse(validResponses()[1], 2).has_value());
  EXPECT_EQ(parseLeaseGrantResponse(validResponses()[2])->Id_, 77);
  EXPECT_EQ(parseKeepAliveResponse(validResponses()[3])->Ttl_, seconds(10));
  auto Watch = parseWatchLine(validResponses()[4]);
  ASSERT_TRUE(Watch.has_value());
  ASSERT_EQ(Watch->Changes_.size(), 2U);
  EXPECT_EQ(Watch->Changes_[0].CreateRevision_, 9);
  EXPECT_EQ(Watch->Changes_[1].CreateRevision_, 0);
  EXPECT_EQ(parseErrorResponse(validResponses()[5]).Code_, 8);
}

TEST(EtcdCodec, RejectsMalformedResponses) {
  for (const char *Text :
       {"", "[]", "{}", R"({"header":{}, "kvs":[{"key":"?"}]})",
        R"({"header":{"revision":"x"}})", R"({"header":{},"kvs":[{}]})",
        R"({"header":{"revision":"99999999999999999999"}})"})
    EXPECT_FALSE(parseRangeResponse(Text).has_value()) << Text;
  EXPECT_FALSE(parseLeaseGrantResponse(R"({"TTL":"5"})").has_value());
}

TEST(EtcdCodec, RejectsNonCanonicalBase64) {
  for (const char *Text : {"x", "eA", "eA=", "eA==\n", " eA=", "eB==", "=AAA",
                           "e===", "====", "eA==eA=="})
    EXPECT_FALSE(decodeBase64(Text).has_value()) << Text;
  EXPECT_EQ(decodeBase64(""), "");
}

RC_GTEST_PROP(EtcdCodec, Base64RoundTripsAnyBytes, (const std::string &Bytes)) {
  RC_ASSERT(decodeBase64(encodeBase64(Bytes)) == Bytes);
}

RC_GTEST_PROP(EtcdCodec, SurvivesArbitraryBytes, (const std::string &Bytes)) {
  runAllParsers(Bytes);
  static_cast<void>(decodeBase64(Bytes));
}

RC_GTEST_PROP(EtcdCodec, SurvivesMutatedResponses, (std::uint32_t Seed)) {
  std::minstd_rand Rng(Seed);
  for (int Round = 0; Round < 30; ++Round) {
    std::string Text = validResponses()[Rng() % validResponses().size()];
    for (auto Edits = 1 + Rng() % 5; Edits > 0 && !Text.empty(); --Edits) {
      std::size_t Position = Rng() % Text.size();
      auto Byte = static_cast<char>(Rng());
      if (auto Kind = Rng() % 3; Kind == 0)
        Text[Position] = Byte;
      else if (Kind == 1)
        Text.insert(Position, 1, Byte);
      else
        Text.erase(Position, 1 + Rng() % 8);
    }
    runAllParsers(Text);
  }
}
