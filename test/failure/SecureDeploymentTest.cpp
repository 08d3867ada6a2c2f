// Guards against a deployment whose links accept servers that are not in the
// allowed keys file, or whose admin interface can be used without a token.
#include "Cluster.h"
#include "sycamore/PeerTransport.h"
#include "sycamore/Snapshot.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

class SecureDeployment : public testing::Test {
protected:
  SecureDeployment() {
    std::string Template =
        (std::filesystem::temp_directory_path() / "sycamore-keys-XXXXXX")
            .string();
    Folder_ = mkdtemp(Template.data());
  }
  ~SecureDeployment() override { std::filesystem::remove_all(Folder_); }

  std::string writeSecret(const std::string &Name, const std::string &Text) {
    std::string Path = Folder_ + "/" + Name;
    std::ofstream(Path) << Text << "\n";
    std::filesystem::permissions(Path, std::filesystem::perms::owner_read |
                                           std::filesystem::perms::owner_write);
    return Path;
  }

  /// Settings of a server with its own key. Allowed adds the public key to the
  /// allowed keys file, which all servers share.
  Json curveSettings(const std::string &Server, bool Allowed) {
    CurveKeys Keys = makeCurveKeys();
    if (Allowed)
      AllowedKeys_[Server] = Keys.PublicKey_;
    std::string Secret = writeSecret(Server + ".curve", Keys.SecretKey_);
    return {{"curve",
             {{"secret_key_file", Secret},
              {"allowed_keys_file", Folder_ + "/allowed.json"}}},
            {"admin_tokens_file", Folder_ + "/tokens.json"}};
  }

  std::string Folder_;
  Json AllowedKeys_ = Json::object();
  Cluster Cluster_;
};

} // namespace

TEST_F(SecureDeployment, ServesOnEncryptedLinksAndRefusesUnlistedServers) {
  writeSecret("tokens.json", Json{{"ana", sha256Hex("secret")}}.dump());
  Json FirstSettings = curveSettings("shelfview-1", true);
  Json SecondSettings = curveSettings("reservedesk-2", true);
  Json UnlistedSettings = curveSettings("shelfview-3", false);
  writeSecret("allowed.json", AllowedKeys_.dump());

  Cluster_.startStore();
  Cluster_.addServer("shelfview", "dalseo", {}, FirstSettings);
  Cluster_.addServer("reservedesk", "dalseo", {}, SecondSettings);
  std::uint64_t Number = Cluster_.fileAndApproveTicket();
  ASSERT_NE(Number, 0U);
  ASSERT_TRUE(Cluster_.waitForTargets());

  Server &FirstServer = *Cluster_.Servers_[0];
  EXPECT_EQ(Cluster_.call(FirstServer.Admin_, "GET", "/fleet").Status_, 401);
  EXPECT_EQ(Cluster_
                .call(FirstServer.Admin_, "GET", "/fleet", {},
                      {{"authorization", "Bearer secret"}})
                .Status_,
            200);

  Server &UnlistedServer =
      Cluster_.addServer("shelfview", "dalseo", {}, UnlistedSettings);
  EXPECT_TRUE(Cluster_.waitUntil([&] {
    return Cluster_.metric(UnlistedServer,
                           "sycamore_handshakes_refused_total") > 0;
  }));
  // The server without an allowed key can write to the store, so it adds itself
  // to the seeds. The others must neither dial it nor count it as a server.
  ASSERT_TRUE(Cluster_.waitUntil([&] {
    return Cluster_.metric(UnlistedServer, "sycamore_seed_writes_total") > 0;
  }));
  double HeadReads = Cluster_.metric(FirstServer, "sycamore_head_reads_total");
  ASSERT_TRUE(Cluster_.waitUntil([&] {
    return Cluster_.metric(FirstServer, "sycamore_head_reads_total") >
           HeadReads + 1;
  }));
  EXPECT_EQ(Cluster_.metric(FirstServer, "sycamore_servers_known"), 2);
}
