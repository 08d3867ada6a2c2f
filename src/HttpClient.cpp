// HTTP/1.1 client on a libevent loop, over evhttp, with a pool of connections
// for each address.
#include "sycamore/HttpClient.h"

#include "HttpClientPool.h"
#include "sycamore/Clock.h"

#include <algorithm>
#include <event2/bufferevent_ssl.h>
#include <openssl/x509v3.h>
#include <utility>

namespace sycamore {
namespace {

constexpr Duration SweepInterval = milliseconds(500);

class ClientImpl : public HttpClient {
public:
  explicit ClientImpl(std::shared_ptr<ClientCore> Core)
      : Core_(std::move(Core)) {}
  ClientImpl(const ClientImpl &) = delete;
  ClientImpl &operator=(const ClientImpl &) = delete;
  ~ClientImpl() override { Core_->shutDown(); }

  std::shared_ptr<HttpCall> send(const std::string &Address,
                                 HttpClientRequest Request,
                                 Callback Done) override {
    return Core_->send(Address, std::move(Request), std::move(Done));
  }
  void closeConnections(const std::string &Address) override {
    Core_->closeConnections(Address);
  }
  std::size_t connections(const std::string &Address) const override {
    return Core_->connections(Address);
  }

private:
  std::shared_ptr<ClientCore> Core_;
};

/// Keeps the state of a destroyed client until the next iteration of the loop.
void keepUntilNextIteration(std::shared_ptr<ClientCore> Core) {
  event_base *Base = Core->Base_;
  auto *Held = new std::shared_ptr<ClientCore>(std::move(Core));
  timeval Now{};
  event_base_once(
      Base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *Argument) {
        delete static_cast<std::shared_ptr<ClientCore> *>(Argument);
      },
      Held, &Now);
}

} // namespace

std::string_view httpOutcomeName(HttpOutcome Outcome) {
  switch (Outcome) {
  case HttpOutcome::Answered:
    return "answered";
  case HttpOutcome::NotSent:
    return "not-sent";
  case HttpOutcome::Broken:
    return "broken";
  case HttpOutcome::TimedOut:
    return "timed-out";
  }
  return "";
}

ClientCore::ClientCore(event_base *Base, HttpClientConfig Config,
                       TlsContext Tls)
    : Base_(Base), Config_(std::move(Config)), Tls_(std::move(Tls)),
      DeletionTimer_(evtimer_new(Base, onDeletionTimer, this)),
      SweepTimer_(evtimer_new(Base, onSweepTimer, this)) {}

ClientCore::~ClientCore() {
  event_free(DeletionTimer_);
  event_free(SweepTimer_);
}

bufferevent *ClientCore::newStream(const IpEndpoint &Address) {
  if (!Tls_)
    return bufferevent_socket_new(Base_, -1, BEV_OPT_CLOSE_ON_FREE);
  SSL *Tls = SSL_new(Tls_.get());
  X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(Tls), Address.Ip_.c_str());
  bufferevent *Stream = bufferevent_openssl_socket_new(
      Base_, -1, Tls, BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
  // A response's length shows whether it is complete, so a missing TLS
  // close_notify is not an error.
  bufferevent_openssl_set_allow_dirty_shutdown(Stream, 1);
  return Stream;
}

ClientPool *ClientCore::findOrCreatePool(const std::string &Address) {
  auto Found = Pools_.find(Address);
  if (Found != Pools_.end())
    return Found->second.get();
  auto Parsed = parseSocketAddress(Address);
  if (!Parsed)
    return nullptr;
  auto Pool = std::make_unique<ClientPool>();
  Pool->Address_ = *Parsed;
  return Pools_.emplace(Address, std::move(Pool)).first->second.get();
}

