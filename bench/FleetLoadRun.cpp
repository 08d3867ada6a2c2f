// Simulation of a large fleet with targets and requests of uneven work.
#include "FleetLoadRun.h"

#include "Agenda.h"

#include "sycamore/CallBody.h"
#include "sycamore/RouteCost.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <numbers>

namespace sycamore::bench {
namespace {

constexpr std::uint64_t Process = 1;
constexpr std::size_t NoCall = SIZE_MAX;

/// A request at a target.
struct Job {
  std::size_t Call_ = 0; ///< Index into FleetLoadRun::Calls_.
  std::size_t Entry_ = 0;
  wire::CallRequest Request_;
  Duration Work_{0}; ///< Exact, at this target.
  TimePoint ArrivedAt_{};
  TimePoint StartedAt_{};
  TimePoint EndsAt_{};
};

struct FleetTarget {
  std::string Name_;
  std::string Server_;
  std::size_t Entry_ = 0; ///< The daemon beside it.
  double Speed_ = 1;
  Admission Admission_;
  RouteCost Costs_;
  std::unordered_map<std::uint64_t, Job> Jobs_; ///< By admission id.
};

struct FleetEntry {
  std::string Server_;
  std::string DataCentre_;
  EntryCalls Calls_;
  Placement Placement_;
  WaitLimits WaitLimits_;
  RouteCost Costs_; ///< Reported by all targets.
  CallPolicy Policy_;
  std::unordered_map<std::uint64_t, std::size_t> CallOf_; ///< By sequence.
};

struct FleetCall {
  std::size_t Entry_ = 0;
  std::size_t Route_ = 0;
  bool Nested_ = false;
  std::size_t ParentTarget_ = 0; ///< Of a nested call.
  std::uint64_t ParentId_ = 0;
  double Work_ = 0; ///< Exact, in microseconds at speed 1.
  bool MakesNestedCall_ = false;
  bool Counted_ = false;
  TimePoint SentAt_{};
  Duration Wait_{0};
};

std::string costKey(const wire::CallRequest &Request) {
  return Request.route() + " " + std::to_string(Request.depth());
}

class FleetLoadRun {
public:
  explicit FleetLoadRun(const FleetLoadConfig &Config);
  FleetLoadResult run();

private:
  void addTargets();
  CallPolicy policyOf(std::size_t Entry);
  void scheduleArrival(std::size_t Route);
  double requestWork(Duration Mean);
  void sendCustomerRequest(std::size_t Route);
  void sendNestedCall(std::size_t Target, std::uint64_t Id);
  void begin(FleetCall Call, EntryCall New);
  std::optional<ChosenTarget> choose(std::size_t Entry, const EntryCall &Call,
                                     std::span<const std::string> Excluded);
  std::size_t chooseExactly(const FleetCall &Call, std::size_t Service,
                            std::span<const std::string> Excluded);
  double exactWait(const FleetTarget &Target, std::size_t Rank) const;
  void perform(std::size_t Entry, CallActions Actions);
  void send(std::size_t Entry, SendAttempt Attempt);
  void arrive(std::size_t Target, Job New);
  void start(std::size_t Target, std::uint64_t Id);
  void end(std::size_t Target, std::uint64_t Id);
  void runQueue(std::size_t Target);
  void answer(std::size_t Target, Job Ended, wire::RunOutcome Outcome,
              Duration RetryAfter);
  void receive(std::size_t Entry, std::size_t Target, Duration RoundTrip,
               const Job &Ended, const wire::CallAnswer &Answer);
  void finishCall(std::size_t Entry, const CallResult &Outcome);
  Duration delay(std::size_t Entry, std::size_t Target) const;
  void tick();

