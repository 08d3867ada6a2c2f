// Daemons whose tenants have quotas.
#pragma once

#include "PlatformFleet.h"

namespace sycamore::test {

class QuotaRequests : public PlatformFleet {
protected:
  static Json tenant(const std::string &Name, int Rate, int Burst) {
    Json Out = {{"name", Name}, {"apiKeys", {Name + "-key"}}};
    if (Rate > 0)
      Out["requestsPerS"] = Rate;
    if (Burst > 0)
      Out["burst"] = Burst;
    return Out;
  }

  HttpResponse callAs(const std::string &Tenant, std::size_t Entry,
                      const std::string &Method = "GET",
                      const std::string &Path = "/x/y") {
    return call(Entry, Method, Path, "id-1",
                {{"x-credential", Tenant + "-key"}});
  }

  /// Waits until each daemon has a token for the tenant.
  void startWithTenants(const Json &Tenants) {
    startAll();
    writeConfiguration(6, "view", Tenants);
    for (std::size_t Entry = 0; Entry < 3; ++Entry)
      ASSERT_TRUE(eventually([&] {
        return call(Entry, "GET", "/x/y").Status_ == 401 &&
               callAs("alder", Entry).Status_ == 200;
      }));
  }

  std::size_t requestsAtTargets() const {
    std::size_t Out = 0;
    for (const auto &Server : Servers_)
      Out += Server->Requests_.size();
    return Out;
  }

  double total(const std::string &Metric) {
    double Out = 0;
    for (std::size_t I = 0; I < Daemons_.size(); ++I)
      Out += metric(I, Metric);
    return Out;
  }
};

} // namespace sycamore::test
