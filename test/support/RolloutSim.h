// A service with an old and a new version under load over a simulated clock:
// entry daemons, the deciding daemon and the delays between them.
#pragma once

#include "sycamore/RolloutPlan.h"

#include <cmath>
#include <functional>

namespace sycamore::test {

/// How the new version answers a request.
struct SimAnswer {
  bool Failed_ = false;
  double TimeFactor_ = 1; ///< Of the old version's time.
};

/// What a bad version's behaviour may depend on.
struct SimRequest {
  std::string Route_;
  Duration SinceStart_{0};    ///< Of the target.
  std::uint32_t Running_ = 0; ///< At the target, with this one.
  double Draw_ = 0;           ///< Uniform in [0, 1).
};

using SimVersion = std::function<SimAnswer(const SimRequest &)>;

struct SimOptions {
  std::size_t Servers_ = 6;
  std::uint32_t SlotsPerTarget_ = 16;
  double RequestsPerS_ = 1000;
  Duration Deadline_ = seconds(12);
  Duration TargetsAfter_ = milliseconds(500); ///< From the order to the start.
  std::vector<std::pair<std::string, double>> Routes_ = {
      {"list", 0.6}, {"show", 0.35}, {"buy", 0.05}};
  Duration MeanTime_ = milliseconds(40);
  double OldFailures_ = 0.002; ///< Of both versions, beside the new one's own.
  Duration MessageDelay_ = milliseconds(10);
  std::uint64_t Seed_ = 1;
  /// The holder ends at this time after the order; its successor starts from
  /// the state that the store holds.
  std::optional<Duration> HolderDiesAfter_;
};

struct SimResult {
  std::uint64_t Requests_ = 0;    ///< From the order to its deadline.
  std::uint64_t NewRequests_ = 0; ///< To the new version; all of the run.
  std::uint64_t BadAnswers_ = 0;
  wire::RolloutPhase Phase_ = wire::ROLLOUT_RUNNING;
  Duration VerdictAfter_{0};
  std::string Reason_;
  std::optional<TimePoint> FiftiethBad_;
  TimePoint LastNewAt_;
  std::uint64_t SentAfterCompletion_ = 0; ///< To the old version.

  double bound() const { return 0.1 * static_cast<double>(Requests_) + 50; }
};

class RolloutSim {
public:
  RolloutSim(SimOptions Options, SimVersion New)
      : Options_(std::move(Options)), New_(std::move(New)),
        Rng_(Options_.Seed_), Tables_(Options_.Servers_) {}

  SimResult run() {
    Order_ = {"shop", "v2", Options_.Deadline_, 7};
    wire::RolloutState First;
    First.set_service("shop");
    First.set_target_version("v2");
    First.set_order_revision(7);
    First.set_step(1);
    Holder_ = makeRolloutHolder(Order_, First, Start_, Start_);
    spread(First);
    TimePoint NextRequest = Start_;
    TimePoint End = Start_ + Options_.Deadline_ + seconds(4);
    for (Time_ = Start_; Time_ < End; Time_ += milliseconds(1)) {
      runEvents();
      for (; NextRequest <= Time_; NextRequest += gap())
        arrive();
      if ((Time_ - Start_) % milliseconds(20) == Duration(0))
        tick();
    }
    return Result_;
  }

private:
  Duration gap() {
    return Duration(static_cast<std::int64_t>(-std::log(1 - randomUnit(Rng_)) *
                                              1e6 / Options_.RequestsPerS_));
  }

  void at(TimePoint When, std::function<void()> Event) {
    Events_.emplace(When, std::move(Event));
  }

  void runEvents() {
    while (!Events_.empty() && Events_.begin()->first <= Time_) {
      auto Event = std::move(Events_.begin()->second);
      Events_.erase(Events_.begin());
      Event();
    }
  }

  bool hasNewTargets() const {
    return Time_ >= Start_ + Options_.TargetsAfter_;
  }

  /// Version and name of the targets, one of each version beside each server.
  std::vector<EligibleTarget> targets() const {
    std::vector<EligibleTarget> Out;
    for (std::size_t I = 0; I < Options_.Servers_; ++I) {
      std::string Server = "m" + std::to_string(I);
      Out.push_back({"old" + std::to_string(I), Server, "z",
                     Options_.SlotsPerTarget_, false, "v1"});
      if (hasNewTargets())
        Out.push_back({"new" + std::to_string(I), Server, "z",
                       Options_.SlotsPerTarget_, false, "v2"});
    }
    return Out;
  }

  std::string drawRoute() {
    double Draw = randomUnit(Rng_);
    for (const auto &[Route, Part] : Options_.Routes_)
      if ((Draw -= Part) < 0)
        return Route;
    return Options_.Routes_.back().first;
  }

  void arrive() {
    if (Time_ < Start_ + Options_.Deadline_)
      ++Result_.Requests_;
    RolloutTable &Table = Tables_[randomIndex(Rng_, Tables_.size())];
    std::string Route = drawRoute();
    std::vector<EligibleTarget> Usable = targets();
    filterVersions(Table, "shop", Route, Usable, {}, Time_);
    if (Usable.empty())
      return;
    const EligibleTarget &Chosen = Usable[randomIndex(Rng_, Usable.size())];
    std::uint64_t Ordinal = ++Ordinal_;
    recordRolloutSent(Table, Ordinal, "shop", Route, Chosen.Version_,
                      Chosen.Version_ == "v2" ? Start_ + Options_.TargetsAfter_
                                              : Start_ - seconds(60),
                      Time_);
    bool IsNew = Chosen.Version_ == "v2";
    if (!IsNew && Completed_)
      ++Result_.SentAfterCompletion_;
    serve(Table, Ordinal, Chosen.Name_, Route, IsNew);
  }

