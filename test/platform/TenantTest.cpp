// Guards against requests that run without the credential of a tenant, in the
// name of another tenant, or with the credential in what the target receives.
#include "PlatformFleet.h"

#include <algorithm>

using namespace sycamore;
using namespace sycamore::test;

namespace {

class TenantRequests : public PlatformFleet {
protected:
  void startWithTenants() {
    startAll();
    writeConfiguration(6, "view",
                       {{{"name", "alder"}, {"apiKeys", {"alder-key"}}},
                        {{"name", "birch"}, {"apiKeys", {"birch-key"}}}});
    ASSERT_TRUE(eventually([&] {
      for (std::size_t Entry = 0; Entry < 3; ++Entry)
        if (call(Entry, "GET", "/x/y").Status_ != 401)
          return false;
      return true;
    }));
    for (auto &Server : Servers_)
      Server->Requests_.clear();
  }

  std::size_t requestsAtTargets() const {
    std::size_t Out = 0;
    for (const auto &Server : Servers_)
      Out += Server->Requests_.size();
    return Out;
  }

  const HttpRequest *requestAtTarget() const {
    for (const auto &Server : Servers_)
      if (!Server->Requests_.empty())
        return &Server->Requests_.back();
    return nullptr;
  }
};

} // namespace

TEST_F(TenantRequests, ATargetReceivesTheTenantAndNotTheCredential) {
  startWithTenants();
  HttpHeaders Headers = {{"X-Credential", "birch-key"}, {"x-tenant", "alder"}};
  ASSERT_EQ(call(2, "GET", "/x/y", "id-1", Headers).Status_, 200);
  const HttpRequest *Received = requestAtTarget();
  ASSERT_NE(Received, nullptr);
  ASSERT_NE(findHeader(Received->Headers_, "x-tenant"), nullptr);
  EXPECT_EQ(*findHeader(Received->Headers_, "x-tenant"), "birch");
  EXPECT_EQ(std::count_if(Received->Headers_.begin(), Received->Headers_.end(),
                          [](const auto &Each) {
                            return equalHeaderNames(Each.Name_, "x-tenant");
                          }),
            1);
  for (const auto &Each : Received->Headers_)
    EXPECT_EQ(Each.Value_.find("birch-key"), std::string::npos) << Each.Name_;
}

TEST_F(TenantRequests, OddCredentialsAreRefusedAndRunNowhere) {
  startWithTenants();
  for (const std::string &Odd :
       {std::string(), std::string(12'000, 'k'), std::string("alder-ke"),
        std::string("ALDER-KEY"), std::string("\xc3\xa4\xff\x80")})
    EXPECT_EQ(call(0, "GET", "/x/y", "id-1", {{"x-credential", Odd}}).Status_,
              401)
        << Odd.substr(0, 20);
  HttpHeaders Two = {{"x-credential", "alder-key"},
                     {"x-credential", "birch-key"}};
  EXPECT_EQ(call(0, "GET", "/x/y", "id-1", Two).Status_, 401);
  EXPECT_EQ(requestsAtTargets(), 0U);
  EXPECT_EQ(
      call(0, "GET", "/x/y", "id-1", {{"x-credential", "alder-key"}}).Status_,
      200);
}

// A client that states a nesting depth, or an id that looks like that of a
// nested call, is no target.
TEST_F(TenantRequests, AClaimedNestedCallNeedsACredential) {
  startWithTenants();
  EXPECT_EQ(call(0, "GET", "/x/y", "id-1.2", {{"sycamore-depth", "3"}}).Status_,
            401);
  EXPECT_EQ(requestsAtTargets(), 0U);
}

TEST_F(TenantRequests, ACredentialThatWasTakenAwayIsRefused) {
  startWithTenants();
  writeConfiguration(7, "view",
                     {{{"name", "alder"}, {"apiKeys", Json::array()}},
                      {{"name", "birch"}, {"apiKeys", {"birch-key"}}}});
  EXPECT_TRUE(eventually([&] {
    return call(1, "GET", "/x/y", "id-1", {{"x-credential", "alder-key"}})
               .Status_ == 401;
  }));
  EXPECT_EQ(
      call(1, "GET", "/x/y", "id-1", {{"x-credential", "birch-key"}}).Status_,
      200);
}