std::shared_ptr<HttpCall> ClientCore::send(const std::string &Address,
                                           HttpClientRequest Request,
                                           HttpClient::Callback Done) {
  auto Call =
      std::make_shared<ClientCall>(*this, std::move(Request), std::move(Done));
  Calls_.emplace(Call.get(), Call);
  Call->Pool_ = findOrCreatePool(Address);
  if (!Call->Pool_) {
    // The call owns its timer, so a queue has to hold it until the timer fires.
    Call->Pool_ = Pools_.try_emplace("", std::make_unique<ClientPool>())
                      .first->second.get();
    Call->Pool_->Waiting_.push_back(Call);
    Call->failDeferred("\"" + Address + "\" is not of the form IP:PORT");
    return Call;
  }
  Call->Pool_->Waiting_.push_back(Call);
  if (Call->Pool_->Waiting_.size() > Config_.MaxQueuedPerAddress_) {
    Call->failDeferred("too many requests wait for a connection");
    return Call;
  }
  Call->armTimer();
  startWaitingCalls(*Call->Pool_);
  return Call;
}

ClientConnection *ClientCore::acquireConnection(ClientPool &Pool) {
  for (std::size_t I = Pool.Connections_.size(); I-- > 0;) {
    ClientConnection &Candidate = *Pool.Connections_[I];
    if (!Candidate.idle())
      continue;
    if (Candidate.isReusable())
      return &Candidate;
    discard(Candidate);
  }
  if (Pool.Connections_.size() >= Config_.ConnectionsPerAddress_)
    return nullptr;
  Pool.Connections_.push_back(std::make_unique<ClientConnection>(*this, Pool));
  return Pool.Connections_.back().get();
}

void ClientCore::startWaitingCalls(ClientPool &Pool) {
  if (!Pool.Address_.Port_)
    return;
  while (!Pool.Waiting_.empty()) {
    ClientConnection *Connection = acquireConnection(Pool);
    if (!Connection)
      return;
    std::shared_ptr<ClientCall> Call = Pool.Waiting_.front();
    Pool.Waiting_.pop_front();
    Call->ConnectDeadlineAt_ = monotonicNow() + Config_.ConnectTimeout_;
    if (Connection->start(Call)) {
      Call->armTimer();
      continue;
    }
    std::string Reason = Connection->Failure_;
    // Keeps the call alive until its timer fires.
    Connection->Call_ = Call;
    Call->Connection_ = Connection;
    Call->failDeferred(std::move(Reason));
  }
}

void ClientCore::release(ClientCall &Call, bool KeepConnection) {
  Call.Core_ = nullptr;
  Calls_.erase(&Call);
  ClientPool &Pool = *Call.Pool_;
  if (ClientConnection *Connection = std::exchange(Call.Connection_, nullptr)) {
    Connection->Call_ = nullptr;
    Connection->releaseHeldBytes();
    Connection->IdleSince_ = monotonicNow();
    if (!KeepConnection || Connection->CloseAfterCall_)
      discard(*Connection);
  } else {
    std::erase_if(Pool.Waiting_,
                  [&](const auto &Item) { return Item.get() == &Call; });
  }
  startWaitingCalls(Pool);
  armSweep();
}

void ClientCore::armSweep() {
  if (evtimer_pending(SweepTimer_, nullptr))
    return;
  timeval Wait = toTimeval(SweepInterval);
  evtimer_add(SweepTimer_, &Wait);
}

void ClientCore::finish(ClientCall &Call, HttpResponse Response,
                        bool KeepConnection) {
  std::shared_ptr<ClientCore> KeepSelf = shared_from_this();
  std::shared_ptr<ClientCall> KeepCall = Call.shared_from_this();
  HttpClient::Callback Done = std::exchange(Call.Done_, nullptr);
  release(Call, KeepConnection);
  if (Done)
    Done(std::move(Response));
}

void ClientCore::cancel(ClientCall &Call) {
  std::shared_ptr<ClientCall> KeepCall = Call.shared_from_this();
  Call.Done_ = nullptr;
  release(Call, false);
}

void ClientCore::changeHeldBytes(std::size_t Before, std::size_t After) {
  HeldBytes_ = HeldBytes_ - Before + After;
  if (HeldBytes_ <= Config_.MaxUnfinishedBytes_)
    return;
  ClientConnection *Largest = nullptr;
  for (const auto &[Address, Pool] : Pools_)
    for (const auto &Connection : Pool->Connections_)
      if (!Largest || Connection->heldBytes() > Largest->heldBytes())
        Largest = Connection.get();
  if (Largest && Largest->heldBytes() > 0)
    Largest->failOverLimit(
        "all unfinished answers together are over the size limit, and this "
        "one is the largest");
}

