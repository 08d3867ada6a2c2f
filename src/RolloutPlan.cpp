// The holder's plan of a roll-out: share, verdict and their conditions.
#include "sycamore/RolloutPlan.h"

#include "RolloutEvidence.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace {

/// Bound on the requests to a version that turns out bad: this part of all
/// requests from the order to its deadline, plus a constant.
constexpr double BoundPart = 0.1;
constexpr double BoundConstant = 50;
/// Kept free of the bound for requests that no report shows yet.
constexpr double BoundUse = 0.95;
constexpr double BoundReserve = 15;

/// Target while the evidence is gathered, of the requests seen so far. The
/// constant lets services with few requests get a verdict in time.
constexpr double CanaryPart = 0.08;
constexpr double CanaryConstant = 30;

/// Share during the observation, before the constant is spread over it.
constexpr double CanaryShare = 0.05;
constexpr double MaxCanaryShare = 0.5;
/// Share while the target above is used up.
constexpr double ThrottledShare = 0.02;

/// A bad version may turn bad 2 to 3 s after its start.
constexpr Duration Observation = seconds(4);
/// Parts of the order's duration: longest observation; time at which the share
/// rises although the evidence is thin; last time for a verdict.
constexpr double ObservationPart = 0.33;
constexpr double LatestRisePart = 0.5;
constexpr double LatePart = 0.65;
constexpr double LatePartWithoutEvidence = 0.75;
constexpr double VerdictPart = 0.88;
/// Least time from a verdict to the deadline: the verdict is stored, confirmed
/// by all daemons and stated, with a store call of up to 0.5 s each.
constexpr Duration ConclusionTime = milliseconds(1500);

/// Answers of the new version on each route that speak for it. A version that
/// fails a third of its requests passes this many with 0.8 % probability.
constexpr std::uint64_t EnoughAnswers = 12;
/// Routes with less than this part of the answers need no evidence of their
/// own.
constexpr double MinRoutePart = 0.02;

/// Parts of the evidence of a bad version with which the share does not rise,
/// and with which the version is given up when no time is left.
constexpr double RiseSuspicion = 0.5;
constexpr double LateSuspicion = 0.75;

/// Shares of the steps after the observation, in thousandths.
constexpr std::uint32_t Steps[] = {200, 500, FullSharePermille};

/// Least and longest time of one step, and of the last one.
constexpr Duration MinStepTime = milliseconds(500);
constexpr Duration MaxStepTime = milliseconds(1000);
constexpr Duration LastStepTime = milliseconds(1500);
/// From a bad answer to the end of requests to the version: report, decision
/// and propagation.
constexpr Duration ReactionTime = milliseconds(400);
/// Requests that show a bad version where the reaction time brings fewer.
constexpr double DetectionRequests = 20;

/// Servers that have not reported a step hold up the next one at most this
/// long.
constexpr Duration MaxReportWait = milliseconds(1000);

