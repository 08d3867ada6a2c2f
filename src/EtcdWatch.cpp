// A watch over the etcd v3 JSON gateway.
#include "EtcdWatch.h"

#include "EtcdCodec.h"
#include "HttpSupport.h"
#include "sycamore/Clock.h"

#include <utility>

namespace sycamore {
namespace {

/// A line may hold one value of the largest size in base64; the limit is at
/// least twice that.
constexpr std::size_t MaxLineBytes = 4 * MaxStoreValueBytes;

/// A watch stream ends at the idle timeout, not at a deadline.
constexpr Duration NoDeadline = std::chrono::hours(24 * 365);

Error watchError(std::string Message) {
  return {ErrorKind::Unavailable, "watch: " + std::move(Message),
          "start a new watch, and read the key meanwhile"};
}

} // namespace

EtcdWatch::EtcdWatch(event_base *Base, Duration IdleTimeout,
                     EtcdWatchCallbacks Callbacks)
    : Callbacks_(std::move(Callbacks)), IdleTimeout_(IdleTimeout),
      Timer_(evtimer_new(Base, onTimer, this)) {}

EtcdWatch::~EtcdWatch() { event_free(Timer_); }

void EtcdWatch::start(HttpClient &Client, const std::string &Endpoint,
                      std::string Request) {
  HttpClientRequest Out;
  Out.Method_ = "POST";
  Out.Path_ = "/v3/watch";
  Out.Headers_ = {{"Content-Type", "application/json"}};
  Out.Body_ = std::move(Request);
  Out.Deadline_ = NoDeadline;
  std::weak_ptr<EtcdWatch> Weak = weak_from_this();
  Out.OnBodyPart_ = [Weak](std::string_view Part) {
    if (auto This = Weak.lock())
      This->onBodyPart(Part);
  };
  armTimer(IdleTimeout_);
  Call_ = Client.send(Endpoint, std::move(Out),
                      [Weak](const HttpResponse &Response) {
                        if (auto This = Weak.lock())
                          This->onEnd(Response);
                      });
}

void EtcdWatch::armTimer(Duration Wait) {
  timeval Value = toTimeval(Wait);
  evtimer_add(Timer_, &Value);
}

void EtcdWatch::failAsync(Error Failure) {
  PendingFailure_ = std::make_unique<Error>(std::move(Failure));
  armTimer(Duration(0));
}

void EtcdWatch::stop() {
  Stopped_ = true;
  evtimer_del(Timer_);
  if (auto Call = std::exchange(Call_, nullptr))
    Call->cancel();
}

void EtcdWatch::failWith(const Error &Failure) {
  if (Stopped_)
    return;
  std::shared_ptr<EtcdWatch> KeepSelf = shared_from_this();
  stop();
  Callbacks_.OnFailure_(Failure);
}

void EtcdWatch::onTimer(evutil_socket_t /*Socket*/, short /*Events*/,
                        void *Self) {
  auto This = static_cast<EtcdWatch *>(Self)->shared_from_this();
  if (This->PendingFailure_)
    This->failWith(*This->PendingFailure_);
  else
    This->failWith(
        watchError("no data received for " +
                   std::to_string(toMilliseconds(This->IdleTimeout_)) + " ms"));
}

void EtcdWatch::onEnd(const HttpResponse &Response) {
  Call_ = nullptr;
  std::string Reason = Response.Outcome_ == HttpOutcome::Answered
                           ? "the store ended the watch with status " +
                                 std::to_string(Response.Status_)
                           : Response.Reason_;
  failWith(watchError(std::move(Reason)));
}

void EtcdWatch::onBodyPart(std::string_view Part) {
  if (Stopped_)
    return;
  armTimer(IdleTimeout_);
  AnsweredAt_ = monotonicNow();
  PartialLine_ += Part;
  std::string Lines = std::exchange(PartialLine_, {});
  std::size_t Start = 0;
  for (std::size_t End = 0;
       !Stopped_ && (End = Lines.find('\n', Start)) != std::string::npos;
       Start = End + 1)
    onLine(std::string_view(Lines).substr(Start, End - Start));
  if (Stopped_)
    return;
  PartialLine_ = Lines.substr(Start);
  if (PartialLine_.size() > MaxLineBytes)
    failWith(watchError("a line exceeds the size limit"));
}

void EtcdWatch::onLine(std::string_view Line) {
  if (Line.find_first_not_of(" \t\r") == std::string_view::npos)
    return;
  auto Parsed = parseWatchLine(Line);
  if (!Parsed) {
    failWith(watchError(Parsed.error().Message_));
    return;
  }
  for (const KeyValue &Change : Parsed->Changes_) {
    if (Stopped_)
      return;
    Callbacks_.OnChange_(Change);
  }
  if (Parsed->Cancelled_)
    failWith(watchError("cancelled by the store: " + Parsed->CancelReason_));
}

} // namespace sycamore
