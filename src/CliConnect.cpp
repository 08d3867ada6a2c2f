// Connects the command line to the store and to a daemon's admin interface.
// No other file of the command line opens connections.
#include "CliConnect.h"

#include "StoreConnect.h"
#include "sycamore/Clock.h"
#include "sycamore/HttpClient.h"

#include <event2/event.h>
#include <optional>

namespace sycamore {
namespace {

constexpr std::size_t MaxResponseBytes = 16U << 20U;

struct EventBaseDeleter {
  void operator()(event_base *Base) const { event_base_free(Base); }
};
using EventBase = std::unique_ptr<event_base, EventBaseDeleter>;

timeval toTimeval(Duration Span) {
  timeval Out{};
  Out.tv_sec = static_cast<time_t>(Span.count() / 1'000'000);
  Out.tv_usec = static_cast<suseconds_t>(Span.count() % 1'000'000);
  return Out;
}

/// Runs the event loop for Span, or until a callback breaks it.
void runLoopFor(event_base *Base, Duration Span) {
  timeval Limit = toTimeval(Span);
  event_base_loopexit(Base, &Limit);
  event_base_dispatch(Base);
}

/// The store is declared last, because it must be destroyed before its loop.
struct StoreOwner {
  EventBase Base_{event_base_new()};
  std::unique_ptr<Store> Store_;
};

Result<CliStore> connectStore(const StoreSettings &Settings) {
  auto Owner = std::make_shared<StoreOwner>();
  event_base *Base = Owner->Base_.get();
  Owner->Store_ = makeEtcdStore(Base, etcdStoreConfig(Settings));
  auto Pump = [Base] {
    if (event_base_loop(Base, EVLOOP_ONCE) != 0)
      throw std::logic_error(
          "the event loop has no event left during a store call");
  };
  return CliStore{BlockingStoreClient{*Owner->Store_, Pump, Settings.Timeout_},
                  monotonicNow,
                  [Base](Duration Span) { runLoopFor(Base, Span); }, Owner};
}

Result<HttpClientRequest> makeAdminRequest(const OperatorSettings &Settings,
                                           std::string_view Method,
                                           const std::string &Path,
                                           Duration Timeout) {
  if (!parseSocketAddress(Settings.Daemon_))
    return fail(ErrorKind::InvalidSettings,
                "the settings hold no valid daemon address",
                "set daemon to the admin address of any daemon");
  HttpClientRequest Out;
  Out.Method_ = Method;
  Out.Path_ = Path;
  Out.Deadline_ = Timeout;
  if (!Settings.AdminTokenFile_.empty()) {
    auto Token = readKeyFile(Settings.AdminTokenFile_);
    if (!Token)
      return tl::unexpected<Error>(Token.error());
    Out.Headers_.push_back({"Authorization", "Bearer " + *Token});
  }
  return Out;
}

Result<AdminResponse> toAdminResponse(const OperatorSettings &Settings,
                                      HttpResponse Response) {
  if (Response.Outcome_ == HttpOutcome::Answered)
    return AdminResponse{Response.Status_, std::move(Response.Body_)};
  return fail(Response.Sent_ ? ErrorKind::OutcomeUnknown
                             : ErrorKind::Unavailable,
              "the daemon at " + Settings.Daemon_ +
                  " did not respond: " + Response.Reason_,
              "check that it runs, and check its address and certificate "
              "authority in the settings");
}

Result<AdminResponse> callDaemon(const OperatorSettings &Settings,
                                 std::string_view Method,
                                 const std::string &Path, Duration Timeout) {
  auto Request = makeAdminRequest(Settings, Method, Path, Timeout);
  if (!Request)
    return tl::unexpected<Error>(Request.error());
  EventBase Base(event_base_new());
  HttpClientConfig Config;
  Config.MaxBodyBytes_ = MaxResponseBytes;
  Config.Tls_.Ca_ = Settings.DaemonCa_;
  auto Client = HttpClient::create(Base.get(), Config);
  if (!Client)
    return tl::unexpected<Error>(Client.error());
  std::optional<HttpResponse> Response;
  (*Client)->send(Settings.Daemon_, *Request, [&](HttpResponse Completed) {
    Response = std::move(Completed);
    event_base_loopbreak(Base.get());
  });
  // The request's deadline ends the call 1 s before this limit.
  runLoopFor(Base.get(), Timeout + seconds(1));
  return toAdminResponse(Settings, Response.value_or(HttpResponse{}));
}

} // namespace

CliEnvironment networkEnvironment(std::ostream &Out, std::ostream &Err) {
  return CliEnvironment{Out, Err, wallNow, connectStore, callDaemon};
}

} // namespace sycamore