void ClientCore::connectionClosed(ClientConnection &Connection) {
  discard(Connection);
}

void ClientCore::discard(ClientConnection &Connection) {
  auto &All = Connection.pool().Connections_;
  auto Found = std::find_if(All.begin(), All.end(), [&](const auto &Item) {
    return Item.get() == &Connection;
  });
  if (Found == All.end())
    return;
  Discarded_.push_back(std::move(*Found));
  All.erase(Found);
  event_active(DeletionTimer_, EV_TIMEOUT, 0);
}

void ClientCore::onDeletionTimer(evutil_socket_t /*Socket*/, short /*Events*/,
                                 void *Self) {
  auto *This = static_cast<ClientCore *>(Self);
  auto Deleted = std::exchange(This->Discarded_, {});
}

void ClientCore::onSweepTimer(evutil_socket_t /*Socket*/, short /*Events*/,
                              void *Self) {
  static_cast<ClientCore *>(Self)->sweep();
}

// Closes connections that were idle for too long and removes the pools of
// addresses that are no longer called, because targets are replaced over time.
void ClientCore::sweep() {
  TimePoint IdleCutoff = monotonicNow() - Config_.IdleTimeout_;
  bool AnyIdle = false;
  for (const auto &[Address, Pool] : Pools_) {
    std::vector<ClientConnection *> Expired;
    for (const auto &Connection : Pool->Connections_) {
      if (!Connection->idle())
        continue;
      AnyIdle = true;
      if (Connection->IdleSince_ <= IdleCutoff)
        Expired.push_back(Connection.get());
    }
    for (ClientConnection *Connection : Expired)
      discard(*Connection);
  }
  std::erase_if(Pools_, [](const auto &Item) {
    return Item.second->Connections_.empty() && Item.second->Waiting_.empty();
  });
  if (AnyIdle)
    armSweep();
}

void ClientCore::closeConnections(const std::string &Address) {
  auto Found = Pools_.find(Address);
  if (Found == Pools_.end())
    return;
  std::vector<ClientConnection *> Idle;
  for (const auto &Connection : Found->second->Connections_) {
    Connection->CloseAfterCall_ = true;
    if (!Connection->Call_)
      Idle.push_back(Connection.get());
  }
  for (ClientConnection *Connection : Idle)
    discard(*Connection);
}

std::size_t ClientCore::connections(const std::string &Address) const {
  auto Found = Pools_.find(Address);
  return Found == Pools_.end() ? 0 : Found->second->Connections_.size();
}

void ClientCore::shutDown() {
  for (const auto &[Call, Weak] : std::exchange(Calls_, {})) {
    if (auto Held = Weak.lock()) {
      Held->Core_ = nullptr;
      Held->Done_ = nullptr;
      Held->Connection_ = nullptr;
    }
  }
  for (const auto &[Address, Pool] : Pools_) {
    Pool->Waiting_.clear();
    for (auto &Connection : Pool->Connections_) {
      Connection->Call_ = nullptr;
      Discarded_.push_back(std::move(Connection));
    }
    Pool->Connections_.clear();
  }
  // evhttp's functions may still be on the call stack.
  keepUntilNextIteration(shared_from_this());
}

Result<std::unique_ptr<HttpClient>>
HttpClient::create(event_base *Base, const HttpClientConfig &Config) {
  ignoreBrokenPipeSignal();
  TlsContext Tls;
  if (!Config.Tls_.Ca_.empty()) {
    auto Context = makeTlsContext(Config.Tls_, TlsSide::Client, false);
    if (!Context)
      return tl::unexpected(Context.error());
    Tls = *Context;
  }
  return std::make_unique<ClientImpl>(
      std::make_shared<ClientCore>(Base, Config, std::move(Tls)));
}

} // namespace sycamore
