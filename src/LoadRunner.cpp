// Sends a scenario's requests at their intended times.
#include "LoadRunner.h"

#include "HttpSupport.h"
#include "LoadPlan.h"
#include "sycamore/Clock.h"

#include <event2/event.h>
#include <map>
#include <ostream>

namespace sycamore {
namespace {

/// High enough that requests wait for a connection until their timeout passes
/// instead of being refused by the client.
constexpr std::size_t MaxQueued = 1'000'000;

struct PendingRequest {
  LoadArrival Arrival_;
  std::uint64_t Number_ = 0;
  std::string IdempotencyKey_;
  std::string Body_;
  std::uint64_t Attempts_ = 0;
  std::size_t Address_ = 0;
  bool MayHaveRun_ = false; ///< An earlier attempt had an unknown outcome.
};

using PendingPointer = std::shared_ptr<PendingRequest>;

class Runner {
public:
  Runner(event_base *Base, const LoadScenario &Scenario,
         std::unique_ptr<HttpClient> Client, std::ostream *History);
  Runner(const Runner &) = delete;
  Runner &operator=(const Runner &) = delete;
  ~Runner() { event_free(Timer_); }

  LoadResult run();

private:
  const LoadRequest &requestOf(const PendingRequest &Pending) const {
    return Scenario_.Requests_[Pending.Arrival_.Request_];
  }
  Duration elapsed() const { return monotonicNow() - Start_; }
  LoadSlice &sliceAt(Duration At);
  void sendDueRequests();
  void startRequest(const LoadArrival &Arrival);
  void send(const PendingPointer &Pending);
  HttpClientRequest makeRequest(const PendingRequest &Pending) const;
  void onResponse(const PendingPointer &Pending, const HttpResponse &Response);
  void resendLater(const PendingPointer &Pending);
  void recordOutcome(const PendingRequest &Pending,
                     const HttpResponse &Response, LoadOutcome Outcome);
  void writeHistory(const PendingRequest &Pending, const HttpResponse &Response,
                    LoadOutcome Outcome, Duration Latency);
  void armTimer();
  static void onTimer(evutil_socket_t Socket, short Events, void *Self);