double inSeconds(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration partOf(Duration Value, double Part) {
  return Duration(
      static_cast<std::int64_t>(static_cast<double>(Value.count()) * Part));
}

/// Latest time for a verdict, from the order on.
Duration verdictTime(Duration Whole) {
  return std::min(partOf(Whole, VerdictPart),
                  std::max(Whole - ConclusionTime, Whole / 2));
}

std::uint32_t toPermille(double Share) {
  return static_cast<std::uint32_t>(std::lround(Share * FullSharePermille));
}

double seen(const RolloutHolder &Holder) {
  return static_cast<double>(Holder.NewSent_ + Holder.OldSent_);
}

/// Requests per second since the order.
double requestRate(const RolloutHolder &Holder, TimePoint Time) {
  constexpr double MinSpan = 0.5;
  return seen(Holder) / std::max(inSeconds(Time - Holder.OrderedAt_), MinSpan);
}

/// Mean time of the new version's answers, or of the old one's.
Duration meanTime(const RolloutHolder &Holder) {
  const RolloutCounts &New = Holder.All_.New_;
  if (New.Answers_ > 0)
    return New.Times_ / static_cast<std::int64_t>(New.Answers_);
  return Duration(0);
}

bool isSignificant(const RolloutHolder &Holder, const RouteEvidence &Route) {
  auto Answers = [](const RouteEvidence &Each) {
    return static_cast<double>(Each.New_.Answers_) + Each.OldAnswers_;
  };
  return Answers(Route) >= MinRoutePart * Answers(Holder.All_);
}

bool hasEnoughEvidence(const RolloutHolder &Holder) {
  if (Holder.All_.New_.Answers_ < EnoughAnswers)
    return false;
  return std::all_of(Holder.Routes_.begin(), Holder.Routes_.end(),
                     [&](const auto &Item) {
                       return Item.second.New_.Answers_ >= EnoughAnswers ||
                              !isSignificant(Holder, Item.second);
                     });
}

bool hasSuspicion(const RolloutHolder &Holder, double Part) {
  return isSuspicious(Holder.All_, Part) ||
         std::any_of(
             Holder.Routes_.begin(), Holder.Routes_.end(),
             [&](const auto &Item) { return isSuspicious(Item.second, Part); });
}

/// Whether every server has reported the step. Servers that have not reported
/// for a while are given up where the caller allows it.
bool haveAllReported(const RolloutHolder &Holder, const RolloutFleet &Fleet,
                     std::uint64_t Step, bool NoOldInFlight) {
  return std::all_of(Fleet.Servers_.begin(), Fleet.Servers_.end(),
                     [&](const std::string &Server) {
                       auto Found = Holder.Reporters_.find(Server);
                       return Found != Holder.Reporters_.end() &&
                              Found->second.Report_.step() >= Step &&
                              (!NoOldInFlight ||
                               Found->second.Report_.old_in_flight() == 0);
                     });
}

RolloutDecision setShare(std::uint32_t Permille, std::string Reason) {
  return {RolloutAction::SetShare, Permille, std::move(Reason)};
}

/// Share of the new version's targets in all slots.
double slotShare(const RolloutFleet &Fleet) {
  std::uint32_t All = Fleet.NewSlots_ + Fleet.OldSlots_;
  return All == 0 ? 0 : static_cast<double>(Fleet.NewSlots_) / All;
}

/// The share while evidence is gathered.
double canaryShare(const RolloutHolder &Holder, const RolloutFleet &Fleet,
                   TimePoint Time) {
  double Sent = static_cast<double>(Holder.NewSent_);
  if (Sent > CanaryPart * seen(Holder) + CanaryConstant)
    return ThrottledShare;
  double Expected = requestRate(Holder, Time) * inSeconds(Observation);
  // Before the first reports the rate is not known.
  double Share = CanaryShare;
  if (seen(Holder) > 0)
    Share = CanaryShare + CanaryConstant / std::max(Expected, 1.0);
  return std::min({Share, MaxCanaryShare, std::max(slotShare(Fleet), 0.001)});
}

RolloutDecision planCanary(const RolloutHolder &Holder,
                           const RolloutFleet &Fleet, TimePoint Time) {
  std::uint32_t Wanted = toPermille(canaryShare(Holder, Fleet, Time));
  std::uint32_t Known = Holder.State_.share_permille();
  // Each change of the share is a write to the store.
  constexpr Duration MinChangeInterval = milliseconds(500);
  bool Starts = Known == 0;
  bool Exceeds = Wanted < Known * 3 / 4;
  bool Rises =
      Wanted > Known * 5 / 4 && Time - Holder.ShareSince_ >= MinChangeInterval;
  if (Wanted != Known && (Starts || Exceeds || Rises))
    return setShare(Wanted, "observation");
  return {};
}

bool mayLeaveObservation(const RolloutHolder &Holder, const RolloutFleet &Fleet,
                         TimePoint Time) {
  Duration Whole = Holder.Order_.Duration_;
  TimePoint Start = Holder.OrderedAt_;
  bool Late = Time >= Start + partOf(Whole, LatestRisePart);
  Duration Needed = std::min(Observation, partOf(Whole, ObservationPart));
  bool Observed = Time - Holder.NewSlotsRaisedAt_ >= Needed;
  bool HasCapacity = Fleet.NewSlots_ >= Fleet.OldSlots_;
  // With no requests there is no evidence, and nothing to protect.
  bool HasEvidence = hasEnoughEvidence(Holder) || seen(Holder) == 0;
  return Late || (Observed && HasCapacity && HasEvidence);
}

/// The largest share at which a version that turns bad now is found before its
/// requests exceed the bound.
double affordableShare(const RolloutHolder &Holder, TimePoint Time) {
  double Rate = requestRate(Holder, Time);
  TimePoint Deadline = Holder.OrderedAt_ + Holder.Order_.Duration_;
  double Remaining = std::max(inSeconds(Deadline - Time), 0.0);
  double Bound = BoundPart * (seen(Holder) + Rate * Remaining) * BoundUse +
                 BoundConstant - BoundReserve;
  double Span = inSeconds(ReactionTime + 3 * meanTime(Holder));
  return (Bound - DetectionRequests - static_cast<double>(Holder.NewSent_)) /
         std::max(Rate * Span, 0.1);
}

Duration stepTime(const RolloutHolder &Holder) {
  constexpr int TimesPerStep = 4;
  return std::clamp<Duration>(milliseconds(300) +
                                  meanTime(Holder) * TimesPerStep,
                              MinStepTime, MaxStepTime);
}

bool isStepSettled(const RolloutHolder &Holder, const RolloutFleet &Fleet,
                   TimePoint Time) {
  Duration Since = Time - Holder.ShareSince_;
  return Since >= stepTime(Holder) &&
         (Since >= MaxReportWait ||
          haveAllReported(Holder, Fleet, Holder.ShareStep_, false));
}

RolloutDecision planRise(const RolloutHolder &Holder, const RolloutFleet &Fleet,
                         TimePoint Time) {
  std::uint32_t Known = Holder.State_.share_permille();
  if (hasSuspicion(Holder, RiseSuspicion) ||
      !isStepSettled(Holder, Fleet, Time))
    return {};
  std::uint32_t Next = FullSharePermille;
  for (std::uint32_t Step : Steps)
    if (Step > Known) {
      Next = Step;
      break;
    }
  double Part = hasEnoughEvidence(Holder) ? LatePart : LatePartWithoutEvidence;
  bool Late = Time >= Holder.OrderedAt_ + partOf(Holder.Order_.Duration_, Part);
  double Affordable = affordableShare(Holder, Time);
  if (Late || Affordable * FullSharePermille >= Next)
    return setShare(Next, Late ? "late" : "evidence");
  // A smaller step is worth its write only if it brings much of the rise.
  std::uint32_t Reduced = Affordable <= 0 ? 0 : toPermille(Affordable);
  if (Reduced >= Known * 3 / 2)
    return setShare(Reduced, "evidence, limited by the bound");
  return {};
}

RolloutDecision planLastStep(const RolloutHolder &Holder,
                             const RolloutFleet &Fleet, TimePoint Time) {
  bool Late = Time >= Holder.OrderedAt_ + verdictTime(Holder.Order_.Duration_);
  if (Late && hasSuspicion(Holder, LateSuspicion))
    return {RolloutAction::RollBack, 0, "suspicion at the latest time"};
  bool Settled = Time - Holder.ShareSince_ >= LastStepTime &&
                 !hasSuspicion(Holder, RiseSuspicion) &&
                 (hasEnoughEvidence(Holder) || seen(Holder) == 0);
  if ((Settled || Late) &&
      haveAllReported(Holder, Fleet, Holder.ShareStep_, true))
    return {RolloutAction::Complete, FullSharePermille, "evidence"};
  return {};
}

void updateTargets(RolloutHolder &Holder, const RolloutFleet &Fleet,
                   TimePoint Time) {
  if (Fleet.NewSlots_ > Holder.NewSlots_)
    Holder.NewSlotsRaisedAt_ = Time;
  Holder.NewSlots_ = std::max(Holder.NewSlots_, Fleet.NewSlots_);
  if (Fleet.NewSlots_ == 0 || Holder.TargetsSeenAt_)
    return;
  Holder.TargetsSeenAt_ = Time;
  // An order that waited longer than its duration for targets starts with them.
  constexpr double LongestWaitPart = 0.33;
  if (Time - Holder.OrderedAt_ >
      partOf(Holder.Order_.Duration_, LongestWaitPart))
    Holder.OrderedAt_ = Time;
}

} // namespace

