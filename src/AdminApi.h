// The admin listener: fleet status, quarantine, announcements of targets,
// metrics and traces.
#pragma once

#include "ControlPlane.h"
#include "EntryProxy.h"
#include "KeyedProxy.h"
#include "LoopWork.h"
#include "QuotaControl.h"
#include "TargetProxy.h"
#include "sycamore/EtcdStore.h"
#include "sycamore/HttpServer.h"

namespace sycamore {

/// State of the daemon that the admin listener shows and changes.
struct AdminContext {
  const Settings &Settings_;
  ControlPlane &Control_;
  TargetProxy &Targets_;
  EntryProxy &Entry_;
  KeyedProxy &Keys_;
  const QuotaControl &Quotas_;
  Quarantine &Quarantine_;
  SpanBuffer &Spans_;
  const AnswerSender &Answers_;
  const PeerTransport &Peers_;
  const StoreCounters &StoreCounters_;
  const LoopWork &Work_;
  const RolloutControl &Rollouts_;
  const HttpBudget &HttpBudget_;
};

class AdminApi {
public:
  /// Tokens maps operators to the SHA-256 of their token; when it is empty, no
  /// token is required.
  AdminApi(AdminContext Context, std::map<std::string, std::string> Tokens);

  void receive(const HttpExchangePointer &Exchange, Now Time);

  void setTokens(std::map<std::string, std::string> Tokens) {
    Tokens_ = std::move(Tokens);
  }

private:
  struct Endpoint {
    std::string_view Method_;
    std::string_view Path_; ///< A trailing slash means a name follows.
    bool RequiresToken_;
    void (AdminApi::*Handle_)(HttpExchange &, std::string_view Name, Now);
  };
  static const std::vector<Endpoint> &endpoints();

  bool isAuthorized(const HttpRequest &Request) const;
  void showFleet(HttpExchange &Exchange, std::string_view Name, Now Time);
  void showStatus(HttpExchange &Exchange, std::string_view Name, Now Time);
  void showQuarantine(HttpExchange &Exchange, std::string_view Name, Now Time);
  void clearQuarantine(HttpExchange &Exchange, std::string_view Name, Now Time);
  void announce(HttpExchange &Exchange, std::string_view Name, Now Time);
  void withdraw(HttpExchange &Exchange, std::string_view Name, Now Time);
  void showMetrics(HttpExchange &Exchange, std::string_view Name, Now Time);
  void showTraces(HttpExchange &Exchange, std::string_view Name, Now Time);
  void showHealth(HttpExchange &Exchange, std::string_view Name, Now Time);

  AdminContext Context_;
  std::map<std::string, std::string> Tokens_;
};

/// All metrics of the daemon in the Prometheus text format.
std::string metricsText(const AdminContext &Context);

} // namespace sycamore
