// A small fleet of daemons in one process that use the platform's store, with
// servers that announce themselves to the daemons.
#pragma once

#include "EventLoop.h"
#include "KvPlatform.h"
#include "KvStandin.h"
#include "sycamore/Daemon.h"
#include "sycamore/HttpClient.h"
#include "sycamore/Log.h"

#include <gtest/gtest.h>

namespace sycamore::test {

/// Application server that records its requests and can respond wrongly.
struct FakeServer {
  explicit FakeServer(event_base *Base)
      : Server_(HttpServer::create(Base).value()) {
    Server_->setHandler([this](const HttpExchangePointer &Exchange) {
      Requests_.push_back(Exchange->request());
      if (AbortsRequests_) {
        Exchange->abort();
        return;
      }
      if (HoldsRequest_) {
        HeldRequest_ = Exchange;
        return;
      }
      const std::string *Id = findHeader(Exchange->request().Headers_, "x-id");
      HttpHeaders Headers;
      if (!OmitsSeal_)
        Headers.push_back({"x-seal", "sealed"});
      if (Id)
        Headers.push_back({"x-id", SendsWrongId_ ? "other" : *Id});
      if (ShedsRequests_)
        Headers.push_back({"x-not-run", "1"});
      Exchange->reply(ShedsRequests_ ? 503 : Status_, Headers, "from " + Name_);
    });
    Address_ = Server_->listen("127.0.0.1:0").value();
  }

  std::unique_ptr<HttpServer> Server_;
  std::string Name_;
  std::string Address_;
  std::vector<HttpRequest> Requests_;
  int Status_ = 200; ///< Of the requests that it runs.
  bool OmitsSeal_ = false;
  bool SendsWrongId_ = false;
  bool ShedsRequests_ = false;
  bool AbortsRequests_ = false;
  bool HoldsRequest_ = false; ///< Keeps the next request open in HeldRequest_.
  HttpExchangePointer HeldRequest_;
};

class PlatformFleet : public testing::Test {
protected:
  PlatformFleet() {
    configureLog(LogLevel::Error, "", "test");
    for (const char *Service : {"view", "view", "desk"})
      addServer(Service);
  }

  ~PlatformFleet() override {
    Daemons_.clear();
    Servers_.clear();
    Client_.reset();
    Store_.reset();
    Loop_.runFor(milliseconds(5));
  }

  /// A server at Address, if there is one, takes the place of the fake one.
  void addServer(const std::string &Service, int AnnounceIntervalMs = 20000,
                 const std::string &Address = "") {
    auto &Server =
        Servers_.emplace_back(std::make_unique<FakeServer>(Loop_.base()));
    if (!Address.empty())
      Server->Address_ = Address;
    Server->Name_ = "i-" + std::to_string(Servers_.size());
    Json Document = {{"server", "m-" + std::to_string(Servers_.size())},
                     {"data_centre", "z"},
                     {"caller_listen", "127.0.0.1:0"},
                     {"admin_listen", "127.0.0.1:0"},
                     {"peer_listen", "127.0.0.1:0"},
                     {"ready_listen", "127.0.0.1:0"},
                     {"integration", "kv-platform"},
                     {"target",
                      {{"service", Service},
                       {"address", Server->Address_},
                       {"announce_listen", "127.0.0.1:0"}}},
                     {"headers",
                      {{"run", ""},
                       {"deadline", "x-deadline"},
                       {"traceparent", ""},
                       {"request_id", "x-id"},
                       {"seal", "x-seal"},
                       {"not_run", "x-not-run"},
                       {"expected_target", "x-expected"},
                       {"caller_service", "x-caller"},
                       {"credential", "x-credential"},
                       {"tenant", "x-tenant"}}},
                     {"fractional_retry_after", true},
                     {"refusal_statuses", {408, 421, 429, 503}},
                     {"keys", {{"buckets", 0}}},
                     {"timing",
                      {{"start_jitter_ms", 50},
                       {"leave_notice_ms", 300},
                       {"announce_interval_ms", AnnounceIntervalMs}}},
                     {"stop_limit_ms", 3000},
                     {"store", {{"endpoints", {Store_->address()}}}}};
    Settings_.push_back(parseSettings(Document, "test").value());
    Daemons_.push_back(createDaemon(Settings_.back()));
  }

  std::unique_ptr<Daemon> createDaemon(const Settings &Config) {
    return Daemon::create(Loop_.base(), Config, &platform::kvPlatform())
        .value();
  }

  /// Ends a daemon without a planned stop.
  void killDaemon(std::size_t Index) {
    Settings_[Index].PeerListen_ = Daemons_[Index]->addresses().Peer_;
    Daemons_[Index].reset();
  }

  /// Starts a killed daemon again at the same address for peers.
  void startDaemon(std::size_t Index) {
    Daemons_[Index] = createDaemon(Settings_[Index]);
  }

  HttpResponse send(const std::string &Address, HttpClientRequest Request) {
    std::optional<HttpResponse> Response;
    Client_->send(Address, std::move(Request),
                  [&](HttpResponse Value) { Response = std::move(Value); });
    Loop_.runUntil([&] { return Response.has_value(); });
    return Response.value_or(HttpResponse{});
  }

