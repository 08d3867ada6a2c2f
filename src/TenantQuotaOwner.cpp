// Lends the tokens of the shares that this daemon owns.
#include "sycamore/TenantQuota.h"

#include <algorithm>
#include <cmath>

namespace sycamore {
namespace {

/// A longer time between two ticks is a pause of the process, during which
/// another server may have taken its shares. A shorter one is not enough for
/// that.
constexpr Duration PauseThreshold = seconds(2);

/// Tokens that a share holds beyond its part of the burst, and at least, so
/// that requests which arrive together by chance are not refused. The permitted
/// excess over 5 s is 20 requests and 10%; three shares use 9 to 15 of it.
constexpr double ExtraCapacity = 3;
constexpr double MinCapacity = 5;

/// Tokens of a share whose owner has just begun to lend. The owner before may
/// have lent a full burst.
constexpr double FirstTokens = 1;

/// Longest time for which an asker is sent away. It bounds the questions about
/// a tenant far over its quota to two a second from each daemon and share.
constexpr Duration MaxRetryAfter = milliseconds(500);
constexpr Duration MinRetryAfter = milliseconds(20);

constexpr Duration IdleRetention = std::chrono::minutes(1);

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

void refresh(LentShares &Lent, const QuotaFleet &Fleet,
             const std::string &Tenant) {
  if (Lent.FleetVersion_ == Fleet.Version_)
    return;
  Lent.FleetVersion_ = Fleet.Version_;
  for (std::size_t I = 0; I < QuotaShares; ++I) {
    Lent.LendsFrom_[I] = lendsFrom(Fleet, Tenant, I);
    if (Lent.LendsFrom_[I])
      Lent.HeardPart_[I] = heardPart(*groupOfShare(Fleet, Tenant, I));
  }
}

void fill(LentShare &Share, TimePoint From, double Rate, double Capacity,
          TimePoint Now) {
  if (Share.FilledAt_ < From) {
    Share.FilledAt_ = From;
    Share.Tokens_ = FirstTokens;
  }
  Share.Tokens_ = std::min(
      Capacity, Share.Tokens_ + Rate * secondsOf(Now - Share.FilledAt_));
  Share.FilledAt_ = Now;
}

/// Time after which an asker shall return. Askers get times one after the
/// other.
Duration nextRoom(LentShare &Share, double Rate, double Missing,
                  TimePoint Now) {
  Share.NextRoom_ = std::max(Share.NextRoom_, Now) + durationOf(Missing / Rate);
  Share.NextRoom_ = std::min(Share.NextRoom_, Now + MaxRetryAfter);
  return std::max<Duration>(Share.NextRoom_ - Now, MinRetryAfter);
}

} // namespace

void observeTime(QuotaOwner &Owner, TimePoint Now) {
  if (Owner.LastSeen_ != TimePoint{} && Now - Owner.LastSeen_ > PauseThreshold)
    Owner.ResumedAt_ = Now;
  Owner.LastSeen_ = Now;
}

QuotaOffer lend(QuotaOwner &Owner, const QuotaFleet &Fleet,
                const std::string &Tenant, const QuotaLimit &Limit,
                std::uint32_t Wanted, TimePoint Now) {
  QuotaOffer Out;
  LentShares &Lent = Owner.Tenants_[Tenant];
  refresh(Lent, Fleet, Tenant);
  LentShare *Last = nullptr;
  double TotalRate = 0;
  for (std::size_t I = 0; I < QuotaShares; ++I) {
    if (!Lent.LendsFrom_[I])
      continue;
    TimePoint From = *Lent.LendsFrom_[I];
    if (Owner.ResumedAt_ != TimePoint{})
      From = std::max(From, Owner.ResumedAt_ + QuotaGossipWait);
    double Rate = Limit.Rate_ * Lent.HeardPart_[I] / QuotaShares;
    if (Now < From || Rate <= 0)
      continue;
    LentShare &Share = Lent.Shares_[I];
    double Capacity =
        std::max(Limit.Burst_ / QuotaShares + ExtraCapacity, MinCapacity);
    fill(Share, From, Rate, Capacity, Now);
    auto Granted = static_cast<std::uint32_t>(std::min<double>(
        Wanted - Out.Granted_, std::max(0.0, std::floor(Share.Tokens_))));
    Share.Tokens_ -= Granted;
    Out.Granted_ += Granted;
    Lent.FullAt_ = std::max(
        Lent.FullAt_, Now + durationOf((Capacity - Share.Tokens_) / Rate));
    TotalRate += Rate;
    Last = &Share;
  }
  Out.Refused_ = !Last;
  if (Last && Out.Granted_ < Wanted)
    Out.RetryAfter_ = nextRoom(*Last, TotalRate, Wanted - Out.Granted_, Now);
  return Out;
}

void expireShares(QuotaOwner &Owner, TimePoint Now) {
  std::erase_if(Owner.Tenants_, [&](const auto &Item) {
    return Now - Item.second.FullAt_ > IdleRetention;
  });
}

} // namespace sycamore
