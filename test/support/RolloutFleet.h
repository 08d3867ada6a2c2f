// Daemons beside servers of two software versions.
#pragma once

#include "PlatformFleet.h"

namespace sycamore::test {

class RolloutFleet : public PlatformFleet {
protected:
  struct NewServer {
    std::unique_ptr<FakeServer> Server_;
    std::size_t Daemon_;
  };

  /// Starts a server of version v2 of "view" beside each of the first two
  /// daemons.
  void startNewServers(int Status) {
    for (std::size_t I = 0; I < 2; ++I) {
      auto Server = std::make_unique<FakeServer>(Loop_.base());
      Server->Name_ = "n-" + std::to_string(I + 1);
      Server->Status_ = Status;
      HttpClientRequest Request;
      Request.Method_ = "POST";
      Request.Path_ = "/v1/instances/" + Server->Name_ + "/heartbeat";
      Request.Body_ =
          Json{{"address", Server->Address_},
               {"born", 2000},
               {"information",
                {{"service", "view"},
                 {"version", "v2"},
                 {"zone", "z"},
                 {"slots", 4}}},
               {"status",
                {{"state", "ready"}, {"sequence", 1}, {"coldRemainingMs", 0}}}}
              .dump();
      ASSERT_EQ(
          send(Daemons_[I]->addresses().Announce_, std::move(Request)).Status_,
          200);
      New_.push_back(std::move(Server));
    }
  }

  void order(const std::string &Version, double DurationS = 6) {
    Store_->put("op/rollout/view", Json{{"service", "view"},
                                        {"targetVersion", Version},
                                        {"durationS", DurationS}}
                                       .dump());
    OrderedAt_ = monotonicNow();
  }

  std::string state() {
    auto Found = Store_->Items_.find("status/rollout/view");
    if (Found == Store_->Items_.end())
      return "";
    Json Document = Json::parse(Found->second.Value_);
    EXPECT_EQ(Document["service"], "view");
    return Document["state"];
  }

  std::string holder() {
    auto Found = Store_->Items_.find("/sycamore/rollouts/view");
    return Found == Store_->Items_.end()
               ? ""
               : std::string(Json::parse(Found->second.Value_)["holder"]);
  }

  std::size_t newRequests() const {
    std::size_t Out = 0;
    for (const auto &Server : New_)
      Out += Server->Requests_.size();
    return Out;
  }

  std::size_t oldRequests() const {
    return Servers_[0]->Requests_.size() + Servers_[1]->Requests_.size();
  }

  /// Sends requests to all daemons until the condition holds.
  template <typename Condition>
  bool requestUntil(Condition Holds, Duration Limit = seconds(12)) {
    TimePoint End = monotonicNow() + Limit;
    for (std::size_t I = 0; !Holds(); ++I) {
      if (monotonicNow() >= End)
        return false;
      if (Daemons_[I % Daemons_.size()]) {
        call(I % Daemons_.size(), "GET", "/x/y");
        ++Sent_;
      }
      Loop_.runFor(milliseconds(5));
    }
    return true;
  }

  bool requestFor(Duration Span) {
    return requestUntil(
        [End = monotonicNow() + Span] { return monotonicNow() >= End; });
  }

  std::vector<std::unique_ptr<FakeServer>> New_;
  std::size_t Sent_ = 0;
  TimePoint OrderedAt_;
};

} // namespace sycamore::test
