// States of roll-outs in force and the choice of a version for one request.
#include "sycamore/Rollout.h"

#include <algorithm>

namespace sycamore {
namespace {

/// Versions to remember as old for one service.
constexpr std::size_t MaxOldVersions = 64;

/// Largest credit before a request's own share, so that a time without targets
/// of the new version is not followed by a burst.
constexpr double MaxCredit = 1.0;

double shareOf(const wire::RolloutState &State) {
  return static_cast<double>(State.share_permille()) / FullSharePermille;
}

bool isLastStep(const wire::RolloutState &State) {
  return State.share_permille() >= FullSharePermille;
}

bool isExcluded(std::span<const std::string> Excluded,
                const EligibleTarget &Target) {
  return std::find(Excluded.begin(), Excluded.end(), Target.Name_) !=
         Excluded.end();
}

/// Share of the requests on one route. Routes with few requests get a larger
/// one, so that a version that is bad on such a route alone is found in time;
/// that adds little to the requests of all routes.
double shareOnRoute(const Rollout &Entry, const std::string &Route) {
  constexpr double MaxFactor = 4;
  double Share = shareOf(Entry.State_);
  auto Found = Entry.SentByRoute_.find(Route);
  if (Found == Entry.SentByRoute_.end() || Found->second == 0)
    return Share;
  auto All = static_cast<double>(Entry.New_.Sent_ + Entry.Old_.Sent_);
  double Even = All / static_cast<double>(Entry.SentByRoute_.size());
  return std::min(1.0,
                  Share * std::clamp(Even / static_cast<double>(Found->second),
                                     1.0, MaxFactor));
}

/// Whether the next request of a running roll-out goes to the new version.
bool prefersNew(const Rollout &Entry, const std::string &Route,
                TimePoint Time) {
  if (isLastStep(Entry.State_))
    return true;
  bool HasNews = Time - Entry.HeardAt_ < RolloutNewsTimeout;
  return HasNews && Entry.State_.share_permille() > 0 &&
         Entry.Credit_ + shareOnRoute(Entry, Route) >= 1.0;
}

void filterRunning(Rollout &Entry, const std::string &Route,
                   std::vector<EligibleTarget> &Targets,
                   std::span<const std::string> Excluded, TimePoint Time) {
  auto IsNew = [&](const EligibleTarget &Target) {
    return Target.Version_ == Entry.State_.target_version();
  };
  bool HasOld = false;
  bool HasUsableNew = false;
  for (const EligibleTarget &Target : Targets) {
    if (IsNew(Target)) {
      HasUsableNew |= !isExcluded(Excluded, Target);
      continue;
    }
    HasOld = true;
    if (Entry.OldVersions_.size() < MaxOldVersions)
      Entry.OldVersions_.insert(Target.Version_);
  }
  bool HasNews = Time - Entry.HeardAt_ < RolloutNewsTimeout;
  if (HasUsableNew && prefersNew(Entry, Route, Time))
    std::erase_if(Targets, [&](const auto &Target) { return !IsNew(Target); });
  else if (HasOld || (!HasNews && !isLastStep(Entry.State_)))
    std::erase_if(Targets, IsNew);
}

/// Versions that get nothing under Next because of the order before it.
std::set<std::string> endedVersions(const Rollout &Before,
                                    const wire::RolloutState &Next) {
  std::set<std::string> Out = Before.EndedVersions_;
  if (Before.State_.phase() == wire::ROLLOUT_COMPLETED)
    Out.insert(Before.OldVersions_.begin(), Before.OldVersions_.end());
  else if (!Before.State_.service().empty())
    Out.insert(Before.State_.target_version());
  Out.erase(Next.target_version());
  return Out;
}

} // namespace

bool isFinished(const wire::RolloutState &State) {
  return State.phase() != wire::ROLLOUT_RUNNING;
}

bool replacesState(const wire::RolloutState &State,
                   const wire::RolloutState &Known) {
  if (State.order_revision() != Known.order_revision())
    return State.order_revision() > Known.order_revision();
  if (isFinished(State) != isFinished(Known))
    return isFinished(State);
  return State.phase() == Known.phase() && State.step() > Known.step();
}

bool applyRolloutState(RolloutTable &Table, const wire::RolloutState &State,
                       TimePoint Time, Random &Rng) {
  auto [Found, New] = Table.Rollouts_.try_emplace(State.service());
  Rollout &Entry = Found->second;
  if (!New && !replacesState(State, Entry.State_))
    return false;
  if (New || Entry.State_.order_revision() != State.order_revision()) {
    std::set<std::string> Ended = endedVersions(Entry, State);
    Entry = Rollout{};
    Entry.EndedVersions_ = std::move(Ended);
    Entry.Credit_ = randomUnit(Rng);
    Entry.ReportedAt_ = Time;
  }
  // The holder waits for every daemon to report a new step.
  Entry.ReportSoon_ |=
      Entry.State_.share_permille() != State.share_permille() ||
      Entry.State_.phase() != State.phase();
  Entry.State_ = State;
  Entry.HeardAt_ = Time;
  return true;
}

void filterVersions(RolloutTable &Table, const std::string &Service,
                    const std::string &Route,
                    std::vector<EligibleTarget> &Targets,
                    std::span<const std::string> Excluded, TimePoint Time) {
  if (Table.Rollouts_.empty())
    return;
  auto Found = Table.Rollouts_.find(Service);
  if (Found == Table.Rollouts_.end())
    return;
  Rollout &Entry = Found->second;
  if (!Entry.EndedVersions_.empty())
    std::erase_if(Targets, [&](const EligibleTarget &Target) {
      return Entry.EndedVersions_.contains(Target.Version_);
    });
  switch (Entry.State_.phase()) {
  case wire::ROLLOUT_COMPLETED:
    std::erase_if(Targets, [&](const EligibleTarget &Target) {
      return Entry.OldVersions_.contains(Target.Version_);
    });
    break;
  case wire::ROLLOUT_ROLLED_BACK:
    std::erase_if(Targets, [&](const EligibleTarget &Target) {
      return Target.Version_ == Entry.State_.target_version();
    });
    break;
  default:
    filterRunning(Entry, Route, Targets, Excluded, Time);
    break;
  }
}

void recordRolloutSent(RolloutTable &Table, std::uint64_t Ordinal,
                       const std::string &Service, const std::string &Route,
                       std::string_view Version, TimePoint LearnedAt,
                       TimePoint Time) {
  auto Found = Table.Rollouts_.find(Service);
  if (Found == Table.Rollouts_.end())
    return;
  Rollout &Entry = Found->second;
  RolloutAttempt Attempt;
  Attempt.New_ = Version == Entry.State_.target_version();
  // Requests to the old version finish after the verdict and are still counted
  // then: the old targets may stop only when none is in flight.
  if (Entry.State_.phase() == wire::ROLLOUT_RUNNING)
    Entry.Credit_ = std::clamp(Entry.Credit_, -MaxCredit, MaxCredit) +
                    shareOnRoute(Entry, Route) - (Attempt.New_ ? 1.0 : 0.0);
  RolloutTally &Tally = Attempt.New_ ? Entry.New_ : Entry.Old_;
  ++Tally.Sent_;
  ++Entry.SentByRoute_[Route];
  ++Tally.InFlight_;
  Attempt.Service_ = Service;
  Attempt.Route_ = Route;
  Attempt.OrderRevision_ = Entry.State_.order_revision();
  Attempt.WarmingUp_ = Time - LearnedAt < RolloutWarmUpTime;
  Attempt.SentAt_ = Time;
  Table.Attempts_[Ordinal] = std::move(Attempt);
}

} // namespace sycamore
