// Store over the JSON gateway of the etcd v3 protocol.
#include "sycamore/EtcdStore.h"

#include "CallBudget.h"
#include "EtcdCodec.h"
#include "EtcdWatch.h"
#include "StoreHistory.h"
#include "sycamore/Clock.h"
#include "sycamore/HttpClient.h"

#include <algorithm>

namespace sycamore {
namespace {

/// Each watch uses a connection of its own; a process watches only a few keys.
constexpr std::size_t MaxWatchesPerEndpoint = 256;

constexpr std::size_t MaxResponseBytes = 64U << 20U;

/// gRPC status codes in the gateway's error responses.
enum GatewayCode : std::int64_t {
  CodeInvalidArgument = 3,
  CodeNotFound = 5,
  CodePermissionDenied = 7,
  CodeResourceExhausted = 8,
  CodeFailedPrecondition = 9,
  CodeUnauthenticated = 16,
};

constexpr int StatusTooManyRequests = 429;

struct EtcdCall {
  std::string Kind_;
  std::string Path_;
  std::string Body_;
  bool IsRead_ = false;
  /// Whether answers state the revision of the store, not that of one member.
  bool StatesRevision_ = false;
  TimePoint DeadlineAt_;
  std::size_t AttemptsLeft_ = 0;
  std::size_t Endpoint_ = 0;
  std::function<void(Result<std::string>)> Done_;
};

using EtcdCallPointer = std::shared_ptr<EtcdCall>;

Error unavailableError(const EtcdCall &Call, const std::string &Why) {
  return {ErrorKind::Unavailable, "store: " + Call.Kind_ + ": " + Why,
          "try again later; the call did not take effect"};
}

Error unknownOutcomeError(const EtcdCall &Call, const std::string &Why) {
  return {ErrorKind::OutcomeUnknown, "store: " + Call.Kind_ + ": " + Why,
          "read back to see whether the call took effect"};
}

Error errorAfterSending(const EtcdCall &Call, const std::string &Why) {
  return Call.IsRead_ ? unavailableError(Call, Why)
                      : unknownOutcomeError(Call, Why);
}

/// Whether the store refused the call before applying any of it. After other
/// errors, such as a timeout inside the store, a write may have taken effect.
bool refusedBeforeEffect(int Status, std::int64_t Code) {
  return Status == StatusTooManyRequests || Code == CodeInvalidArgument ||
         Code == CodeNotFound || Code == CodePermissionDenied ||
         Code == CodeResourceExhausted || Code == CodeFailedPrecondition ||
         Code == CodeUnauthenticated;
}

Error errorFromResponse(const EtcdCall &Call, const HttpResponse &Response) {
  GatewayError Detail = parseErrorResponse(Response.Body_);
  std::string Why =
      "status " + std::to_string(Response.Status_) + " " + Detail.Message_;
  if (!refusedBeforeEffect(Response.Status_, Detail.Code_))
    return errorAfterSending(Call, Why);
  Error Out = unavailableError(Call, Why);
  if (Detail.Code_ == CodeNotFound)
    Out = {ErrorKind::NotFound, Out.Message_, "grant a new lease"};
  else if (Detail.Code_ == CodeInvalidArgument)
    Out = {ErrorKind::InvalidArgument, Out.Message_, "correct the request"};
  else if (Detail.Code_ == CodePermissionDenied ||
           Detail.Code_ == CodeUnauthenticated)
    Out = {ErrorKind::PermissionDenied, Out.Message_,
           "check the store's certificate settings"};
  return Out;
}

std::string_view outcomeName(const Result<std::string> &Response) {
  if (Response)
    return "done";
  return Response.error().Kind_ == ErrorKind::OutcomeUnknown ? "unknown"
                                                             : "not-done";
}

class EtcdStore : public Store {
public:
  EtcdStore(event_base *Base, const EtcdStoreConfig &Config);

