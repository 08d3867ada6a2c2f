// Store over the JSON gateway of the etcd v3 protocol.
#include "sycamore/EtcdStore.h"

#include "CallBudget.h"
#include "EtcdCodec.h"
#include "EtcdWatch.h"
#include "sycamore/Clock.h"
#include "sycamore/HttpClient.h"

#include <algorithm>

namespace sycamore {
namespace {

/// Each watch uses a connection of its own; a process watches only a few keys.
constexpr std::size_t MaxWatchesPerEndpoint = 256;

constexpr std::size_t MaxAnswerBytes = 64U << 20U;

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
  TimePoint DeadlineAt_;
  std::size_t TriesLeft_ = 0;
  std::size_t Endpoint_ = 0;
  std::function<void(Result<std::string>)> Done_;
};

using EtcdCallPointer = std::shared_ptr<EtcdCall>;

Error unavailable(const EtcdCall &Call, const std::string &Why) {
  return {ErrorKind::Unavailable, "store: " + Call.Kind_ + ": " + Why,
          "try again later; the call did not take effect"};
}

Error unknownOutcome(const EtcdCall &Call, const std::string &Why) {
  return {ErrorKind::OutcomeUnknown, "store: " + Call.Kind_ + ": " + Why,
          "read back to see whether the call took effect"};
}

Error failureOf(const EtcdCall &Call, const std::string &Why) {
  return Call.IsRead_ ? unavailable(Call, Why) : unknownOutcome(Call, Why);
}

/// Whether the store refused the call before applying any of it. After other
/// errors, such as a timeout inside the store, a write may have taken effect.
bool refusedBeforeEffect(int Status, std::int64_t Code) {
  return Status == StatusTooManyRequests || Code == CodeInvalidArgument ||
         Code == CodeNotFound || Code == CodePermissionDenied ||
         Code == CodeResourceExhausted || Code == CodeFailedPrecondition ||
         Code == CodeUnauthenticated;
}

Error errorOf(const EtcdCall &Call, const HttpAnswer &Answer) {
  GatewayError Detail = parseErrorAnswer(Answer.Body_);
  std::string Why =
      "status " + std::to_string(Answer.Status_) + " " + Detail.Message_;
  if (!refusedBeforeEffect(Answer.Status_, Detail.Code_))
    return failureOf(Call, Why);
  Error Out = unavailable(Call, Why);
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

std::string_view outcomeName(const Result<std::string> &Answer) {
  if (Answer)
    return "done";
  return Answer.error().Kind_ == ErrorKind::OutcomeUnknown ? "unknown"
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
        std::function<void(const KeyValue &)> Changed,
        std::function<void(const Error &)> Failed) override;

private:
  template <typename T, typename Parser>
  void run(EtcdCall Call, Duration Deadline, Parser Parse,
           StoreCallback<T> Done);
  void attempt(const EtcdCallPointer &Call);
  void onAnswer(const EtcdCallPointer &Call, HttpAnswer Answer);
  void finish(const EtcdCallPointer &Call, Result<std::string> Answer);
  bool canRetry(const EtcdCall &Call, const HttpAnswer &Answer) const;
  void count(const std::string &Kind, std::string_view Outcome);
  std::optional<Error> admissionError(const EtcdCall &Call);

  event_base *Base_;
  EtcdStoreConfig Config_;
  std::shared_ptr<StoreCounters> Counters_;
  CallBudget Budget_;
  std::unique_ptr<HttpClient> Client_;
  std::unique_ptr<HttpClient> WatchClient_;
  std::optional<Error> SetupError_;
  std::size_t Preferred_ = 0; ///< Endpoint of the latest response.
  std::shared_ptr<std::size_t> WatchFailures_ =
      std::make_shared<std::size_t>(0);
};

HttpClientConfig clientConfig(const EtcdStoreConfig &Config) {
  HttpClientConfig Out;
  Out.ConnectionsPerAddress_ = 8;
  Out.MaxBodyBytes_ = MaxAnswerBytes;
  Out.ConnectTimeout_ = Config.ConnectTimeout_;
  Out.Tls_ = Config.Tls_;
  return Out;
}

EtcdStore::EtcdStore(event_base *Base, const EtcdStoreConfig &Config)
    : Base_(Base), Config_(Config),
      Counters_(Config.Counters_ ? Config.Counters_
                                 : std::make_shared<StoreCounters>()),
      Budget_(Config.CallsPerSecond_, monotonicNow()) {
  HttpClientConfig ForCalls = clientConfig(Config);
  HttpClientConfig ForWatches = ForCalls;
  ForWatches.ConnectionsPerAddress_ = MaxWatchesPerEndpoint;
  auto Calls = HttpClient::create(Base, ForCalls);
  auto Watches = HttpClient::create(Base, ForWatches);
  if (!Calls || !Watches) {
    SetupError_ = Calls ? Watches.error() : Calls.error();
    return;
  }
  Client_ = std::move(*Calls);
  WatchClient_ = std::move(*Watches);
  if (Config_.Endpoints_.empty())
    SetupError_ = Error{ErrorKind::InvalidSettings, "store: no endpoint is set",
                        "name the store's addresses in the settings"};
}

void EtcdStore::count(const std::string &Kind, std::string_view Outcome) {
  ++Counters_->Calls_[Kind][std::string(Outcome)];
}

std::optional<Error> EtcdStore::admissionError(const EtcdCall &Call) {
  if (SetupError_)
    return SetupError_;
  if (Budget_.take(monotonicNow()))
    return std::nullopt;
  count(Call.Kind_, "over-budget");
  return unavailable(Call, "over this process's budget of " +
                               Json(Config_.CallsPerSecond_).dump() +
                               " store calls a second");
}

void EtcdStore::finish(const EtcdCallPointer &Call,
                       Result<std::string> Answer) {
  count(Call->Kind_, outcomeName(Answer));
  Call->Done_(std::move(Answer));
}

void EtcdStore::attempt(const EtcdCallPointer &Call) {
  if (auto Refusal = admissionError(*Call)) {
    Call->Done_(tl::unexpected(std::move(*Refusal)));
    return;
  }
  HttpClientRequest Request;
  Request.Method_ = "POST";
  Request.Path_ = Call->Path_;
  Request.Headers_ = {{"Content-Type", "application/json"}};
  Request.Body_ = Call->Body_;
  Duration Left = Call->DeadlineAt_ - monotonicNow();
  // Leaves time to retry a read at the remaining endpoints.
  if (Call->IsRead_)
    Left /= static_cast<Duration::rep>(Call->TriesLeft_);
  Request.Deadline_ = Left;
  --Call->TriesLeft_;
  ++Counters_->Sent_;
  Client_->send(
      Config_.Endpoints_[Call->Endpoint_], std::move(Request),
      [this, Call](HttpAnswer Answer) { onAnswer(Call, std::move(Answer)); });
}

bool EtcdStore::canRetry(const EtcdCall &Call, const HttpAnswer &Answer) const {
  return Call.TriesLeft_ > 0 && (!Answer.Sent_ || Call.IsRead_) &&
         monotonicNow() < Call.DeadlineAt_;
}

void EtcdStore::onAnswer(const EtcdCallPointer &Call, HttpAnswer Answer) {
  if (Answer.Outcome_ == HttpOutcome::Answered) {
    Preferred_ = Call->Endpoint_;
    if (Answer.Status_ == 200)
      finish(Call, std::move(Answer.Body_));
    else
      finish(Call, tl::unexpected(errorOf(*Call, Answer)));
    return;
  }
  if (canRetry(*Call, Answer)) {
    Call->Endpoint_ = (Call->Endpoint_ + 1) % Config_.Endpoints_.size();
    attempt(Call);
    return;
  }
  std::string Why = Config_.Endpoints_[Call->Endpoint_] + ": " + Answer.Reason_;
  finish(Call, tl::unexpected(Answer.Sent_ ? failureOf(*Call, Why)
                                           : unavailable(*Call, Why)));
}

template <typename T, typename Parser>
void EtcdStore::run(EtcdCall Call, Duration Deadline, Parser Parse,
                    StoreCallback<T> Done) {
  auto Shared = std::make_shared<EtcdCall>(std::move(Call));
  Shared->DeadlineAt_ = monotonicNow() + Deadline;
  Shared->TriesLeft_ = std::max<std::size_t>(Config_.Endpoints_.size(), 1);
  Shared->Endpoint_ = Preferred_;
  // The call owns this callback: capturing the call would be a reference cycle.
  Shared->Done_ = [Parse = std::move(Parse), Done = std::move(Done),
                   Kind = Shared->Kind_,
                   IsRead = Shared->IsRead_](Result<std::string> Answer) {
    if (!Answer) {
      Done(tl::unexpected(std::move(Answer.error())));
      return;
    }
    Result<T> Parsed = Parse(*Answer);
    if (!Parsed && !IsRead)
      Parsed = fail(ErrorKind::OutcomeUnknown,
                    "store: " + Kind + ": " + Parsed.error().Message_,
                    "read back to see whether the call took effect");
    Done(std::move(Parsed));
  };
  attempt(Shared);
}

void EtcdStore::range(const RangeRequest &Request, Duration Deadline,
                      StoreCallback<RangeResult> Done) {
  EtcdCall Call;
  Call.Kind_ = "range";
  Call.Path_ = "/v3/kv/range";
  Call.Body_ = encodeRange(Request).dump();
  Call.IsRead_ = true;
  run(std::move(Call), Deadline, parseRangeAnswer, std::move(Done));
}

void EtcdStore::txn(const Txn &Request, Duration Deadline,
                    StoreCallback<TxnResult> Done) {
  EtcdCall Call;
  Call.Kind_ = "txn";
  Call.Path_ = "/v3/kv/txn";
  Call.Body_ = encodeTxn(Request).dump();
  Call.IsRead_ = Request.Puts_.empty() && Request.Deletes_.empty();
  std::size_t Reads = Request.Reads_.size();
  run(
      std::move(Call), Deadline,
      [Reads](std::string_view Text) { return parseTxnAnswer(Text, Reads); },
      std::move(Done));
}

void EtcdStore::grantLease(seconds Ttl, Duration Deadline,
                           StoreCallback<Lease> Done) {
  EtcdCall Call;
  Call.Kind_ = "lease-grant";
  Call.Path_ = "/v3/lease/grant";
  Call.Body_ = Json{{"TTL", std::to_string(Ttl.count())}}.dump();
  run(std::move(Call), Deadline, parseLeaseGrantAnswer, std::move(Done));
}

void EtcdStore::keepLeaseAlive(std::int64_t Id, Duration Deadline,
                               StoreCallback<Lease> Done) {
  EtcdCall Call;
  Call.Kind_ = "lease-keep-alive";
  Call.Path_ = "/v3/lease/keepalive";
  Call.Body_ = Json{{"ID", std::to_string(Id)}}.dump();
  run(
      std::move(Call), Deadline,
      [Id](std::string_view Text) -> Result<Lease> {
        auto Parsed = parseKeepAliveAnswer(Text);
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
  run(
      std::move(Call), Deadline,
      [](std::string_view) -> Result<bool> { return true; },
      StoreCallback<bool>([Done = std::move(Done)](Result<bool> Answer) {
        if (!Answer && Answer.error().Kind_ == ErrorKind::NotFound)
          Answer = false;
        Done(std::move(Answer));
      }));
}

std::unique_ptr<WatchHandle>
EtcdStore::watch(const std::string &Key, std::int64_t FromRevision,
                 std::function<void(const KeyValue &)> Changed,
                 std::function<void(const Error &)> Failed) {
  EtcdCall Call;
  Call.Kind_ = "watch";
  auto Refusal = admissionError(Call);
  if (!Refusal) {
    ++Counters_->Sent_;
    count("watch", "done");
    // After a failure, the next watch uses the next endpoint. The counters are
    // shared, because a watch may outlive the store.
    Failed = [Counters = Counters_, Failures = WatchFailures_,
              Inner = std::move(Failed)](const Error &Why) {
      ++Counters->Calls_["watch"]["not-done"];
      ++*Failures;
      Inner(Why);
    };
  }
  auto Watch = std::make_shared<EtcdWatch>(
      Base_, Config_.WatchSilence_,
      EtcdWatchCallbacks{std::move(Changed), std::move(Failed)});
  if (Refusal)
    Watch->failSoon(std::move(*Refusal));
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
