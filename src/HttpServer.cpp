// HTTP/1.1 server on a libevent loop, over evhttp.
#include "sycamore/HttpServer.h"

#include "HttpBudget.h"
#include "HttpExchange.h"
#include "HttpSupport.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <map>
#include <sys/resource.h>
#include <unistd.h>

namespace sycamore {
namespace {

constexpr std::uint16_t AllowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

/// Connections that may wait to be accepted, for when many callers reconnect at
/// once.
constexpr int AcceptBacklog = 1024;

/// A listener whose accept() fails, usually for lack of file descriptors, is
/// disabled until the next expiry of this interval. Otherwise it would keep the
/// event loop busy.
constexpr timeval AcceptRetryInterval{0, 500000};

/// Requests up to this size are not dropped for the sake of larger ones, unless
/// they make no progress.
constexpr std::size_t SmallRequestBytes = 64U << 10U;

/// Time without input after which an unfinished request of any size may be
/// dropped.
constexpr Duration StallTime = seconds(1);

class ServerImpl : public HttpServer, public HttpConnectionOwner {
public:
  ServerImpl(event_base *Base, const HttpServerConfig &Config, TlsContext Tls);
  ServerImpl(const ServerImpl &) = delete;
  ServerImpl &operator=(const ServerImpl &) = delete;
  ~ServerImpl() override;

  Result<std::string> listen(const std::string &Address) override;
  void setHandler(HttpHandler Handler) override {
    Handler_ = std::move(Handler);
  }
  void stopAccepting() override;
  void closeIdle() override;
  std::size_t openExchanges() const override;
  Result<void> reloadTls() override;

private:
  void dispatch(HttpExchangePointer Exchange) override;
  void connectionClosed(evhttp_connection *Connection) override;
  void closeDeferred(evhttp_connection *Connection) override;
  bool changeHeldBytes(std::size_t Before, std::size_t After) override;
  HttpServerConnection *findHeaviest(TimePoint Now) override;
  HttpServerConnection *findIdlest() override;
  bool isStopping() const override { return Stopping_; }
  const HttpServerConfig &config() const override { return Config_; }

  static bufferevent *newStream(event_base *Base, void *Self);
  static void onAccepted(evutil_socket_t Socket, short Events, void *Self);
  bool lacksDescriptors() const;
  void makeRoom();
  static void onRequest(evhttp_request *Request, void *Self);
  static void onAcceptError(evconnlistener *Listener, void *Http);
  static void onAcceptRetryTimer(evutil_socket_t Socket, short Events,
                                 void *Self);
  static void onCloseTimer(evutil_socket_t Socket, short Events, void *Self);