  void serve(RolloutTable &Table, std::uint64_t Ordinal,
             const std::string &Name, const std::string &Route, bool IsNew) {
    std::uint32_t &Running = Running_[Name];
    ++Running;
    SimAnswer Answer;
    if (IsNew) {
      ++Result_.NewRequests_;
      Result_.LastNewAt_ = Time_;
      Answer = New_({Route, Time_ - Start_ - Options_.TargetsAfter_, Running,
                     randomUnit(Rng_)});
    }
    bool Bad = Answer.Failed_ || Answer.TimeFactor_ > 1;
    Answer.Failed_ |= randomUnit(Rng_) < Options_.OldFailures_;
    double Spread = std::lognormal_distribution<double>(-0.18, 0.6)(Rng_);
    auto Taken = Duration(static_cast<std::int64_t>(
        static_cast<double>(Options_.MeanTime_.count()) * Spread *
        Answer.TimeFactor_));
    at(Time_ + Taken, [this, &Table, Ordinal, Name, Answer, Bad] {
      --Running_[Name];
      if (Bad && ++Result_.BadAnswers_ == 50)
        Result_.FiftiethBad_ = Time_;
      recordRolloutEnd(Table, Ordinal,
                       Answer.Failed_ ? RolloutOutcome::Failed
                                      : RolloutOutcome::Answered,
                       Time_);
    });
  }

  void spread(const wire::RolloutState &State) {
    for (RolloutTable &Table : Tables_)
      at(Time_ + Options_.MessageDelay_, [this, &Table, State] {
        applyRolloutState(Table, State, Time_, Rng_);
      });
  }

  void report(std::size_t Server) {
    RolloutTable &Table = Tables_[Server];
    countOverdue(Table, Time_);
    auto Found = Table.Rollouts_.find("shop");
    if (Found == Table.Rollouts_.end() || !isReportDue(Found->second, Time_))
      return;
    wire::RolloutReport Report = makeRolloutReport(Found->second, Time_);
    at(Time_ + Options_.MessageDelay_, [this, Server, Report] {
      addRolloutReport(Holder_, "m" + std::to_string(Server), 1, Report, Time_);
    });
  }

  void tick() {
    for (std::size_t I = 0; I < Tables_.size(); ++I)
      report(I);
    if (Options_.HolderDiesAfter_ &&
        Time_ == Start_ + *Options_.HolderDiesAfter_)
      replaceHolder();
    if (Time_ < HolderBackAt_)
      return;
    RolloutFleet Fleet;
    for (std::size_t I = 0; I < Options_.Servers_; ++I)
      Fleet.Servers_.push_back("m" + std::to_string(I));
    auto All = static_cast<std::uint32_t>(Options_.Servers_) *
               Options_.SlotsPerTarget_;
    Fleet.OldSlots_ = All;
    Fleet.NewSlots_ = hasNewTargets() ? All : 0;
    if (isFinished(Holder_.State_)) {
      if (!Completed_ && Holder_.State_.phase() == wire::ROLLOUT_COMPLETED &&
          isVerdictApplied(Holder_, Fleet, Time_))
        Completed_ = true;
      return;
    }
    RolloutDecision Decision = planRollout(Holder_, Fleet, Time_);
    wire::RolloutState Next = Holder_.State_;
    if (Decision.Action_ == RolloutAction::SetShare)
      Next.set_share_permille(Decision.SharePermille_);
    if (Decision.Action_ == RolloutAction::RollBack)
      Next.set_phase(wire::ROLLOUT_ROLLED_BACK);
    if (Decision.Action_ == RolloutAction::Complete)
      Next.set_phase(wire::ROLLOUT_COMPLETED);
    bool Renew = Time_ - Holder_.RenewedAt_ >= milliseconds(250);
    if (Decision.Action_ == RolloutAction::None && !Renew)
      return;
    Holder_.RenewedAt_ = Time_;
    Next.set_step(Next.step() + 1);
    if (isFinished(Next)) {
      Result_.Phase_ = Next.phase();
      Result_.VerdictAfter_ = Time_ - Start_;
      Result_.Reason_ = Decision.Reason_;
    }
    setHolderState(Holder_, Next, Time_);
    spread(Next);
  }

  void replaceHolder() {
    wire::RolloutState Known = Holder_.State_;
    Known.set_step(Known.step() + 1);
    HolderBackAt_ = Time_ + milliseconds(1500);
    Holder_ = makeRolloutHolder(Order_, Known, Start_, HolderBackAt_);
  }

  SimOptions Options_;
  SimVersion New_;
  Random Rng_;
  std::vector<RolloutTable> Tables_;
  RolloutOrder Order_;
  RolloutHolder Holder_;
  TimePoint Start_{seconds(1000)};
  TimePoint Time_;
  TimePoint HolderBackAt_;
  std::multimap<TimePoint, std::function<void()>> Events_;
  std::map<std::string, std::uint32_t> Running_;
  std::uint64_t Ordinal_ = 0;
  bool Completed_ = false;
  SimResult Result_;
};

} // namespace sycamore::test
