// Quotas of tenants at this daemon: holds callers' requests until an owner has
// lent a token for them, and lends the tokens that this daemon owns.
#pragma once

#include "EntryProxy.h"
#include "sycamore/TenantQuota.h"

namespace sycamore {

/// Sends a message about quotas to a peer.
using QuotaSender =
    std::function<void(const std::string &Server, wire::PeerMessage &)>;

class QuotaControl {
public:
  QuotaControl(const Settings &Config, ControlPlane &Control, EntryProxy &Entry,
               QuotaSender Send, Now Time);

  /// Passes a request on, holds it for a token, or refuses it.
  void receive(AcceptedRequest Request, const HttpExchangePointer &Exchange,
               Now Time);

  /// The answer to an entry daemon's request for tokens.
  wire::QuotaGrant receiveRequest(const wire::QuotaRequest &Request, Now Time);
  void receiveGrant(const std::string &Server, const wire::QuotaGrant &Grant,
                    Now Time);
  void tick(Now Time);

  std::size_t waiting() const { return Held_.size(); }
  const QuotaCounters &counters() const { return Entry_.Counters_; }

private:
  struct HeldRequest {
    AcceptedRequest Request_;
    HttpExchangePointer Exchange_;
  };

  /// Whether any tenant has a limit; forgets all state otherwise.
  bool isInUse(Now Time);
  void refreshFleet(Now Time);
  void hold(QuotaWaiterId Id, AcceptedRequest Request,
            const HttpExchangePointer &Exchange);
  void finish(const std::vector<QuotaOutcome> &Outcomes, Now Time);
  void resolve(AcceptedRequest Request, const HttpExchangePointer &Exchange,
               const QuotaDecision &Decision, Now Time);
  void sendAsks(Now Time);
  void logEvents();

  const Settings &Settings_;
  ControlPlane &Control_;
  EntryProxy &Proxy_;
  QuotaSender Send_;
  QuotaFleet Fleet_;
  QuotaOwner Owner_;
  QuotaEntry Entry_;
  std::unordered_map<QuotaWaiterId, HeldRequest> Held_;
  QuotaWaiterId NextId_ = 1;
  SnapshotPointer Checked_; ///< Snapshot that InUse_ was taken from.
  bool InUse_ = false;
  TimePoint StartedAt_;
  TimePoint NextRefresh_;
};

} // namespace sycamore