  void range(const RangeRequest &Request, Duration Deadline,
             StoreCallback<RangeResult> Done) override;
  void txn(const Txn &Request, Duration Deadline,
           StoreCallback<TxnResult> Done) override;
  void grantLease(seconds Ttl, Duration Deadline,
                  StoreCallback<Lease> Done) override;
  void keepLeaseAlive(std::int64_t Id, Duration Deadline,
                      StoreCallback<Lease> Done) override;
  void revokeLease(std::int64_t Id, Duration Deadline,
                   StoreCallback<bool> Done) override;
  std::unique_ptr<WatchHandle>
  watch(const std::string &Key, std::int64_t FromRevision,
        std::function<void(const KeyValue &)> OnChange,
        std::function<void(const Error &)> OnFailure) override;

private:
  template <typename T, typename Parser>
  void startCall(EtcdCall Call, Duration Deadline, Parser Parse,
                 StoreCallback<T> Done);
  void sendAttempt(const EtcdCallPointer &Call);
  void onResponse(const EtcdCallPointer &Call, HttpResponse Response);
  void completeCall(const EtcdCallPointer &Call, Result<std::string> Response);
  bool canRetry(const EtcdCall &Call, const HttpResponse &Response) const;
  void countOutcome(const std::string &Kind, std::string_view Outcome);
  /// Whether the answer was given before a restoration that is known.
  bool recordHeader(const HistoryMark &Sent, const AnswerHeader &Header,
                    bool StatesRevision);
  std::optional<Error> admissionError(const EtcdCall &Call);

