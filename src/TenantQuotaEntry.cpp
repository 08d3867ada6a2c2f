// Decides on requests at the entry daemon, with tokens that owners have lent.
#include "TenantQuotaDetail.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace quota {

namespace {

/// Over which the demand of a tenant is averaged.
constexpr double DemandSeconds = 1;

/// Refusals further apart than this are separate times of excess.
constexpr Duration ExcessGap = seconds(5);

} // namespace

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

void recordArrival(QuotaLedger &Ledger, TimePoint Now) {
  double Passed = secondsOf(Now - Ledger.DemandAt_);
  Ledger.Demand_ =
      Ledger.Demand_ * std::exp(-Passed / DemandSeconds) + 1 / DemandSeconds;
  Ledger.DemandAt_ = Now;
  Ledger.UsedAt_ = Now;
  ++Ledger.Arrived_;
}

void refreshSources(QuotaLedger &Ledger, const QuotaFleet &Fleet,
                    const std::string &Tenant) {
  if (Ledger.FleetVersion_ == Fleet.Version_)
    return;
  Ledger.FleetVersion_ = Fleet.Version_;
  std::array<QuotaSource, QuotaShares> Before = std::move(Ledger.Sources_);
  std::array<std::pair<bool, std::size_t>, QuotaShares> Order;
  for (std::size_t I = 0; I < QuotaShares; ++I) {
    const QuotaGroup *Group = groupOfShare(Fleet, Tenant, I);
    Order[I] = {!Group || Group->DataCentre_ != Fleet.DataCentre_, I};
  }
  std::sort(Order.begin(), Order.end());
  for (std::size_t I = 0; I < QuotaShares; ++I) {
    QuotaSource &Source = Ledger.Sources_[I];
    Source = {ownerOfShare(Fleet, Tenant, Order[I].second), {}};
    for (const QuotaSource &Each : Before)
      if (Each.Owner_ == Source.Owner_)
        Source.DeniedUntil_ = std::max(Source.DeniedUntil_, Each.DeniedUntil_);
  }
}

void dropLapsed(QuotaEntry &Entry, QuotaLedger &Ledger, TimePoint Now) {
  std::size_t Lapsed = std::erase_if(
      Ledger.Tokens_, [&](const auto &Each) { return Each.ValidUntil_ < Now; });
  Entry.Counters_.Lapsed_ += Lapsed;
}

bool isSilent(const QuotaEntry &Entry, const std::string &Server,
              TimePoint Now) {
  auto Found = Entry.Peers_.find(Server);
  return Found != Entry.Peers_.end() && Now < Found->second.SilentUntil_;
}

const QuotaSource *chooseSource(const QuotaEntry &Entry,
                                const QuotaLedger &Ledger, TimePoint Now) {
  const QuotaSource *Silent = nullptr;
  for (const QuotaSource &Each : Ledger.Sources_) {
    if (Each.Owner_.empty() || Now < Each.DeniedUntil_)
      continue;
    if (!isSilent(Entry, Each.Owner_, Now))
      return &Each;
    if (!Silent)
      Silent = &Each;
  }
  return Silent;
}

Duration untilRoom(const QuotaLedger &Ledger, TimePoint Now) {
  TimePoint First = TimePoint::max();
  for (const QuotaSource &Each : Ledger.Sources_)
    if (!Each.Owner_.empty())
      First = std::min(First, Each.DeniedUntil_);
  // Without any owner, or when none answered.
  if (First == TimePoint::max() || First <= Now)
    return QuotaUnansweredRetry;
  return First - Now;
}

QuotaDecision refuse(QuotaEntry &Entry, const std::string &Tenant,
                     QuotaLedger &Ledger, TimePoint Now) {
  ++Entry.Counters_.Denied_;
  Ledger.RefusedAt_ = Now;
  if (!Ledger.Exceeding_) {
    Ledger.Exceeding_ = true;
    Entry.Events_.push_back({QuotaEventKind::Exceeded, Tenant});
  }
  return {QuotaVerdict::Refuse, {}, untilRoom(Ledger, Now)};
}

std::optional<QuotaDecision> useToken(QuotaEntry &Entry, QuotaLedger &Ledger,
                                      TimePoint Now) {
  dropLapsed(Entry, Ledger, Now);
  if (Ledger.Tokens_.empty())
    return std::nullopt;
  QuotaDecision Out{QuotaVerdict::Run, Ledger.Tokens_.front(), {}};
  Ledger.Tokens_.pop_front();
  ++Entry.Counters_.Granted_;
  return Out;
}

/// Requests per second that this daemon may run of its own accord: its part of
/// the shares of its data centre.
double ownRate(const QuotaFleet &Fleet, const std::string &Tenant,
               const QuotaLimit &Limit) {
  double Out = 0;
  for (std::size_t I = 0; I < QuotaShares; ++I) {
    const QuotaGroup *Group = groupOfShare(Fleet, Tenant, I);
    if (Group && Group->DataCentre_ == Fleet.DataCentre_)
      Out +=
          Limit.Rate_ / QuotaShares / static_cast<double>(knownServers(*Group));
  }
  return Out;
}

