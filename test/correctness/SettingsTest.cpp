// Guards against misread settings, problems missing from the error, and key
// files that other users can read.
#include "sycamore/Settings.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/stat.h>

using namespace sycamore;

namespace {

Json minimalDaemonSettings() {
  return {{"server", "d-1"},
          {"data_centre", "dalseo"},
          {"caller_listen", "127.0.0.1:0"},
          {"admin_listen", "127.0.0.1:0"},
          {"peer_listen", "[::1]:0"},
          {"store", {{"endpoints", {"127.0.0.1:2379"}}}}};
}

const std::string HexKey(64, 'a');

std::string problemsOf(const Json &Document) {
  auto Parsed = parseSettings(Document, "d.json");
  if (Parsed)
    return "";
  EXPECT_EQ(Parsed.error().Kind_, ErrorKind::InvalidSettings);
  EXPECT_FALSE(Parsed.error().Remedy_.empty());
  return Parsed.error().Message_;
}

/// Fixture with a temporary directory that no other test process uses.
class SettingsFiles : public testing::Test {
protected:
  SettingsFiles() { std::filesystem::create_directory(Directory_); }
  ~SettingsFiles() override { std::filesystem::remove_all(Directory_); }

  std::string write(const std::string &Name, const std::string &Text,
                    mode_t Mode) {
    std::string Path = Directory_ / Name;
    std::ofstream(Path) << Text;
    chmod(Path.c_str(), Mode);
    return Path;
  }

  std::filesystem::path Directory_ =
      std::filesystem::temp_directory_path() /
      ("sycamore-settings-" + std::to_string(getpid()));
};

} // namespace

TEST(Settings, MinimalDocumentUsesDefaults) {
  auto Parsed = parseSettings(minimalDaemonSettings(), "d.json");
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  EXPECT_EQ(Parsed->Server_, "d-1");
  EXPECT_EQ(Parsed->Store_.Endpoints_.at(0), "127.0.0.1:2379");
  EXPECT_EQ(Parsed->Keys_, KeySettings{});
  EXPECT_FALSE(Parsed->Curve_.has_value());
}

TEST(Settings, EachRequiredFieldIsRequired) {
  const Json Minimal = minimalDaemonSettings();
  for (const auto &[Field, Value] : Minimal.items()) {
    Json Document = minimalDaemonSettings();
    Document.erase(Field);
    EXPECT_NE(problemsOf(Document).find("d.json: " + Field + ": is required"),
              std::string::npos);
  }
}

TEST(Settings, ListsEveryProblemWithFieldAndValue) {
  Json Document = minimalDaemonSettings();
  Document["server"] = 7;
  Document["caller_listen"] = "localhost:80";
  Document["store"]["timeout_ms"] = 5;
  Document["timing"] = {{"gossip_intervall_ms", 200}};
  std::string Problems = problemsOf(Document);
  for (const char *Expected :
       {"d.json: server: 7 is not a string",
        "d.json: caller_listen: \"localhost:80\" is not \"IPV4:PORT\"",
        "d.json: store.timeout_ms: 5 is not a whole number from 10 to 60000",
        "d.json: timing.gossip_intervall_ms: unknown field, did you mean "
        "\"gossip_interval_ms\"?"})
    EXPECT_NE(Problems.find(Expected), std::string::npos) << Problems;
}

TEST(Settings, RefusalStatusesAreDistinctErrors) {
  Json Document = minimalDaemonSettings();
  Document["refusal_statuses"] = {429, 503};
  EXPECT_EQ(parseSettings(Document, "d.json").value().RefusalStatuses_,
            (std::vector<std::uint32_t>{429, 503}));
  for (const Json &Wrong :
       {Json(503), Json::array({200}), Json::array({600}), Json::array({"503"}),
        Json::array({503, 503}), Json::array({-503})}) {
    Document["refusal_statuses"] = Wrong;
    EXPECT_NE(problemsOf(Document).find(
                  "d.json: refusal_statuses: " + Wrong.dump() +
                  " is not an array of distinct HTTP statuses from 400 to 599"),
              std::string::npos)
        << problemsOf(Document);
  }
}

TEST(Settings, CutsQuotedValuesBetweenCharacters) {
  for (std::size_t Offset = 0; Offset < 3; ++Offset) {
    std::string Value(Offset, 'a');
    for (int I = 0; I < 40; ++I)
      Value += "\u20ac";
    Json Document = minimalDaemonSettings();
    Document["log"] = {{"level", Value}};
    EXPECT_NO_THROW(Json(problemsOf(Document)).dump());
  }
}

TEST(Settings, OneMessageOfTheLargestSizeFitsIntoTheDefaultBuffers) {
  Json Document = minimalDaemonSettings();
  Document["limits"] = {{"max_body_bytes", 64U << 20U}};
  auto Parsed = parseSettings(Document, "d.json");
  ASSERT_TRUE(Parsed.has_value());
  std::uint64_t Largest =
      Parsed->Limits_.MaxBodyBytes_ + Parsed->Limits_.MaxHeaderBytes_;
  EXPECT_EQ(Parsed->Limits_.ResponseBufferBytes_, Largest);
  EXPECT_EQ(Parsed->Limits_.RequestBufferBytes_, Largest);
}