  event_base *Base_;
  EtcdStoreConfig Config_;
  std::shared_ptr<StoreCounters> Counters_;
  CallBudget Budget_;
  StoreHistory History_;
  std::unique_ptr<HttpClient> Client_;
  std::unique_ptr<HttpClient> WatchClient_;
  std::optional<Error> SetupError_;
  std::size_t PreferredEndpoint_ = 0; ///< Endpoint of the latest response.
  std::shared_ptr<std::size_t> WatchFailures_ =
      std::make_shared<std::size_t>(0);
};

HttpClientConfig clientConfig(const EtcdStoreConfig &Config) {
  HttpClientConfig Out;
  Out.ConnectionsPerAddress_ = 8;
  Out.MaxBodyBytes_ = MaxResponseBytes;
  Out.ConnectTimeout_ = Config.ConnectTimeout_;
  Out.Tls_ = Config.Tls_;
  return Out;
}

EtcdStore::EtcdStore(event_base *Base, const EtcdStoreConfig &Config)
    : Base_(Base), Config_(Config),
      Counters_(Config.Counters_ ? Config.Counters_
                                 : std::make_shared<StoreCounters>()),
      Budget_(Config.CallsPerSecond_, monotonicNow()) {
  HttpClientConfig CallConfig = clientConfig(Config);
  HttpClientConfig WatchConfig = CallConfig;
  WatchConfig.ConnectionsPerAddress_ = MaxWatchesPerEndpoint;
  auto CallClient = HttpClient::create(Base, CallConfig);
  auto WatchClient = HttpClient::create(Base, WatchConfig);
  if (!CallClient || !WatchClient) {
    SetupError_ = CallClient ? WatchClient.error() : CallClient.error();
    return;
  }
  Client_ = std::move(*CallClient);
  WatchClient_ = std::move(*WatchClient);
  if (Config_.Endpoints_.empty())
    SetupError_ = Error{ErrorKind::InvalidSettings, "store: no endpoint is set",
                        "name the store's addresses in the settings"};
}

void EtcdStore::countOutcome(const std::string &Kind,
                             std::string_view Outcome) {
  ++Counters_->Calls_[Kind][std::string(Outcome)];
}

std::optional<Error> EtcdStore::admissionError(const EtcdCall &Call) {
  if (SetupError_)
    return SetupError_;
  if (Budget_.tryAcquire(monotonicNow()))
    return std::nullopt;
  countOutcome(Call.Kind_, "over-budget");
  return unavailableError(Call, "over this process's budget of " +
                                    Json(Config_.CallsPerSecond_).dump() +
                                    " store calls a second");
}

void EtcdStore::completeCall(const EtcdCallPointer &Call,
                             Result<std::string> Response) {
  countOutcome(Call->Kind_, outcomeName(Response));
  Call->Done_(std::move(Response));
}

void EtcdStore::sendAttempt(const EtcdCallPointer &Call) {
  if (auto AdmissionFailure = admissionError(*Call)) {
    Call->Done_(tl::unexpected(std::move(*AdmissionFailure)));
    return;
  }
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = Call->Path_;
  Request.Headers_ = {{"Content-Type", "application/json"}};
  Request.Body_ = Call->Body_;
  Duration RemainingTime = Call->DeadlineAt_ - monotonicNow();
  // Leaves time to retry a read at the remaining endpoints.
  if (Call->IsRead_)
    RemainingTime /= static_cast<Duration::rep>(Call->AttemptsLeft_);
  Request.Deadline_ = RemainingTime;
  --Call->AttemptsLeft_;
  ++Counters_->RequestsSent_;
  Client_->send(Config_.Endpoints_[Call->Endpoint_], std::move(Request),
                [this, Call](HttpResponse Response) {
                  onResponse(Call, std::move(Response));
                });
}

bool EtcdStore::canRetry(const EtcdCall &Call,
                         const HttpResponse &Response) const {
  return Call.AttemptsLeft_ > 0 && (!Response.Sent_ || Call.IsRead_) &&
         monotonicNow() < Call.DeadlineAt_;
}

void EtcdStore::onResponse(const EtcdCallPointer &Call, HttpResponse Response) {
  if (Response.Outcome_ == HttpOutcome::Answered) {
    PreferredEndpoint_ = Call->Endpoint_;
    if (Response.Status_ == 200)
      completeCall(Call, std::move(Response.Body_));
    else
      completeCall(Call, tl::unexpected(errorFromResponse(*Call, Response)));
    return;
  }
  if (canRetry(*Call, Response)) {
    Call->Endpoint_ = (Call->Endpoint_ + 1) % Config_.Endpoints_.size();
    sendAttempt(Call);
    return;
  }
  std::string Why =
      Config_.Endpoints_[Call->Endpoint_] + ": " + Response.Reason_;
  completeCall(Call,
               tl::unexpected(Response.Sent_ ? errorAfterSending(*Call, Why)
                                             : unavailableError(*Call, Why)));
}

bool EtcdStore::recordHeader(const HistoryMark &Sent,
                             const AnswerHeader &Header, bool StatesRevision) {
  std::int64_t Before = History_.Revision_;
  AnswerAge Age = recordAnswer(History_, Sent, Header.ClusterId_,
                               StatesRevision ? Header.Revision_ : 0);
  if (Age == AnswerAge::Restored && OnRestored_)
    OnRestored_({History_.Identity_, Before});
  return Age == AnswerAge::Outdated;
}

template <typename T, typename Parser>
void EtcdStore::startCall(EtcdCall Call, Duration Deadline, Parser Parse,
                          StoreCallback<T> Done) {
  auto SharedCall = std::make_shared<EtcdCall>(std::move(Call));
  SharedCall->DeadlineAt_ = monotonicNow() + Deadline;
  SharedCall->AttemptsLeft_ =
      std::max<std::size_t>(Config_.Endpoints_.size(), 1);
  SharedCall->Endpoint_ = PreferredEndpoint_;
  // The call owns this callback: capturing the call would be a reference cycle.
  SharedCall->Done_ = [this, Parse = std::move(Parse), Done = std::move(Done),
                       Kind = SharedCall->Kind_, IsRead = SharedCall->IsRead_,
                       StatesRevision = SharedCall->StatesRevision_,
                       Sent = markHistory(History_)](
                          Result<std::string> Response) {
    if (!Response) {
      Done(tl::unexpected(std::move(Response.error())));
      return;
    }
    AnswerHeader Header;
    Result<T> Parsed = Parse(*Response, &Header);
    if (Parsed && recordHeader(Sent, Header, StatesRevision))
      Parsed =
          fail(ErrorKind::Unavailable,
               "store: " + Kind + ": answered before the store was restored",
               "try again");
    if (!Parsed && !IsRead)
      Parsed = fail(ErrorKind::OutcomeUnknown,
                    "store: " + Kind + ": " + Parsed.error().Message_,
                    "read back to see whether the call took effect");
    Done(std::move(Parsed));
  };
  sendAttempt(SharedCall);
}

void EtcdStore::range(const RangeRequest &Request, Duration Deadline,
                      StoreCallback<RangeResult> Done) {
  EtcdCall Call;
  Call.Kind_ = "range";
  Call.Path_ = "/v3/kv/range";
  Call.Body_ = encodeRange(Request).dump();
  Call.IsRead_ = true;
  Call.StatesRevision_ = true;
  startCall(std::move(Call), Deadline, parseRangeResponse, std::move(Done));
}

void EtcdStore::txn(const Txn &Request, Duration Deadline,
                    StoreCallback<TxnResult> Done) {
  EtcdCall Call;
  Call.Kind_ = "txn";
  Call.Path_ = "/v3/kv/txn";
  Call.Body_ = encodeTxn(Request).dump();
  Call.IsRead_ = Request.Puts_.empty() && Request.Deletes_.empty();
  Call.StatesRevision_ = true;
  std::size_t Reads = Request.Reads_.size();
  startCall(
      std::move(Call), Deadline,
      [Reads](std::string_view Text, AnswerHeader *Header) {
        return parseTxnResponse(Text, Reads, Header);
      },
      std::move(Done));
}

void EtcdStore::grantLease(seconds Ttl, Duration Deadline,
                           StoreCallback<Lease> Done) {
  EtcdCall Call;
  Call.Kind_ = "lease-grant";
  Call.Path_ = "/v3/lease/grant";
  Call.Body_ = Json{{"TTL", std::to_string(Ttl.count())}}.dump();
  startCall(std::move(Call), Deadline, parseLeaseGrantResponse,
            std::move(Done));
}

void EtcdStore::keepLeaseAlive(std::int64_t Id, Duration Deadline,
                               StoreCallback<Lease> Done) {
  EtcdCall Call;
  Call.Kind_ = "lease-keep-alive";
  Call.Path_ = "/v3/lease/keepalive";
  Call.Body_ = Json{{"ID", std::to_string(Id)}}.dump();
  startCall(
      std::move(Call), Deadline,
      [Id](std::string_view Text, AnswerHeader *Header) -> Result<Lease> {
        auto Parsed = parseKeepAliveResponse(Text, Header);
        if (Parsed && Parsed->Id_ != Id)
          return fail(ErrorKind::InvalidData,
                      "keep-alive: the answer is for another lease",
                      "check the store");
        return Parsed;
      },
      std::move(Done));
}

void EtcdStore::revokeLease(std::int64_t Id, Duration Deadline,
                            StoreCallback<bool> Done) {
  EtcdCall Call;
  Call.Kind_ = "lease-revoke";
  Call.Path_ = "/v3/lease/revoke";
  Call.Body_ = Json{{"ID", std::to_string(Id)}}.dump();
  startCall(
      std::move(Call), Deadline,
      [](std::string_view, AnswerHeader *) -> Result<bool> { return true; },
      StoreCallback<bool>([Done = std::move(Done)](Result<bool> Revoked) {
        if (!Revoked && Revoked.error().Kind_ == ErrorKind::NotFound)
          Revoked = false;
        Done(std::move(Revoked));
      }));
}

std::unique_ptr<WatchHandle>
EtcdStore::watch(const std::string &Key, std::int64_t FromRevision,
                 std::function<void(const KeyValue &)> OnChange,
                 std::function<void(const Error &)> OnFailure) {
  EtcdCall Call;
  Call.Kind_ = "watch";
  auto AdmissionFailure = admissionError(Call);
  if (!AdmissionFailure) {
    ++Counters_->RequestsSent_;
    countOutcome("watch", "done");
    // After a failure, the next watch uses the next endpoint. The counters are
    // shared, because a watch may outlive the store.
    OnFailure = [Counters = Counters_, Failures = WatchFailures_,
                 Inner = std::move(OnFailure)](const Error &Why) {
      ++Counters->Calls_["watch"]["not-done"];
      ++*Failures;
      Inner(Why);
    };
  }
  auto Watch = std::make_shared<EtcdWatch>(
      Base_, Config_.WatchIdleTimeout_,
      EtcdWatchCallbacks{std::move(OnChange), std::move(OnFailure)});
  if (AdmissionFailure)
    Watch->failAsync(std::move(*AdmissionFailure));
  else
    Watch->start(
        *WatchClient_,
        Config_.Endpoints_[*WatchFailures_ % Config_.Endpoints_.size()],
        encodeWatch(Key, FromRevision).dump());
  return std::make_unique<EtcdWatchHandle>(std::move(Watch));
}

} // namespace

std::unique_ptr<Store> makeEtcdStore(event_base *Base,
                                     const EtcdStoreConfig &Config) {
  return std::make_unique<EtcdStore>(Base, Config);
}

} // namespace sycamore