  const FleetLoadConfig &Config_;
  EventQueue Queue_;
  Random Rng_;
  std::vector<FleetEntry> Entries_;
  std::vector<FleetTarget> Targets_;
  std::vector<std::vector<std::size_t>> TargetsOf_;  ///< By service.
  std::vector<std::vector<Candidate>> CandidatesOf_; ///< By service.
  std::unordered_map<std::string, std::size_t> TargetByName_;
  std::deque<FleetCall> Calls_;
  std::uint64_t NextId_ = 1;
  std::size_t Beginning_ = NoCall; ///< Call whose first target is chosen.
  FleetLoadResult Result_;
};

FleetLoadRun::FleetLoadRun(const FleetLoadConfig &Config)
    : Config_(Config), Rng_(Config.Seed_) {
  for (std::size_t I = 0; I < Config.Entries_; ++I) {
    FleetEntry Entry;
    Entry.Server_ = "server-" + std::to_string(I);
    Entry.DataCentre_ = "dc-" + std::to_string(I % 3);
    Entry.Calls_.Self_ = Entry.Server_;
    Entry.Calls_.Incarnation_ = Process;
    Entry.Calls_.Limits_ = Config.Limits_;
    // There are no heartbeats and no lost messages.
    Entry.Calls_.Limits_.LinkDeadline_ = seconds(3600);
    Entry.Calls_.Limits_.QueryAfter_ = seconds(3600);
    Entry.Placement_.Options_ = Config.Placement_;
    Entry.WaitLimits_.Options_ = Config.WaitLimits_;
    Entries_.push_back(std::move(Entry));
  }
  for (std::size_t I = 0; I < Config.Entries_; ++I)
    Entries_[I].Policy_ = policyOf(I);
  addTargets();
  for (const FleetRoute &Each : Config.Routes_)
    Result_.Routes_.push_back({Each.Name_});
}

void FleetLoadRun::addTargets() {
  TargetsOf_.resize(Config_.Targets_.size());
  CandidatesOf_.resize(Config_.Targets_.size());
  for (std::size_t Service = 0; Service < Config_.Targets_.size(); ++Service) {
    std::size_t Count = Config_.Targets_[Service];
    for (std::size_t I = 0; I < Count; ++I) {
      FleetTarget New;
      New.Name_ = std::to_string(Service) + "-target-" + std::to_string(I);
      New.Entry_ = Targets_.size() % Config_.Entries_;
      New.Server_ = Entries_[New.Entry_].Server_;
      // Speeds are spread evenly, independently of the data centre.
      New.Speed_ = 0.5 + static_cast<double>(I * 7 % Count) /
                             static_cast<double>(Count - 1);
      New.Admission_.Options_ = Config_.Admission_;
      New.Admission_.Slots_ = Config_.Slots_;
      TargetByName_[New.Name_] = Targets_.size();
      TargetsOf_[Service].push_back(Targets_.size());
      Targets_.push_back(std::move(New));
    }
  }
  for (std::size_t Service = 0; Service < TargetsOf_.size(); ++Service)
    for (std::size_t Each : TargetsOf_[Service])
      CandidatesOf_[Service].push_back(
          {Targets_[Each].Name_, Targets_[Each].Server_,
           Entries_[Targets_[Each].Entry_].DataCentre_, Config_.Slots_});
}

CallPolicy FleetLoadRun::policyOf(std::size_t Entry) {
  CallPolicy Out;
  Out.ChooseTarget_ = [this, Entry](const EntryCall &Call,
                                    std::span<const std::string> Excluded) {
    return choose(Entry, Call, Excluded);
  };
  Out.ConsumeRetry_ = [](const EntryCall &) { return true; };
  Out.HedgeDelay_ = [](const EntryCall &) -> std::optional<Duration> {
    return std::nullopt;
  };
  Out.ConsumeHedge_ = [](const EntryCall &) { return false; };
  if (Config_.Choice_ == FleetChoice::Limited)
    Out.WaitLimit_ = [this, Entry](const EntryCall &Call,
                                   std::uint32_t Earlier) {
      std::optional<Duration> Slack;
      if (Call.LatencyTargetAt_)
        Slack = *Call.LatencyTargetAt_ - Queue_.Now_;
      FleetEntry &Own = Entries_[Entry];
      return waitLimit(Own.WaitLimits_, Call.Service_, Earlier,
                       expectedCost(Own.Costs_, costKey(Call.Request_)), Slack);
    };
  return Out;
}

/// Log-normal with a standard deviation of 0.65 of the mean; one request in
/// 100 takes 3 to 5 times as long.
double FleetLoadRun::requestWork(Duration Mean) {
  constexpr double Variation = 0.65;
  double Sigma = std::sqrt(std::log(1 + Variation * Variation));
  double Work =
      static_cast<double>(Mean.count()) *
      std::lognormal_distribution<double>(-Sigma * Sigma / 2, Sigma)(Rng_);
  return randomUnit(Rng_) < 0.01 ? Work * (3 + 2 * randomUnit(Rng_)) : Work;
}

void FleetLoadRun::scheduleArrival(std::size_t Route) {
  double Time = static_cast<double>(Queue_.Now_.time_since_epoch().count());
  double Period = static_cast<double>(Config_.FluctuationPeriod_.count());
  double Factor =
      1 + Config_.Fluctuation_ * std::sin(2 * std::numbers::pi * Time / Period);
  double Rate = Config_.Routes_[Route].Rate_ * Config_.Load_ * Factor;
  auto Gap = Duration(
      std::llround(std::exponential_distribution<double>(Rate)(Rng_) * 1e6));
  Queue_.schedule(Gap, [this, Route] {
    sendCustomerRequest(Route);
    scheduleArrival(Route);
  });
}

void FleetLoadRun::sendCustomerRequest(std::size_t Route) {
  const FleetRoute &Kind = Config_.Routes_[Route];
  FleetCall Call;
  Call.Entry_ = randomIndex(Rng_, Entries_.size());
  Call.Route_ = Route;
  Call.Work_ = requestWork(Kind.Work_);
  Call.MakesNestedCall_ = randomUnit(Rng_) < Kind.NestedShare_;
  Call.SentAt_ = Queue_.Now_;
  Duration Since = Queue_.Now_.time_since_epoch();
  Call.Counted_ =
      Since >= Config_.WarmUp_ && Since < Config_.Length_ - Config_.CoolDown_;
  Result_.Routes_[Route].Sent_ += Call.Counted_ ? 1 : 0;
  EntryCall New;
  New.Service_ = std::to_string(Kind.Service_);
  New.Deadline_ = Queue_.Now_ + Kind.Deadline_;
  New.LatencyTargetAt_ =
      Queue_.Now_ + Kind.LatencyTarget_ - Config_.Limits_.CallerTransitTime_;
  New.MaxTargets_ = 3;
  New.Idempotent_ = Kind.Idempotent_;
  New.Request_.set_route(Kind.Name_);
  New.Request_.set_priority(Kind.Priority_);
  begin(Call, std::move(New));
}

void FleetLoadRun::sendNestedCall(std::size_t Target, std::uint64_t Id) {
  auto Found = Targets_[Target].Jobs_.find(Id);
  if (Found == Targets_[Target].Jobs_.end())
    return;
  const Job &Parent = Found->second;
  FleetCall Call;
  Call.Entry_ = Targets_[Target].Entry_;
  Call.Route_ = Calls_[Parent.Call_].Route_;
  Call.Nested_ = true;
  Call.ParentTarget_ = Target;
  Call.ParentId_ = Id;
  Call.Work_ = requestWork(Config_.NestedWork_);
  EntryCall New;
  New.Service_ = std::to_string(1 - Config_.Routes_[Call.Route_].Service_);
  New.Deadline_ = Queue_.Now_ + Config_.NestedDeadline_;
  New.MaxTargets_ = 3;
  New.Idempotent_ = true;
  New.Nested_ = true;
  New.Depth_ = 1;
  New.Request_.set_route("nested");
  New.Request_.set_depth(1);
  begin(Call, std::move(New));
}

void FleetLoadRun::begin(FleetCall Call, EntryCall New) {
  FleetEntry &Entry = Entries_[Call.Entry_];
  Calls_.push_back(Call);
  Beginning_ = Calls_.size() - 1;
  Entry.CallOf_[Entry.Calls_.NextSequence_] = Beginning_;
  ++Result_.Calls_;
  New.Request_.set_service(New.Service_);
  perform(Call.Entry_,
          beginCall(Entry.Calls_, std::move(New), Entry.Policy_, Queue_.Now_));
}

/// Time in microseconds until a slot is free for one more request of Rank.
double FleetLoadRun::exactWait(const FleetTarget &Target,
                               std::size_t Rank) const {
  std::vector<double> FreeAt(Config_.Slots_, 0);
  std::size_t Index = 0;
  auto LeftOf = [&](const Job &Each) {
    return std::max<double>(
        0, static_cast<double>((Each.EndsAt_ - Queue_.Now_).count()));
  };
  for (const RunningRequest &Each : Target.Admission_.Running_)
    FreeAt[Index++ % FreeAt.size()] =
        LeftOf(Target.Jobs_.at(Each.Request_.Id_));
  for (const QueuedRequest &Each : Target.Admission_.Queue_)
    if (workRank(Each.Request_.Depth_, Each.Request_.Priority_) <= Rank)
      *std::min_element(FreeAt.begin(), FreeAt.end()) +=
          static_cast<double>(Target.Jobs_.at(Each.Request_.Id_).Work_.count());
  return *std::min_element(FreeAt.begin(), FreeAt.end());
}

std::size_t FleetLoadRun::chooseExactly(const FleetCall &Call,
                                        std::size_t Service,
                                        std::span<const std::string> Excluded) {
  std::size_t Rank =
      workRank(Call.Nested_ ? 1 : 0, Config_.Routes_[Call.Route_].Priority_);
  std::size_t Best = NoCall;
  double BestTime = 0;
  for (std::size_t Each : TargetsOf_[Service]) {
    const FleetTarget &Target = Targets_[Each];
    if (std::find(Excluded.begin(), Excluded.end(), Target.Name_) !=
        Excluded.end())
      continue;
    double Time = exactWait(Target, Rank) + Call.Work_ / Target.Speed_;
    if (Best == NoCall || Time < BestTime) {
      Best = Each;
      BestTime = Time;
    }
  }
  return Best;
}

std::optional<ChosenTarget>
FleetLoadRun::choose(std::size_t Entry, const EntryCall &Call,
                     std::span<const std::string> Excluded) {
  FleetEntry &Own = Entries_[Entry];
  auto Service = static_cast<std::size_t>(std::stoul(Call.Service_));
  std::size_t Chosen = NoCall;
  if (Config_.Choice_ == FleetChoice::Oracle) {
    Chosen = chooseExactly(Calls_[Own.CallOf_.at(Call.Sequence_)], Service,
                           Excluded);
  } else if (auto Index = chooseTarget(
                 Own.Placement_, CandidatesOf_[Service], Own.DataCentre_,
                 Excluded, Queue_.Now_, Rng_,
                 {expectedCost(Own.Costs_, costKey(Call.Request_)),
                  Call.LatencyTargetAt_ ? *Call.LatencyTargetAt_ - Queue_.Now_
                                        : Duration(0),
                  workRank(Call.Depth_, Call.Request_.priority())})) {
    Chosen = TargetsOf_[Service][*Index];
  }
  if (Chosen == NoCall)
    return std::nullopt;
  return ChosenTarget{Targets_[Chosen].Server_, Targets_[Chosen].Name_,
                      Process};
}

void FleetLoadRun::perform(std::size_t Entry, CallActions Actions) {
  for (CallAction &Each : Actions) {
    if (auto *Attempt = std::get_if<SendAttempt>(&Each))
      send(Entry, std::move(*Attempt));
    else if (auto *Outcome = std::get_if<CallResult>(&Each))
      finishCall(Entry, *Outcome);
  }
}

Duration FleetLoadRun::delay(std::size_t Entry, std::size_t Target) const {
  if (Targets_[Target].Entry_ == Entry)
    return Duration(0);
  return Entries_[Entry].DataCentre_ ==
                 Entries_[Targets_[Target].Entry_].DataCentre_
             ? Config_.NearDelay_
             : Config_.FarDelay_;
}

void FleetLoadRun::send(std::size_t Entry, SendAttempt Attempt) {
  FleetEntry &Own = Entries_[Entry];
  Job New;
  New.Call_ = Own.CallOf_.at(Attempt.Request_.id().sequence());
  New.Entry_ = Entry;
  New.Request_ = std::move(Attempt.Request_);
  std::size_t Target = TargetByName_.at(New.Request_.target());
  recordDispatch(Own.Placement_, New.Request_.target(), Queue_.Now_,
                 expectedCost(Own.Costs_, costKey(New.Request_)));
  ++Result_.Attempts_;
  Result_.WaitLimited_ += New.Request_.wait_limit_us() > 0 ? 1 : 0;
  markSent(Own.Calls_, New.Request_.id(), Queue_.Now_);
  Queue_.schedule(delay(Entry, Target), [this, Target, New = std::move(New)] {
    arrive(Target, New);
  });
}

void FleetLoadRun::arrive(std::size_t Target, Job New) {
  FleetTarget &Own = Targets_[Target];
  const FleetCall &Call = Calls_[New.Call_];
  New.ArrivedAt_ = Queue_.Now_;
  New.Work_ = Duration(std::llround(Call.Work_ / Own.Speed_));
  AdmissionRequest Request;
  Request.Id_ = NextId_++;
  Request.Depth_ = New.Request_.depth();
  Request.Deadline_ = Queue_.Now_ + Duration(New.Request_.remaining_us());
  Request.Expected_ = Config_.Choice_ == FleetChoice::Oracle
                          ? New.Work_
                          : expectedCost(Own.Costs_, costKey(New.Request_));
  Request.Priority_ = New.Request_.priority();
  if (New.Request_.target_left_us() > 0)
    Request.LatencyTargetAt_ =
        Queue_.Now_ + Duration(New.Request_.target_left_us());
  Request.AcceptLate_ =
      New.Request_.accept_late() || New.Request_.target_left_us() == 0;
  if (New.Request_.wait_limit_us() > 0)
    Request.WaitLimit_ = Duration(New.Request_.wait_limit_us());
  Request.WaitForNextSlot_ = Config_.Choice_ != FleetChoice::Requests;
  AdmissionVerdict Verdict = admit(Own.Admission_, Request, Queue_.Now_);
  if (Verdict.Decision_ == AdmissionDecision::Refused) {
    answer(Target, std::move(New), wire::RUN_NOT_RUN, Verdict.RetryAfter_);
    return;
  }
  Own.Jobs_[Request.Id_] = std::move(New);
  if (Verdict.Decision_ == AdmissionDecision::Run)
    start(Target, Request.Id_);
}

void FleetLoadRun::start(std::size_t Target, std::uint64_t Id) {
  Job &Started = Targets_[Target].Jobs_.at(Id);
  FleetCall &Call = Calls_[Started.Call_];
  Started.StartedAt_ = Queue_.Now_;
  Started.EndsAt_ = Queue_.Now_ + Started.Work_;
  Call.Wait_ = Queue_.Now_ - Call.SentAt_;
  if (Call.MakesNestedCall_)
    Queue_.schedule(Started.Work_ / 2,
                    [this, Target, Id] { sendNestedCall(Target, Id); });
  else
    Queue_.schedule(Started.Work_, [this, Target, Id] { end(Target, Id); });
}

void FleetLoadRun::end(std::size_t Target, std::uint64_t Id) {
  FleetTarget &Own = Targets_[Target];
  auto Found = Own.Jobs_.find(Id);
  if (Found == Own.Jobs_.end())
    return;
  Job Ended = std::move(Found->second);
  Own.Jobs_.erase(Found);
  Duration ServiceTime = Queue_.Now_ - Ended.StartedAt_;
  recordCost(Own.Costs_, costKey(Ended.Request_), ServiceTime);
  finish(Own.Admission_, Id, ServiceTime, Queue_.Now_);
  answer(Target, std::move(Ended), wire::RUN_DONE, Duration(0));
  runQueue(Target);
}

void FleetLoadRun::runQueue(std::size_t Target) {
  FleetTarget &Own = Targets_[Target];
  std::vector<std::uint64_t> Run;
  std::vector<std::uint64_t> Refused;
  dequeueRunnable(Own.Admission_, Queue_.Now_, Run, Refused);
  for (std::uint64_t Id : Refused) {
    Job Ended = std::move(Own.Jobs_.at(Id));
    Own.Jobs_.erase(Id);
    answer(Target, std::move(Ended), wire::RUN_NOT_RUN,
           retryAfter(Own.Admission_));
  }
  for (std::uint64_t Id : Run)
    start(Target, Id);
}

void FleetLoadRun::answer(std::size_t Target, Job Ended,
                          wire::RunOutcome Outcome, Duration RetryAfter) {
  const FleetTarget &Own = Targets_[Target];
  AdmissionLoad Load = load(Own.Admission_);
  wire::CallAnswer Out;
  *Out.mutable_id() = Ended.Request_.id();
  Out.set_run(Outcome);
  Out.set_status(Outcome == wire::RUN_DONE ? 200 : 503);
  Out.set_process(Process);
  Out.set_reached_target(Outcome == wire::RUN_DONE);
  Out.set_body_hash(bodyHash(""));
  Out.set_retry_after_ms(
      static_cast<std::uint32_t>(RetryAfter / milliseconds(1)));
  Out.set_running(Load.Running_);
  Out.set_queued(Load.Queued_);
  Out.set_slots(Load.Slots_);
  Out.set_mean_service_us(
      static_cast<std::uint64_t>(Load.MeanService_.count()));
  Out.set_remaining_work_us(static_cast<std::uint64_t>(
      remainingWork(Own.Admission_, Queue_.Now_).count()));
  Out.set_expected_cost_us(static_cast<std::uint64_t>(
      expectedCost(Own.Costs_, costKey(Ended.Request_)).count()));
  for (Duration Each : queuedWork(Own.Admission_))
    Out.add_queued_work_us(static_cast<std::uint64_t>(Each.count()));
  if (Outcome == wire::RUN_DONE)
    Out.set_service_time_us(
        static_cast<std::uint64_t>((Queue_.Now_ - Ended.StartedAt_).count()));
  std::size_t Entry = Ended.Entry_;
  Duration RoundTrip =
      Queue_.Now_ - Ended.ArrivedAt_ + delay(Entry, Target) * 2;
  Queue_.schedule(delay(Entry, Target),
                  [this, Entry, Target, RoundTrip, Ended = std::move(Ended),
                   Out = std::move(Out)] {
                    receive(Entry, Target, RoundTrip, Ended, Out);
                  });
}

void FleetLoadRun::receive(std::size_t Entry, std::size_t Target,
                           Duration RoundTrip, const Job &Ended,
                           const wire::CallAnswer &Answer) {
  FleetEntry &Own = Entries_[Entry];
  bool Done = Answer.run() == wire::RUN_DONE;
  TargetLoad Load;
  Load.Running_ = Answer.running();
  Load.Queued_ = Answer.queued();
  Load.Slots_ = Answer.slots();
  Load.ServiceTime_ = Duration(Answer.service_time_us());
  Load.MeanService_ = Duration(Answer.mean_service_us());
  if (Config_.Choice_ != FleetChoice::Requests) {
    Load.RemainingWork_ = Duration(Answer.remaining_work_us());
    for (int I = 0; I < Answer.queued_work_us_size(); ++I)
      Load.QueuedWork_[static_cast<std::size_t>(I)] =
          Duration(Answer.queued_work_us(I));
    Load.CostRatio_ = recordReportedCost(Own.Costs_, costKey(Ended.Request_),
                                         Duration(Answer.expected_cost_us()));
  }
  recordAttemptEnd(Own.Placement_, Targets_[Target].Name_, Load, RoundTrip,
                   Done ? AttemptOutcome::Done : AttemptOutcome::NotRun,
                   Queue_.Now_);
  if (Ended.Request_.wait_limit_us() > 0)
    recordWaitLimited(Own.WaitLimits_, Ended.Request_.service(), !Done);
  perform(Entry, onAnswer(Own.Calls_, Targets_[Target].Server_, Answer, "",
                          Own.Policy_, Queue_.Now_));
}

void FleetLoadRun::finishCall(std::size_t Entry, const CallResult &Outcome) {
  auto Found = Entries_[Entry].CallOf_.find(Outcome.Sequence_);
  const FleetCall Call = Calls_[Found->second];
  Entries_[Entry].CallOf_.erase(Found);
  bool Done = Outcome.Run_ == wire::RUN_DONE;
  if (Call.Nested_) {
    Result_.NestedFailed_ += Done ? 0 : 1;
    auto Parent = Targets_[Call.ParentTarget_].Jobs_.find(Call.ParentId_);
    if (Parent == Targets_[Call.ParentTarget_].Jobs_.end())
      return;
    Duration Rest = Done ? Parent->second.Work_ / 2 : Duration(0);
    Parent->second.EndsAt_ = Queue_.Now_ + Rest;
    Queue_.schedule(Rest, [this, Target = Call.ParentTarget_,
                           Id = Call.ParentId_] { end(Target, Id); });
    return;
  }
  if (!Call.Counted_)
    return;
  FleetRouteResult &Sum = Result_.Routes_[Call.Route_];
  if (!Done) {
    Sum.Refused_ += Outcome.Run_ == wire::RUN_NOT_RUN ? 1 : 0;
    return;
  }
  Duration Latency =
      Queue_.Now_ - Call.SentAt_ + Config_.Limits_.CallerTransitTime_ / 2;
  ++Sum.Answered_;
  Sum.WaitMs_ += static_cast<double>(Call.Wait_.count()) / 1e3;
  Sum.InTime_ += Latency <= Config_.Routes_[Call.Route_].LatencyTarget_ ? 1 : 0;
}

void FleetLoadRun::tick() {
  for (std::size_t I = 0; I < Targets_.size(); ++I)
    runQueue(I);
  for (std::size_t I = 0; I < Entries_.size(); ++I)
    perform(I, tickEntryCalls(Entries_[I].Calls_, Entries_[I].Policy_,
                              Queue_.Now_));
  Queue_.schedule(milliseconds(20), [this] { tick(); });
}

FleetLoadResult FleetLoadRun::run() {
  for (std::size_t I = 0; I < Config_.Routes_.size(); ++I)
    scheduleArrival(I);
  tick();
  Queue_.runUntil(TimePoint(Config_.Length_));
  return Result_;
}

double shareOf(const FleetLoadResult &Result,
               std::uint64_t FleetRouteResult::*Member) {
  std::uint64_t Sum = 0;
  std::uint64_t Sent = 0;
  for (const FleetRouteResult &Each : Result.Routes_) {
    Sum += Each.*Member;
    Sent += Each.Sent_;
  }
  return Sent == 0 ? 0 : static_cast<double>(Sum) / static_cast<double>(Sent);
}

} // namespace

FleetLoadConfig largeFleet(FleetChoice Choice, double Load) {
  FleetLoadConfig Out;
  Out.Choice_ = Choice;
  Out.Load_ = Load;
  Out.Admission_.LongShare_ = 1;
  // As in platform/settings.json.template.
  Out.Placement_.SpillCost_ = 2.5;
  if (Choice == FleetChoice::Oracle)
    Out.Admission_.DeadlineMargin_ = 1;
  if (Choice != FleetChoice::Requests)
    Out.Placement_.WorkTargets_ = 1;
  // The first and fourth kind use the first service, the others the second,
  // and nested calls go from the first service to the second. Rates keep the
  // proportions of the deployment within each service.
  Out.Routes_ = {{"first", 0, 597, milliseconds(220), milliseconds(500),
                  milliseconds(2500), 0, true, 0.7},
                 {"second", 1, 221, milliseconds(290), milliseconds(800),
                  milliseconds(3000), 1, false, 0},
                 {"third", 1, 188, milliseconds(550), milliseconds(1500),
                  milliseconds(6000), 1, true, 0},
                 {"fourth", 0, 98, milliseconds(880), milliseconds(5000),
                  milliseconds(10000), 2, true, 0}};
  constexpr double LongMean = 1.03; // Of the requests that take 3 to 5 times.
  double NestedSeconds =
      static_cast<double>(Out.NestedWork_.count()) / 1e6 * LongMean;
  double FirstSlots = static_cast<double>(Out.Targets_[0] * Out.Slots_);
  double SecondSlots = static_cast<double>(Out.Targets_[1] * Out.Slots_);
  // The slot stays taken during a nested call.
  double FirstUse =
      597 * (0.220 * LongMean + 0.7 * NestedSeconds) + 98 * 0.880 * LongMean;
  double FirstFactor = FirstSlots / FirstUse;
  double NestedUse = 597 * FirstFactor * 0.7 * NestedSeconds;
  double SecondFactor =
      (SecondSlots - NestedUse) / ((221 * 0.290 + 188 * 0.550) * LongMean);
  for (FleetRoute &Each : Out.Routes_)
    Each.Rate_ *= Each.Service_ == 0 ? FirstFactor : SecondFactor;
  return Out;
}

FleetLoadResult run(const FleetLoadConfig &Config) {
  return FleetLoadRun(Config).run();
}

double inTimeShare(const FleetLoadResult &Result) {
  return shareOf(Result, &FleetRouteResult::InTime_);
}

double answeredShare(const FleetLoadResult &Result) {
  return shareOf(Result, &FleetRouteResult::Answered_);
}

double meanWaitMs(const FleetLoadResult &Result) {
  double Sum = 0;
  std::uint64_t Answered = 0;
  for (const FleetRouteResult &Each : Result.Routes_) {
    Sum += Each.WaitMs_;
    Answered += Each.Answered_;
  }
  return Answered == 0 ? 0 : Sum / static_cast<double>(Answered);
}

} // namespace sycamore::bench