TEST(Settings, RefusesContradictions) {
  struct Case {
    Json Change_;
    std::string Expected_;
  };
  Json Operator = {{"name", "ana"}, {"public_key", HexKey}};
  Json Peer = {
      {"name", "d-2"}, {"data_centre", "buk"}, {"peer_address", "127.0.0.1:1"}};
  const std::vector<Case> Cases = {
      {{{"admin_listen", "127.0.0.1:80"}, {"caller_listen", "127.0.0.1:80"}},
       "another listener"},
      {{{"timing", {{"probe_timeout_ms", 1000}}}}, "not below"},
      {{{"limits",
         {{"max_body_bytes", 2000000}, {"response_buffer_bytes", 2000000}}}},
       "limits.response_buffer_bytes: 2000000 is below max_header_bytes plus "
       "max_body_bytes"},
      {{{"limits", {{"request_buffer_bytes", 1024}}}},
       "limits.request_buffer_bytes: 1024 is below max_header_bytes plus "
       "max_body_bytes"},
      {{{"keys", {{"lease_s", 3}, {"clock_skew_ms", 3000}}}}, "not above"},
      {{{"operators", {Operator, Operator}}}, "listed twice"},
      {{{"operators", {Operator}}, {"require_second_operator", true}},
       "at least two"},
      {{{"curve", {{"secret_key_file", "k"}, {"allowed_keys_file", "a"}}},
        {"bootstrap_peers", {Peer}}},
       "required when curve"},
      {{{"store",
         {{"endpoints", {"127.0.0.1:1"}},
          {"tls", {{"ca", "c"}, {"certificate", "x"}}}}}},
       "must be set together"},
      {{{"store", {{"endpoints", Json::array()}}}}, "is empty"},
      {{{"peer_address", "127.0.0.1:0"}}, "port 0"},
  };
  for (const Case &Entry : Cases) {
    Json Document = minimalDaemonSettings();
    Document.update(Entry.Change_);
    std::string Problems = problemsOf(Document);
    EXPECT_NE(Problems.find(Entry.Expected_), std::string::npos)
        << Entry.Change_ << " gives: " << Problems;
  }
}

TEST(Settings, ParsesAddressesStrictly) {
  EXPECT_EQ(*parseSocketAddress("10.0.0.1:65535"),
            (SocketAddress{"10.0.0.1", 65535}));
  EXPECT_EQ(*parseSocketAddress("[fe80::1]:1"), (SocketAddress{"fe80::1", 1}));
  for (const char *Text :
       {"", ":", "10.0.0.1", "10.0.0.1:", "10.0.0.1:65536", "10.0.0.1:-1",
        "10.0.0.1:1x", "10.0.0.1: 1", "10.0.0:1", "::1:1", "[::1:1",
        "[10.0.0.1]:1", "host:1", "[]:1"})
    EXPECT_FALSE(parseSocketAddress(Text).has_value()) << Text;
}

TEST_F(SettingsFiles, RefusesKeysThatOthersCanRead) {
  std::string Key = write("ana.key", std::string(128, '0'), 0600);
  Json Document = {{"operator", "ana"},
                   {"signing_key_file", Key},
                   {"store", {{"endpoints", {"127.0.0.1:1"}}}}};
  std::string Path = write("operator.json", Document.dump(), 0644);
  EXPECT_TRUE(loadOperatorSettings(Path).has_value());
  for (mode_t Mode : {0640, 0604, 0610, 0602}) {
    chmod(Key.c_str(), Mode);
    auto Loaded = loadOperatorSettings(Path);
    ASSERT_FALSE(Loaded.has_value());
    EXPECT_EQ(Loaded.error().Kind_, ErrorKind::PermissionDenied);
    EXPECT_NE(describe(Loaded.error()).find("chmod 600 " + Key),
              std::string::npos);
    EXPECT_FALSE(readKeyFile(Key).has_value());
  }
  std::filesystem::remove(Key);
  EXPECT_EQ(loadOperatorSettings(Path).error().Kind_, ErrorKind::NotFound);
}

TEST_F(SettingsFiles, ChecksEveryKeyOfTheDaemon) {
  std::string ExposedKey = write("open.key", "x", 0644);
  std::string Tokens = write("tokens.json", "{}", 0644);
  Json Tls = {{"certificate", "c"}, {"key", ExposedKey}};
  for (const auto &[Field, Value] : std::map<std::string, Json>{
           {"caller_tls", Tls},
           {"admin_tls", Tls},
           {"curve",
            {{"secret_key_file", ExposedKey}, {"allowed_keys_file", "a"}}},
           {"admin_tokens_file", Tokens},
           {"store",
            {{"endpoints", {"127.0.0.1:1"}},
             {"tls",
              {{"ca", "c"}, {"certificate", "c"}, {"key", ExposedKey}}}}}}) {
    Json Changed = minimalDaemonSettings();
    Changed[Field] = Value;
    auto Loaded = loadSettings(write("d.json", Changed.dump(), 0644));
    ASSERT_FALSE(Loaded.has_value()) << Field;
    EXPECT_EQ(Loaded.error().Kind_, ErrorKind::PermissionDenied) << Field;
  }
}

TEST_F(SettingsFiles, ReadsAdminTokens) {
  std::string ValidFile = write("t.json", "{\"ana\":\"" + HexKey + "\"}", 0600);
  EXPECT_EQ(loadAdminTokens(ValidFile)->at("ana"), HexKey);
  for (const char *Text : {"[]", "{\"ana\":1}", "{\"ana\":\"abc\"}", "{"})
    EXPECT_FALSE(loadAdminTokens(write("u.json", Text, 0600)).has_value());
}