  HttpResponse call(std::size_t Entry, const std::string &Method,
                    const std::string &Path, const std::string &Id = "id-1",
                    const HttpHeaders &MoreHeaders = {}) {
    HttpClientRequest Request;
    Request.Method_ = Method;
    Request.Path_ = Path;
    Request.Headers_ = {{"Host", "a.example"},
                        {"x-id", Id},
                        {"x-deadline", "2000"},
                        {"x-caller", "forged"}};
    Request.Headers_.insert(Request.Headers_.end(), MoreHeaders.begin(),
                            MoreHeaders.end());
    Request.Body_ = Method == "POST" ? "body" : "";
    return send(Daemons_[Entry]->addresses().Caller_, std::move(Request));
  }

  /// Sends calls at the same time, waits for all answers and returns how many
  /// of them have status 200. One call at a time would always go to the target
  /// that costs less.
  int callTogether(std::size_t Entry, int Count) {
    int Answered = 0;
    int Succeeded = 0;
    for (int I = 0; I < Count; ++I) {
      HttpClientRequest Request;
      Request.Path_ = "/x/y";
      Request.Headers_ = {{"Host", "a.example"},
                          {"x-id", "id-" + std::to_string(I)},
                          {"x-deadline", "2000"}};
      Client_->send(Daemons_[Entry]->addresses().Caller_, std::move(Request),
                    [&](const HttpResponse &Response) {
                      ++Answered;
                      Succeeded += Response.Status_ == 200 ? 1 : 0;
                    });
    }
    Loop_.runUntil([&] { return Answered == Count; });
    return Succeeded;
  }

  int announce(std::size_t Index, const std::string &State = "ready",
               std::uint64_t Sequence = 1, std::int64_t Born = 1000) {
    HttpClientRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/v1/instances/" + Servers_[Index]->Name_ + "/heartbeat";
    Json Body = {
        {"address", Servers_[Index]->Address_},
        {"born", Born},
        {"information",
         {{"service", Index == 2 ? "desk" : "view"},
          {"version", "v1"},
          {"zone", "z"},
          {"slots", 4}}},
        {"status",
         {{"state", State}, {"sequence", Sequence}, {"coldRemainingMs", 0}}}};
    Request.Body_ = Body.dump();
    return send(Daemons_[Index]->addresses().Announce_, std::move(Request))
        .Status_;
  }

  /// Born is left out if 0.
  int deregister(std::size_t Index, std::int64_t Born = 1000) {
    HttpClientRequest Request;
    Request.Method_ = "POST";
    Request.Path_ = "/v1/instances/" + Servers_[Index]->Name_ + "/deregister";
    Request.Body_ = Born == 0 ? "" : Json{{"born", Born}}.dump();
    return send(Daemons_[Index]->addresses().Announce_, std::move(Request))
        .Status_;
  }

  void writeConfiguration(std::uint64_t Version,
                          const std::string &Service = "view",
                          const Json &Tenants = {}) {
    Json Route = {{"name", "r-1"},          {"prefix", "/x/"},
                  {"kind", "idempotent"},   {"timeoutMs", 1500},
                  {"targetLatencyMs", 500}, {"priority", 1},
                  {"maxAttempts", 2},       {"service", Service}};
    Json NonIdempotentRoute = Route;
    NonIdempotentRoute["name"] = "r-2";
    NonIdempotentRoute["prefix"] = "/once/";
    NonIdempotentRoute["kind"] = "non_idempotent";
    Json Document = {
        {"version", Version},
        {"services", {{{"name", "view"}}, {{"name", "desk"}}}},
        {"limits", Json::object()},
        {"virtualHosts",
         {{{"host", "a.example"}, {"paths", {Route, NonIdempotentRoute}}}}}};
    if (!Tenants.is_null())
      Document["tenants"] = Tenants;
    Store_->put("op/config", Document.dump());
  }

  /// Value of a line of the daemon's metrics page; -1 if there is none.
  double metric(std::size_t Index, const std::string &Name) {
    HttpClientRequest Request;
    Request.Path_ = "/metrics";
    std::string Page =
        send(Daemons_[Index]->addresses().Admin_, std::move(Request)).Body_;
    std::size_t Line = Page.find("\n" + Name + " ");
    return Line == std::string::npos
               ? -1
               : std::stod(Page.substr(Line + Name.size() + 2));
  }

  bool isReady(std::size_t Index) {
    return send(Daemons_[Index]->addresses().Ready_, {}).Status_ == 200;
  }

  /// Writes the configuration, announces every server and waits until each
  /// daemon reaches both targets of "view".
  void startAll() {
    writeConfiguration(5);
    for (std::size_t I = 0; I < 3; ++I)
      ASSERT_EQ(announce(I), 200);
    for (std::size_t Entry = 0; Entry < 3; ++Entry)
      ASSERT_TRUE(eventually([&] {
        std::size_t First = Servers_[0]->Requests_.size();
        std::size_t Second = Servers_[1]->Requests_.size();
        callTogether(Entry, 6);
        return Servers_[0]->Requests_.size() > First &&
               Servers_[1]->Requests_.size() > Second;
      }));
  }

  template <typename Condition> bool eventually(Condition Holds) {
    TimePoint End = monotonicNow() + WaitLimit;
    while (!Holds()) {
      if (monotonicNow() >= End)
        return false;
      Loop_.runFor(milliseconds(20));
    }
    return true;
  }

  EventLoop Loop_;
  std::unique_ptr<KvStandin> Store_ = std::make_unique<KvStandin>(Loop_.base());
  std::unique_ptr<HttpClient> Client_ =
      HttpClient::create(Loop_.base()).value();
  std::vector<std::unique_ptr<FakeServer>> Servers_;
  std::vector<Settings> Settings_; ///< Of the daemons.
  std::vector<std::unique_ptr<Daemon>> Daemons_;
};

} // namespace sycamore::test
