// Connects the command line to the store and to a daemon's admin interface.
//
// The only place of the command line that opens connections. EtcdStore is used
// as soon as its header is part of the tree.
#include "CliConnect.h"

#include "sycamore/Clock.h"
#include "sycamore/Signing.h"

#include <cstring>
#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <event2/event.h>
#include <event2/http.h>
#include <openssl/ssl.h>
#include <openssl/x509v3.h>

#if __has_include("sycamore/EtcdStore.h")
#include "sycamore/EtcdStore.h"
#define SYCAMORE_HAS_ETCD_STORE 1
#endif

namespace sycamore {
namespace {

constexpr std::size_t MaxAnswerBytes = 16U << 20U;

template <auto Free> struct Deleter {
  template <typename T> void operator()(T *Value) const { Free(Value); }
};
using EventBase = std::unique_ptr<event_base, Deleter<event_base_free>>;
using TlsContext = std::unique_ptr<SSL_CTX, Deleter<SSL_CTX_free>>;
using Connection =
    std::unique_ptr<evhttp_connection, Deleter<evhttp_connection_free>>;

timeval toTimeval(Duration Span) {
  timeval Out{};
  Out.tv_sec = static_cast<time_t>(Span.count() / 1'000'000);
  Out.tv_usec = static_cast<suseconds_t>(Span.count() % 1'000'000);
  return Out;
}

/// Runs a loop for a while, whatever happens in it.
void runLoopFor(event_base *Base, Duration Span) {
  timeval Limit = toTimeval(Span);
  event_base_loopexit(Base, &Limit);
  event_base_dispatch(Base);
}

#ifdef SYCAMORE_HAS_ETCD_STORE
/// The store must go before its loop.
struct StoreOwner {
  EventBase Base_{event_base_new()};
  std::unique_ptr<Store> Store_;
};

Result<CliStore> connectStore(const StoreSettings &Settings) {
  auto Owner = std::make_shared<StoreOwner>();
  event_base *Base = Owner->Base_.get();
  Owner->Store_ = makeEtcdStore(Base, Settings);
  auto Pump = [Base] {
    if (event_base_loop(Base, EVLOOP_ONCE) != 0)
      throw std::logic_error("the store's call has no event to wait for");
  };
  return CliStore{StoreSession{*Owner->Store_, Pump, Settings.Timeout_},
                  monotonicNow,
                  [Base](Duration Span) { runLoopFor(Base, Span); }, Owner};
}
#else
Result<CliStore> connectStore(const StoreSettings & /*Settings*/) {
  return fail(ErrorKind::Unavailable, "this build has no client for the store",
              "build sycamorectl with EtcdStore");
}
#endif

/// One request and what became of it.
struct Exchange {
  event_base *Base_ = nullptr;
  bool Answered_ = false;
  AdminAnswer Answer_;
};

void onAnswer(evhttp_request *Request, void *Argument) {
  auto *State = static_cast<Exchange *>(Argument);
  event_base_loopbreak(State->Base_);
  if (!Request || evhttp_request_get_response_code(Request) == 0)
    return;
  State->Answered_ = true;
  State->Answer_.Status_ = evhttp_request_get_response_code(Request);
  evbuffer *Body = evhttp_request_get_input_buffer(Request);
  State->Answer_.Body_.resize(evbuffer_get_length(Body));
  evbuffer_remove(Body, State->Answer_.Body_.data(),
                  State->Answer_.Body_.size());
}

Result<TlsContext> makeTlsContext(const std::string &CaFile) {
  TlsContext Out(SSL_CTX_new(TLS_client_method()));
  SSL_CTX_set_verify(Out.get(), SSL_VERIFY_PEER, nullptr);
  SSL_CTX_set_min_proto_version(Out.get(), TLS1_2_VERSION);
  if (SSL_CTX_load_verify_locations(Out.get(), CaFile.c_str(), nullptr) != 1)
    return fail(ErrorKind::InvalidSettings,
                CaFile + ": holds no certificate authority",
                "set daemon_ca to a file in PEM format");
  return Out;
}

bufferevent *makeSocket(event_base *Base, SSL_CTX *Context,
                        const std::string &Host) {
  if (!Context)
    return bufferevent_socket_new(Base, -1, BEV_OPT_CLOSE_ON_FREE);
  SSL *Session = SSL_new(Context);
  X509_VERIFY_PARAM_set1_ip_asc(SSL_get0_param(Session), Host.c_str());
  bufferevent *Out = bufferevent_openssl_socket_new(
      Base, -1, Session, BUFFEREVENT_SSL_CONNECTING, BEV_OPT_CLOSE_ON_FREE);
  // A peer that closes without a TLS shutdown has sent its whole answer, whose
  // length the HTTP parser checks.
  bufferevent_openssl_set_allow_dirty_shutdown(Out, 1);
  return Out;
}

evhttp_cmd_type commandOf(std::string_view Method) {
  return Method == "DELETE" ? EVHTTP_REQ_DELETE : EVHTTP_REQ_GET;
}

tl::unexpected<Error> daemonSilent(const OperatorSettings &Settings) {
  return fail(ErrorKind::OutcomeUnknown,
              "the daemon at " + Settings.Daemon_ + " gave no answer",
              "check that it runs, and its address and certificate authority "
              "in the settings");
}

Result<AdminAnswer> callDaemon(const OperatorSettings &Settings,
                               std::string_view Method, const std::string &Path,
                               Duration Timeout) {
  auto Address = parseSocketAddress(Settings.Daemon_);
  if (!Address)
    return fail(ErrorKind::InvalidSettings, "the settings name no daemon",
                "set daemon to the admin address of any daemon");
  std::string Token;
  if (!Settings.AdminTokenFile_.empty()) {
    auto Text = readKeyFile(Settings.AdminTokenFile_);
    if (!Text)
      return tl::unexpected<Error>(Text.error());
    Token = *Text;
  }
  TlsContext Context;
  if (!Settings.DaemonCa_.empty()) {
    auto Made = makeTlsContext(Settings.DaemonCa_);
    if (!Made)
      return tl::unexpected<Error>(Made.error());
    Context = std::move(*Made);
  }
  EventBase Base(event_base_new());
  Connection Link(evhttp_connection_base_bufferevent_new(
      Base.get(), nullptr,
      makeSocket(Base.get(), Context.get(), Address->Host_),
      Address->Host_.c_str(), Address->Port_));
  evhttp_connection_set_max_body_size(Link.get(), MaxAnswerBytes);
  evhttp_connection_set_retries(Link.get(), 0);
  Exchange State{Base.get(), false, {}};
  evhttp_request *Request = evhttp_request_new(onAnswer, &State);
  evkeyvalq *Headers = evhttp_request_get_output_headers(Request);
  evhttp_add_header(Headers, "Host", Settings.Daemon_.c_str());
  evhttp_add_header(Headers, "Connection", "close");
  if (!Token.empty())
    evhttp_add_header(Headers, "Authorization", ("Bearer " + Token).c_str());
  if (evhttp_make_request(Link.get(), Request, commandOf(Method),
                          Path.c_str()) != 0)
    return daemonSilent(Settings);
  runLoopFor(Base.get(), Timeout);
  if (!State.Answered_)
    return daemonSilent(Settings);
  return State.Answer_;
}

} // namespace

CliEnvironment networkEnvironment(std::ostream &Out, std::ostream &Err) {
  return CliEnvironment{Out, Err, wallNow, connectStore, callDaemon};
}

} // namespace sycamore
