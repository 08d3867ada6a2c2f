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

struct Flight {
  LoadArrival Arrival_;
  std::uint64_t Number_ = 0;
  std::string Key_;
  std::string Body_;
  std::uint64_t Attempts_ = 0;
  std::size_t Address_ = 0;
  bool MayHaveRun_ = false; ///< An earlier attempt had an unknown outcome.
};

using FlightPointer = std::shared_ptr<Flight>;

class Runner {
public:
  Runner(event_base *Base, const LoadScenario &Scenario,
         std::unique_ptr<HttpClient> Client, std::ostream *History);
  Runner(const Runner &) = delete;
  Runner &operator=(const Runner &) = delete;
  ~Runner() { event_free(Timer_); }

  LoadResult run();

private:
  const LoadRequest &requestOf(const Flight &Item) const {
    return Scenario_.Requests_[Item.Arrival_.Request_];
  }
  Duration elapsed() const { return monotonicNow() - Start_; }
  LoadSlice &sliceAt(Duration At);
  void launchDue();
  void launch(const LoadArrival &Arrival);
  void send(const FlightPointer &Item);
  HttpClientRequest makeRequest(const Flight &Item) const;
  void onAnswer(const FlightPointer &Item, const HttpAnswer &Answer);
  void resendLater(const FlightPointer &Item);
  void count(const Flight &Item, const HttpAnswer &Answer, LoadOutcome Outcome);
  void writeHistory(const Flight &Item, const HttpAnswer &Answer,
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
  std::multimap<Duration, FlightPointer> Resends_;
  TimePoint Start_;
  event *Timer_;
  LoadResult Result_;
  std::uint64_t Launched_ = 0;
  std::uint64_t Open_ = 0;
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
  while (Next_ || Open_ > 0)
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
  if (!Resends_.empty())
    Due = std::min(Due, Resends_.begin()->first);
  if (Due == Duration::max())
    return;
  timeval Wait = toTimeval(Due - elapsed());
  evtimer_add(Timer_, &Wait);
}

void Runner::onTimer(evutil_socket_t /*Socket*/, short /*Events*/, void *Self) {
  static_cast<Runner *>(Self)->launchDue();
}

void Runner::launchDue() {
  Duration Now = elapsed();
  while (Next_ && Next_->At_ <= Now) {
    launch(*Next_);
    Next_ = Plan_.next();
  }
  while (!Resends_.empty() && Resends_.begin()->first <= Now) {
    FlightPointer Item = Resends_.begin()->second;
    Resends_.erase(Resends_.begin());
    send(Item);
  }
  armTimer();
}

void Runner::launch(const LoadArrival &Arrival) {
  auto Item = std::make_shared<Flight>();
  Item->Arrival_ = Arrival;
  Item->Number_ = ++Launched_;
  Item->Address_ = Launched_ % Scenario_.Addresses_.size();
  const LoadRequest &Request = requestOf(*Item);
  Item->Body_.resize(Request.BodyBytes_);
  for (char &Byte : Item->Body_)
    Byte = static_cast<char>(Rng_());
  if (Request.Keyed_)
    Item->Key_ = uuidV7(wallNow(), Rng_);
  ++Open_;
  ++sliceAt(Arrival.At_).Offered_;
  Result_.SendDelay_.add(elapsed() - Arrival.At_);
  send(Item);
}

HttpClientRequest Runner::makeRequest(const Flight &Item) const {
  const LoadRequest &Request = requestOf(Item);
  HttpClientRequest Out;
  Out.Method_ = Request.Method_;
  Out.Path_ = Request.Path_;
  constexpr std::string_view Placeholder = "{n}";
  if (std::size_t Found = Out.Path_.find(Placeholder);
      Found != std::string::npos)
    Out.Path_.replace(Found, Placeholder.size(), std::to_string(Item.Number_));
  Out.Headers_ = Request.Headers_;
  if (!Item.Key_.empty())
    Out.Headers_.push_back({"Idempotency-Key", Item.Key_});
  Out.Body_ = Item.Body_;
  Out.Deadline_ = Scenario_.Timeout_;
  return Out;
}

void Runner::send(const FlightPointer &Item) {
  ++Item->Attempts_;
  Client_->send(
      Scenario_.Addresses_[Item->Address_], makeRequest(*Item),
      [this, Item](const HttpAnswer &Answer) { onAnswer(Item, Answer); });
}

void Runner::onAnswer(const FlightPointer &Item, const HttpAnswer &Answer) {
  const LoadRequest &Request = requestOf(*Item);
  LoadOutcome Outcome = classifyAnswer(Answer, Request, Item->Body_);
  bool Undecided =
      Outcome == LoadOutcome::NotRun || Outcome == LoadOutcome::Unknown;
  if (Undecided && Item->Attempts_ <= Request.Resends_) {
    Item->MayHaveRun_ |= Outcome == LoadOutcome::Unknown;
    resendLater(Item);
    return;
  }
  if (Outcome == LoadOutcome::NotRun && Item->MayHaveRun_)
    Outcome = LoadOutcome::Unknown;
  --Open_;
  count(*Item, Answer, Outcome);
}

void Runner::resendLater(const FlightPointer &Item) {
  Item->Address_ = (Item->Address_ + 1) % Scenario_.Addresses_.size();
  Resends_.emplace(elapsed() + requestOf(*Item).ResendDelay_, Item);
  armTimer();
}

void Runner::count(const Flight &Item, const HttpAnswer &Answer,
                   LoadOutcome Outcome) {
  Duration Now = elapsed();
  Duration Latency = Now - Item.Arrival_.At_;
  LoadCell &Cell = Result_.Cells_[Item.Arrival_.Phase_][Item.Arrival_.Request_];
  ++Cell.Outcomes_[static_cast<std::size_t>(Outcome)];
  Cell.Resends_ += Item.Attempts_ - 1;
  LoadSlice &Slice = sliceAt(Now);
  if (Outcome == LoadOutcome::Good) {
    Cell.Latency_.add(Latency);
    ++Slice.Good_;
  } else {
    ++Slice.Bad_;
  }
  if (History_)
    writeHistory(Item, Answer, Outcome, Latency);
}

void Runner::writeHistory(const Flight &Item, const HttpAnswer &Answer,
                          LoadOutcome Outcome, Duration Latency) {
  Json Line{{"scenario", Scenario_.Name_},
            {"number", Item.Number_},
            {"request", requestOf(Item).Name_},
            {"phase", Scenario_.Phases_[Item.Arrival_.Phase_].Name_},
            {"intended_us", Item.Arrival_.At_.count()},
            {"latency_us", Latency.count()},
            {"outcome", loadOutcomeName(Outcome)},
            {"status", Answer.Status_},
            {"attempts", Item.Attempts_},
            {"address", Scenario_.Addresses_[Item.Address_]}};
  if (!Item.Key_.empty())
    Line["key"] = Item.Key_;
  if (!Answer.Reason_.empty())
    Line["reason"] = Answer.Reason_;
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