std::optional<QuotaDecision> useFallback(QuotaEntry &Entry,
                                         const QuotaFleet &Fleet,
                                         const std::string &Tenant,
                                         QuotaLedger &Ledger, TimePoint Now) {
  if (!Ledger.UnansweredSince_ ||
      Now - *Ledger.UnansweredSince_ < QuotaFallbackWait) {
    Ledger.NextFallback_.reset();
    return std::nullopt;
  }
  double Rate = ownRate(Fleet, Tenant, Ledger.Limit_);
  if (Rate <= 0)
    return std::nullopt;
  // One token at each multiple of this time. A token lapses like a lent one, so
  // that daemons do not save tokens up.
  auto Interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / Rate));
  if (!Ledger.NextFallback_)
    Ledger.NextFallback_ =
        Now + Duration(std::hash<std::string>{}(Fleet.Self_ + Tenant) %
                       static_cast<std::size_t>(Interval.count() + 1));
  if (Duration Late = Now - *Ledger.NextFallback_ - QuotaTokenLife;
      Late > Duration(0))
    *Ledger.NextFallback_ +=
        Interval * ((Late + Interval - Duration(1)) / Interval);
  if (Now < *Ledger.NextFallback_)
    return std::nullopt;
  QuotaDecision Out{
      QuotaVerdict::Run, {*Ledger.NextFallback_ + QuotaTokenLife}, {}};
  *Ledger.NextFallback_ += Interval;
  ++Entry.Counters_.Fallback_;
  return Out;
}

void endExcess(QuotaEntry &Entry, const std::string &Tenant,
               QuotaLedger &Ledger, TimePoint Now) {
  if (!Ledger.Exceeding_ || Now - Ledger.RefusedAt_ < ExcessGap)
    return;
  Ledger.Exceeding_ = false;
  Entry.Events_.push_back({QuotaEventKind::Ended, Tenant});
}

void settle(QuotaEntry &Entry, const std::string &Tenant, QuotaLedger &Ledger,
            TimePoint Now, std::vector<QuotaOutcome> &Out) {
  while (!Ledger.Waiting_.empty()) {
    auto Run = useToken(Entry, Ledger, Now);
    if (!Run)
      break;
    Out.push_back({Ledger.Waiting_.front().Id_, *Run});
    Ledger.Waiting_.pop_front();
    --Entry.Waiting_;
  }
  bool MayAsk = chooseSource(Entry, Ledger, Now) != nullptr;
  while (!Ledger.Waiting_.empty() && Ledger.Asked_.empty() && !MayAsk) {
    Out.push_back(
        {Ledger.Waiting_.front().Id_, refuse(Entry, Tenant, Ledger, Now)});
    Ledger.Waiting_.pop_front();
    --Entry.Waiting_;
  }
  if (!Ledger.Waiting_.empty() && Ledger.Asked_.empty())
    Entry.ToAsk_.insert(Tenant);
  else
    Entry.ToAsk_.erase(Tenant);
}

} // namespace quota

using namespace quota;

QuotaDecision decideQuota(QuotaEntry &Entry, const QuotaFleet &Fleet,
                          const std::string &Tenant, const QuotaLimit &Limit,
                          QuotaWaiterId Id, TimePoint Now) {
  QuotaLedger &Ledger = Entry.Ledgers_[Tenant];
  Ledger.Limit_ = Limit;
  refreshSources(Ledger, Fleet, Tenant);
  recordArrival(Ledger, Now);
  // Those that wait already come first.
  if (Ledger.Waiting_.empty()) {
    if (auto Run = useToken(Entry, Ledger, Now))
      return *Run;
    if (auto Run = useFallback(Entry, Fleet, Tenant, Ledger, Now))
      return *Run;
  }
  bool MayAsk = !Ledger.Asked_.empty() || chooseSource(Entry, Ledger, Now);
  if (!MayAsk || Entry.Waiting_ >= MaxQuotaWaiting)
    return refuse(Entry, Tenant, Ledger, Now);
  Ledger.Waiting_.push_back({Id, Now + QuotaWaitLimit});
  ++Entry.Waiting_;
  ++Entry.Counters_.Waited_;
  if (Ledger.Asked_.empty())
    Entry.ToAsk_.insert(Tenant);
  return {QuotaVerdict::Wait, {}, {}};
}

void cancelWait(QuotaEntry &Entry, const std::string &Tenant,
                QuotaWaiterId Id) {
  auto Found = Entry.Ledgers_.find(Tenant);
  if (Found == Entry.Ledgers_.end())
    return;
  auto &Waiting = Found->second.Waiting_;
  Entry.Waiting_ -=
      std::erase_if(Waiting, [&](const auto &Each) { return Each.Id_ == Id; });
  if (Waiting.empty())
    Entry.ToAsk_.erase(Tenant);
}

void returnToken(QuotaEntry &Entry, const std::string &Tenant,
                 const QuotaToken &Token, TimePoint Now) {
  auto Found = Entry.Ledgers_.find(Tenant);
  if (Token.ValidUntil_ < Now || Found == Entry.Ledgers_.end())
    return;
  ++Entry.Counters_.Returned_;
  auto &Tokens = Found->second.Tokens_;
  Tokens.insert(std::upper_bound(Tokens.begin(), Tokens.end(), Token,
                                 [](const auto &Left, const auto &Right) {
                                   return Left.ValidUntil_ < Right.ValidUntil_;
                                 }),
                Token);
}

} // namespace sycamore