  event_base *Base_;
  HttpServerConfig Config_;
  TlsContext Tls_;
  evhttp *Http_;
  event *CloseTimer_;
  event *AcceptRetryTimer_;
  event *AcceptedTimer_;
  HttpHandler Handler_;
  std::vector<evhttp_bound_socket *> Sockets_;
  std::map<evhttp_connection *, std::unique_ptr<HttpServerConnection>>
      Connections_;
  /// Streams accepted since the last run of onAccepted().
  std::vector<bufferevent *> NewStreams_;
  std::vector<evhttp_connection *> ToClose_;
  std::shared_ptr<HttpBudget> Budget_;
  bool Stopping_ = false;
};

ServerImpl::ServerImpl(event_base *Base, const HttpServerConfig &Config,
                       TlsContext Tls)
    : Base_(Base), Config_(Config), Tls_(std::move(Tls)),
      Http_(evhttp_new(Base)),
      CloseTimer_(evtimer_new(Base, onCloseTimer, this)),
      AcceptRetryTimer_(
          event_new(Base, -1, EV_PERSIST, onAcceptRetryTimer, this)),
      AcceptedTimer_(evtimer_new(Base, onAccepted, this)),
      Budget_(Config.Budget_) {
  if (!Budget_) {
    Budget_ = std::make_shared<HttpBudget>();
    Budget_->MaxBytes_ = Config.MaxHeldBytes_;
  }
  Budget_->Owners_.push_back(this);
  event_add(AcceptRetryTimer_, &AcceptRetryInterval);
  evhttp_set_max_headers_size(Http_,
                              static_cast<ev_ssize_t>(Config_.MaxHeaderBytes_));
  evhttp_set_max_body_size(Http_,
                           static_cast<ev_ssize_t>(Config_.MaxBodyBytes_));
  evhttp_set_allowed_methods(Http_, AllowedMethods);
  evhttp_set_default_content_type(Http_, nullptr);
  // Reads an oversized body to its end before the connection closes; otherwise
  // the caller would get a connection reset instead of status 413.
  evhttp_set_flags(Http_, EVHTTP_SERVER_LINGERING_CLOSE);
  timeval Idle = toTimeval(Config_.IdleTimeout_);
  evhttp_set_timeout_tv(Http_, &Idle);
  evhttp_set_bevcb(Http_, newStream, this);
  evhttp_set_gencb(Http_, onRequest, this);
}

ServerImpl::~ServerImpl() {
  for (const auto &[Handle, Connection] : Connections_) {
    evhttp_connection_set_closecb(Handle, nullptr, nullptr);
    Connection->detach();
  }
  event_free(CloseTimer_);
  event_free(AcceptRetryTimer_);
  event_free(AcceptedTimer_);
  std::erase(Budget_->Owners_, this);
  evhttp_free(Http_);
}

bufferevent *ServerImpl::newStream(event_base *Base, void *Self) {
  auto *This = static_cast<ServerImpl *>(Self);
  bufferevent *Stream = nullptr;
  if (This->Tls_) {
    Stream = bufferevent_openssl_socket_new(Base, -1, SSL_new(This->Tls_.get()),
                                            BUFFEREVENT_SSL_ACCEPTING,
                                            BEV_OPT_CLOSE_ON_FREE);
    bufferevent_openssl_set_allow_dirty_shutdown(Stream, 1);
  } else {
    Stream = bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  }
  This->NewStreams_.push_back(Stream);
  event_active(This->AcceptedTimer_, EV_TIMEOUT, 0);
  return Stream;
}

// evhttp reports a connection with its first complete request only, but its
// input has to be bounded before. It sets itself as the argument of the
// stream's callbacks after newStream() has returned, and this runs before the
// loop reads from the socket.
void ServerImpl::onAccepted(evutil_socket_t /*Socket*/, short /*Events*/,
                            void *Self) {
  auto *This = static_cast<ServerImpl *>(Self);
  std::size_t Accepted = This->NewStreams_.size();
  for (bufferevent *Stream : std::exchange(This->NewStreams_, {})) {
    void *Handle = nullptr;
    bufferevent_getcb(Stream, nullptr, nullptr, nullptr, &Handle);
    auto *Connection = static_cast<evhttp_connection *>(Handle);
    This->Connections_[Connection] =
        std::make_unique<HttpServerConnection>(*This, Connection);
  }
  // One for each accepted stream, as closing takes effect only later.
  if (This->lacksDescriptors())
    for (; Accepted > 0; --Accepted)
      This->makeRoom();
}

// New descriptors get the lowest free number.
bool ServerImpl::lacksDescriptors() const {
  if (Budget_->MaxDescriptors_ == 0 || Sockets_.empty())
    return false;
  int Next =
      fcntl(evhttp_bound_socket_get_fd(Sockets_.front()), F_DUPFD_CLOEXEC, 0);
  if (Next >= 0)
    close(Next);
  return Next < 0 || static_cast<std::size_t>(Next) >= Budget_->MaxDescriptors_;
}

// Closes the connection that made no progress for longest, and accepts no more
// until the next expiry of AcceptRetryInterval.
void ServerImpl::makeRoom() {
  HttpServerConnection *Idlest = nullptr;
  for (HttpConnectionOwner *Owner : Budget_->Owners_)
    if (HttpServerConnection *Candidate = Owner->findIdlest();
        Candidate &&
        (!Idlest || Candidate->progressAt() < Idlest->progressAt()))
      Idlest = Candidate;
  if (Idlest) {
    ++Budget_->ClosedForDescriptors_;
    Idlest->drop("the process has few descriptors left, and this connection "
                 "made no progress for longest");
    return;
  }
  for (evhttp_bound_socket *Socket : Sockets_)
    evconnlistener_disable(evhttp_bound_socket_get_listener(Socket));
}

HttpServerConnection *ServerImpl::findIdlest() {
  HttpServerConnection *Idlest = nullptr;
  for (const auto &[Handle, Connection] : Connections_)
    if (!Connection->busy() && !Connection->dropped() &&
        (!Idlest || Connection->progressAt() < Idlest->progressAt()))
      Idlest = Connection.get();
  return Idlest;
}

Result<std::string> ServerImpl::listen(const std::string &Address) {
  auto Parsed = parseSocketAddress(Address);
  if (!Parsed)
    return tl::unexpected(Parsed.error());
  evconnlistener *Listener = evconnlistener_new_bind(
      Base_, nullptr, nullptr,
      LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_CLOSE_ON_FREE,
      AcceptBacklog, Parsed->get(), Parsed->Length_);
  if (!Listener)
    return fail(ErrorKind::Unavailable,
                "cannot listen on " + Address + ": " + std::strerror(errno),
                "choose a free port and an address of this machine");
  // Accepted sockets inherit this option.
  setNoDelay(evconnlistener_get_fd(Listener));
  std::string Bound = boundAddress(evconnlistener_get_fd(Listener));
  Sockets_.push_back(evhttp_bind_listener(Http_, Listener));
  evconnlistener_set_error_cb(Listener, onAcceptError);
  return Bound;
}

void ServerImpl::onAcceptError(evconnlistener *Listener, void * /*Http*/) {
  evconnlistener_disable(Listener);
}

void ServerImpl::onAcceptRetryTimer(evutil_socket_t /*Socket*/,
                                    short /*Events*/, void *Self) {
  for (evhttp_bound_socket *Socket : static_cast<ServerImpl *>(Self)->Sockets_)
    evconnlistener_enable(evhttp_bound_socket_get_listener(Socket));
}

void ServerImpl::stopAccepting() {
  Stopping_ = true;
  for (evhttp_bound_socket *Socket : Sockets_)
    evhttp_del_accept_socket(Http_, Socket);
  Sockets_.clear();
}

void ServerImpl::closeIdle() {
  std::vector<evhttp_connection *> Idle;
  for (const auto &[Handle, Connection] : Connections_)
    if (Connection->idle())
      Idle.push_back(Handle);
  for (evhttp_connection *Handle : Idle)
    evhttp_connection_free(Handle);
}

std::size_t ServerImpl::openExchanges() const {
  return static_cast<std::size_t>(
      std::count_if(Connections_.begin(), Connections_.end(),
                    [](const auto &Item) { return Item.second->busy(); }));
}

Result<void> ServerImpl::reloadTls() {
  if (!Config_.Tls_.enabled())
    return {};
  auto Context = makeTlsContext(Config_.Tls_, TlsSide::Server,
                                Config_.RequireClientCertificate_);
  if (!Context)
    return tl::unexpected(Context.error());
  Tls_ = *Context;
  return {};
}

void ServerImpl::dispatch(HttpExchangePointer Exchange) {
  // The handler may replace itself.
  HttpHandler Handler = Handler_;
  if (Handler)
    Handler(std::move(Exchange));
}

void ServerImpl::connectionClosed(evhttp_connection *Connection) {
  std::erase(ToClose_, Connection);
  Connections_.erase(Connection);
}

void ServerImpl::closeDeferred(evhttp_connection *Connection) {
  if (std::find(ToClose_.begin(), ToClose_.end(), Connection) == ToClose_.end())
    ToClose_.push_back(Connection);
  event_active(CloseTimer_, EV_TIMEOUT, 0);
}

HttpServerConnection *ServerImpl::findHeaviest(TimePoint Now) {
  HttpServerConnection *Heaviest = nullptr;
  for (const auto &[Handle, Connection] : Connections_) {
    bool Stalled = Now - Connection->progressAt() >= StallTime;
    bool MayDrop = !Connection->busy() && !Connection->dropped() &&
                   (Connection->heldBytes() > SmallRequestBytes ||
                    (Stalled && Connection->heldBytes() > 0));
    if (MayDrop &&
        (!Heaviest || Connection->heldBytes() > Heaviest->heldBytes()))
      Heaviest = Connection.get();
  }
  return Heaviest;
}

bool ServerImpl::changeHeldBytes(std::size_t Before, std::size_t After) {
  Budget_->Bytes_ = Budget_->Bytes_ - Before + After;
  if (After <= Before)
    return Budget_->Bytes_ <= Budget_->MaxBytes_;
  TimePoint Now = monotonicNow();
  while (Budget_->Bytes_ > Budget_->MaxBytes_) {
    HttpServerConnection *Heaviest = nullptr;
    for (HttpConnectionOwner *Owner : Budget_->Owners_)
      if (HttpServerConnection *Candidate = Owner->findHeaviest(Now);
          Candidate &&
          (!Heaviest || Candidate->heldBytes() > Heaviest->heldBytes()))
        Heaviest = Candidate;
    if (!Heaviest)
      return false;
    ++Budget_->DroppedForBytes_;
    Heaviest->drop("all requests together are over the size limit, and this "
                   "one is the largest unfinished one");
  }
  return true;
}

void ServerImpl::onCloseTimer(evutil_socket_t /*Socket*/, short /*Events*/,
                              void *Self) {
  auto *This = static_cast<ServerImpl *>(Self);
  while (!This->ToClose_.empty())
    evhttp_connection_free(This->ToClose_.back());
}

void ServerImpl::onRequest(evhttp_request *Request, void *Self) {
  auto *This = static_cast<ServerImpl *>(Self);
  evhttp_connection *Handle = evhttp_request_get_connection(Request);
  This->Connections_.at(Handle)->start(Request);
}

} // namespace

std::shared_ptr<HttpBudget> makeHttpBudget(std::size_t MaxBytes) {
  auto Out = std::make_shared<HttpBudget>();
  Out->MaxBytes_ = MaxBytes;
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) == 0 && Limit.rlim_cur != RLIM_INFINITY)
    Out->MaxDescriptors_ = Limit.rlim_cur / 8 * 5;
  return Out;
}

Result<std::unique_ptr<HttpServer>>
HttpServer::create(event_base *Base, const HttpServerConfig &Config) {
  ignoreBrokenPipeSignal();
  TlsContext Tls;
  if (Config.Tls_.enabled()) {
    auto Context = makeTlsContext(Config.Tls_, TlsSide::Server,
                                  Config.RequireClientCertificate_);
    if (!Context)
      return tl::unexpected(Context.error());
    Tls = *Context;
  }
  return std::make_unique<ServerImpl>(Base, Config, std::move(Tls));
}

} // namespace sycamore