  event_base *Base_;
  const LoadScenario &Scenario_;
  std::unique_ptr<HttpClient> Client_;
  std::ostream *History_;
  LoadPlan Plan_;
  Random Rng_;
  std::optional<LoadArrival> Next_;
  std::multimap<Duration, PendingPointer> ScheduledResends_;
  TimePoint Start_;
  event *Timer_;
  LoadResult Result_;
  std::uint64_t StartedCount_ = 0;
  std::uint64_t OutstandingCount_ = 0;
};

Runner::Runner(event_base *Base, const LoadScenario &Scenario,
               std::unique_ptr<HttpClient> Client, std::ostream *History)
    : Base_(Base), Scenario_(Scenario), Client_(std::move(Client)),
      History_(History), Plan_(Scenario), Rng_(Scenario.Seed_ + 1),
      Timer_(evtimer_new(Base, onTimer, this)),
      Result_(makeLoadResult(Scenario)) {}

LoadResult Runner::run() {
  Next_ = Plan_.next();
  Start_ = monotonicNow();
  armTimer();
  while (Next_ || OutstandingCount_ > 0)
    event_base_loop(Base_, EVLOOP_ONCE);
  return std::move(Result_);
}

LoadSlice &Runner::sliceAt(Duration At) {
  auto Index = static_cast<std::size_t>(At / Result_.SliceLength_);
  if (Index >= Result_.Slices_.size())
    Result_.Slices_.resize(Index + 1);
  return Result_.Slices_[Index];
}

void Runner::armTimer() {
  Duration Due = Duration::max();
  if (Next_)
    Due = Next_->At_;
  if (!ScheduledResends_.empty())
    Due = std::min(Due, ScheduledResends_.begin()->first);
  if (Due == Duration::max())
    return;
  timeval Wait = toTimeval(Due - elapsed());
  evtimer_add(Timer_, &Wait);
}

void Runner::onTimer(evutil_socket_t /*Socket*/, short /*Events*/, void *Self) {
  static_cast<Runner *>(Self)->sendDueRequests();
}

void Runner::sendDueRequests() {
  Duration Now = elapsed();
  while (Next_ && Next_->At_ <= Now) {
    startRequest(*Next_);
    Next_ = Plan_.next();
  }
  while (!ScheduledResends_.empty() &&
         ScheduledResends_.begin()->first <= Now) {
    PendingPointer Pending = ScheduledResends_.begin()->second;
    ScheduledResends_.erase(ScheduledResends_.begin());
    send(Pending);
  }
  armTimer();
}

void Runner::startRequest(const LoadArrival &Arrival) {
  auto Pending = std::make_shared<PendingRequest>();
  Pending->Arrival_ = Arrival;
  Pending->Number_ = ++StartedCount_;
  Pending->Address_ = StartedCount_ % Scenario_.Addresses_.size();
  const LoadRequest &Request = requestOf(*Pending);
  Pending->Body_.resize(Request.BodyBytes_);
  for (char &Byte : Pending->Body_)
    Byte = static_cast<char>(Rng_());
  if (Request.AddIdempotencyKey_)
    Pending->IdempotencyKey_ = uuidV7(wallNow(), Rng_);
  ++OutstandingCount_;
  ++sliceAt(Arrival.At_).Offered_;
  Result_.SendDelay_.add(elapsed() - Arrival.At_);
  send(Pending);
}

HttpClientRequest Runner::makeRequest(const PendingRequest &Pending) const {
  const LoadRequest &Request = requestOf(Pending);
  HttpClientRequest Out;
  Out.Method_ = Request.Method_;
  Out.Path_ = Request.Path_;
  constexpr std::string_view Placeholder = "{n}";
  if (std::size_t Found = Out.Path_.find(Placeholder);
      Found != std::string::npos)
    Out.Path_.replace(Found, Placeholder.size(),
                      std::to_string(Pending.Number_));
  Out.Headers_ = Request.Headers_;
  if (!Pending.IdempotencyKey_.empty())
    Out.Headers_.push_back({"Idempotency-Key", Pending.IdempotencyKey_});
  Out.Body_ = Pending.Body_;
  Out.Deadline_ = Scenario_.Timeout_;
  return Out;
}

void Runner::send(const PendingPointer &Pending) {
  ++Pending->Attempts_;
  Client_->send(Scenario_.Addresses_[Pending->Address_], makeRequest(*Pending),
                [this, Pending](const HttpResponse &Response) {
                  onResponse(Pending, Response);
                });
}

void Runner::onResponse(const PendingPointer &Pending,
                        const HttpResponse &Response) {
  const LoadRequest &Request = requestOf(*Pending);
  LoadOutcome Outcome = classifyResponse(Response, Request, Pending->Body_);
  bool Retryable =
      Outcome == LoadOutcome::NotRun || Outcome == LoadOutcome::Unknown;
  if (Retryable && Pending->Attempts_ <= Request.MaxResends_) {
    Pending->MayHaveRun_ |= Outcome == LoadOutcome::Unknown;
    resendLater(Pending);
    return;
  }
  if (Outcome == LoadOutcome::NotRun && Pending->MayHaveRun_)
    Outcome = LoadOutcome::Unknown;
  --OutstandingCount_;
  recordOutcome(*Pending, Response, Outcome);
}

void Runner::resendLater(const PendingPointer &Pending) {
  Pending->Address_ = (Pending->Address_ + 1) % Scenario_.Addresses_.size();
  ScheduledResends_.emplace(elapsed() + requestOf(*Pending).ResendDelay_,
                            Pending);
  armTimer();
}

void Runner::recordOutcome(const PendingRequest &Pending,
                           const HttpResponse &Response, LoadOutcome Outcome) {
  Duration Now = elapsed();
  Duration Latency = Now - Pending.Arrival_.At_;
  RequestStats &Stats =
      Result_.Stats_[Pending.Arrival_.Phase_][Pending.Arrival_.Request_];
  ++Stats.Outcomes_[static_cast<std::size_t>(Outcome)];
  Stats.Resends_ += Pending.Attempts_ - 1;
  LoadSlice &Slice = sliceAt(Now);
  if (Outcome == LoadOutcome::Good) {
    Stats.Latency_.add(Latency);
    ++Slice.Good_;
  } else {
    ++Slice.Bad_;
  }
  if (History_)
    writeHistory(Pending, Response, Outcome, Latency);
}

void Runner::writeHistory(const PendingRequest &Pending,
                          const HttpResponse &Response, LoadOutcome Outcome,
                          Duration Latency) {
  Json Line{{"scenario", Scenario_.Name_},
            {"number", Pending.Number_},
            {"request", requestOf(Pending).Name_},
            {"phase", Scenario_.Phases_[Pending.Arrival_.Phase_].Name_},
            {"intended_us", Pending.Arrival_.At_.count()},
            {"latency_us", Latency.count()},
            {"outcome", loadOutcomeName(Outcome)},
            {"status", Response.Status_},
            {"attempts", Pending.Attempts_},
            {"address", Scenario_.Addresses_[Pending.Address_]}};
  if (!Pending.IdempotencyKey_.empty())
    Line["key"] = Pending.IdempotencyKey_;
  if (!Response.Reason_.empty())
    Line["reason"] = Response.Reason_;
  *History_ << Line.dump(-1, ' ', false, Json::error_handler_t::replace)
            << "\n";
}

} // namespace

Result<LoadResult> runLoad(event_base *Base, const LoadScenario &Scenario,
                           std::ostream *History) {
  if (Scenario.Addresses_.empty())
    return fail(ErrorKind::InvalidArgument,
                "scenario \"" + Scenario.Name_ + "\" has no addresses",
                "set \"addresses\" or give --address");
  HttpClientConfig Config;
  Config.ConnectionsPerAddress_ = Scenario.ConnectionsPerAddress_;
  Config.MaxQueuedPerAddress_ = MaxQueued;
  auto Client = HttpClient::create(Base, Config);
  if (!Client)
    return tl::unexpected(Client.error());
  return Runner(Base, Scenario, std::move(*Client), History).run();
}

} // namespace sycamore
