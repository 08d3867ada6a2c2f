// Implementation of Daemon. Its parts are declared in the order in which they
// depend on each other.
#pragma once

#include "AdminApi.h"
#include "ControlPlane.h"
#include "EntryProxy.h"
#include "KeyedProxy.h"
#include "LoopWork.h"
#include "PeerKeys.h"
#include "QuotaControl.h"
#include "TargetProxy.h"
#include "sycamore/Daemon.h"
#include "sycamore/EtcdStore.h"
#include "sycamore/PeerTransport.h"

#include <event2/event.h>

namespace sycamore {

class DaemonImpl : public Daemon {
public:
  DaemonImpl(event_base *Base, const Settings &Config,
             const Integration *Adapter);
  ~DaemonImpl() override;

  Result<void> start();

  DaemonAddresses addresses() const override { return Addresses_; }
  void stop() override;
  Result<void> reload() override;
  bool stopLimitPassed() const override { return CutShort_; }

private:
  /// A call message from this daemon to itself.
  struct LocalMessage {
    wire::PeerMessage Message_;
    std::string Body_;
  };

  Result<void> startPeers();
  Result<void> startHttp();
  Result<void> startNoticeListeners();
  void makeProxies(const std::string &PeerAddress);
  void startTicking();
  static void onTick(evutil_socket_t, short, void *Self);
  static void onLocalMessages(evutil_socket_t, short, void *Self);
  void tick();
  void onMessage(wire::PeerMessage &Message, std::string &Body,
                 const ReplyRoute &Route);
  bool isForControlPlane(const wire::PeerMessage &Message) const;
  void onCallMessage(wire::PeerMessage &Message, std::string &Body,
                     const ReplyRoute &Route, Now Time);
  void mergeQuarantine(const wire::Gossip &Update, Now Time);
  void sendOutbox(Outbox &Out);
  SendResult sendCall(const std::string &Server, wire::PeerMessage &Message,
                      std::string_view Body);
  bool replyCall(const ReplyRoute &Route, wire::PeerMessage &Message,
                 std::string_view Body);
  AnswerSenderConfig answerSenderConfig();
  static void onPace(evutil_socket_t, short, void *Self);
  void queueLocal(wire::PeerMessage &Message, std::string_view Body);
  /// Whether the settings allow a server with this name and public key.
  bool isAllowedPeer(const wire::ServerRecord &Record) const;
  std::optional<PeerAddress> resolve(const std::string &Peer) const;
  void writeTraces(Now Time);
  void beginLeaving(Now Time);
  void advanceStop(Now Time);
  bool isIdle() const;

  Result<std::unique_ptr<HttpServer>>
  startHttpServer(const std::string &Address,
                  const std::optional<ServerTlsSettings> &Tls,
                  HttpHandler Handler, std::string &Bound);
  void handleNotice(const HttpExchangePointer &Exchange, Now Time);
  bool isReady() const;
  void writePeriodicLogs(Now Time);

  event_base *Base_;
  Settings Settings_;
  const Integration *Integration_;
  Random Rng_;
  std::uint64_t Process_;
  PeerKeys Keys_;
  DaemonAddresses Addresses_;
  SpanBuffer Spans_;
  Quarantine Quarantine_;
  LoopWork Work_;
  std::shared_ptr<StoreCounters> StoreCounters_ =
      std::make_shared<StoreCounters>();
  std::unique_ptr<Store> Store_;
  std::unique_ptr<HttpClient> Client_;
  std::unique_ptr<PeerTransport> Peers_;
  std::unique_ptr<ControlPlane> Control_;
  std::unique_ptr<AnswerSender> Answers_;
  std::unique_ptr<TargetProxy> Targets_;
  std::unique_ptr<RolloutControl> Rollouts_;
  std::unique_ptr<EntryProxy> Entry_;
  std::unique_ptr<KeyedProxy> Keyed_;
  std::unique_ptr<QuotaControl> Quotas_;
  std::unique_ptr<AdminApi> Admin_;
  std::shared_ptr<HttpBudget> HttpBudget_; ///< Of all listeners.
  std::unique_ptr<HttpServer> CallerServer_;
  std::unique_ptr<HttpServer> AdminServer_;
  std::unique_ptr<HttpServer> ReadyServer_;    ///< Null when not configured.
  std::unique_ptr<HttpServer> AnnounceServer_; ///< Null when not configured.
  event *TickEvent_ = nullptr;
  event *LocalEvent_ = nullptr;
  event *PaceEvent_ = nullptr; ///< Runs Answers_->pump().
  std::deque<LocalMessage> LocalMessages_;
  bool Stopping_ = false;
  bool ListenersClosed_ = false;
  bool CutShort_ = false;
  TimePoint StopStarted_;
  TimePoint IdleSince_;
  TimePoint NextTraceWrite_;
  TimePoint NextDropReport_;
  TimePoint NextTotals_;
  TimePoint LastTick_;
};

} // namespace sycamore