RolloutHolder makeRolloutHolder(const RolloutOrder &Order,
                                const wire::RolloutState &State,
                                TimePoint OrderedAt, TimePoint Time) {
  RolloutHolder Out;
  Out.Order_ = Order;
  Out.OrderedAt_ = OrderedAt;
  setHolderState(Out, State, Time);
  return Out;
}

void setHolderState(RolloutHolder &Holder, const wire::RolloutState &State,
                    TimePoint Time) {
  bool Changed = Holder.ShareStep_ == 0 ||
                 isFinished(State) != isFinished(Holder.State_) ||
                 State.share_permille() != Holder.State_.share_permille();
  Holder.State_ = State;
  if (!Changed)
    return;
  Holder.ShareStep_ = State.step();
  Holder.ShareSince_ = Time;
}

std::string findBadRoute(const RolloutHolder &Holder) {
  for (const auto &[Route, Evidence] : Holder.Routes_)
    if (std::string_view Kind = badnessOf(Evidence); !Kind.empty())
      return std::string(Kind) + " on route " + Route;
  std::string_view Kind = badnessOf(Holder.All_);
  return Kind.empty() ? "" : std::string(Kind) + " on all routes";
}

RolloutDecision planRollout(RolloutHolder &Holder, const RolloutFleet &Fleet,
                            TimePoint Time) {
  if (isFinished(Holder.State_))
    return {};
  updateTargets(Holder, Fleet, Time);
  if (std::string Bad = findBadRoute(Holder); !Bad.empty())
    return {RolloutAction::RollBack, 0, std::move(Bad)};
  if (!Holder.TargetsSeenAt_)
    return {};
  std::uint32_t Share = Holder.State_.share_permille();
  if (Share >= FullSharePermille)
    return planLastStep(Holder, Fleet, Time);
  if (Fleet.NewSlots_ == 0)
    return {};
  bool Verdict =
      Time >= Holder.OrderedAt_ + verdictTime(Holder.Order_.Duration_);
  if (Verdict && hasSuspicion(Holder, RiseSuspicion))
    return {RolloutAction::RollBack, 0, "suspicion at the latest time"};
  if (Holder.Rising_ || mayLeaveObservation(Holder, Fleet, Time)) {
    Holder.Rising_ = true;
    return planRise(Holder, Fleet, Time);
  }
  return planCanary(Holder, Fleet, Time);
}

bool isVerdictApplied(const RolloutHolder &Holder, const RolloutFleet &Fleet,
                      TimePoint Time) {
  bool Completed = Holder.State_.phase() == wire::ROLLOUT_COMPLETED;
  if (haveAllReported(Holder, Fleet, Holder.ShareStep_, Completed))
    return true;
  return Time - Holder.ShareSince_ >= RolloutNewsTimeout;
}

} // namespace sycamore
