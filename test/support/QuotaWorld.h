// Quota decisions of a whole fleet over a simulated clock and network.
#pragma once

#include "sycamore/Random.h"
#include "sycamore/TenantQuota.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>

namespace sycamore::test {

/// A time in which part of the fleet differs from the rest.
struct QuotaFault {
  enum Kind { None, Dead, Frozen, Cut, Accused };
  Kind Kind_ = None;
  TimePoint From_;
  TimePoint To_;
  std::vector<bool> Affected_; ///< By daemon.
};

struct QuotaTenant {
  std::string Name_;
  double Usual_ = 0; ///< Requests per second.
  QuotaLimit Limit_;
  /// Limit in force from LoweredAt_ on, at each daemon within 2.5 s.
  QuotaLimit Lowered_;
  double HotFactor_ = 1; ///< From HotFrom_ on.
  std::vector<TimePoint> Runs_;
  std::uint64_t Sent_ = 0; ///< At daemons that live and are not cut off.
  std::uint64_t Refused_ = 0;
};

class QuotaWorld {
public:
  QuotaWorld(std::size_t Servers, std::size_t Tenants, std::uint64_t Seed,
             bool WithBurst)
      : Rng_(Seed), Daemons_(Servers) {
    for (std::size_t I = 0; I < Servers; ++I) {
      Daemon &Each = Daemons_[I];
      Each.Fleet_.Self_ = "server-" + std::to_string(I);
      Each.Fleet_.DataCentre_ = std::string(1, char('a' + I % 3));
      Each.LimitDelay_ = Duration(randomIndex(Rng_, 2'500'000));
    }
    double Sum = 0;
    for (std::size_t I = 0; I < Tenants; ++I)
      Sum += std::pow(double(I + 1), -1.2);
    for (std::size_t I = 0; I < Tenants; ++I) {
      QuotaTenant Each;
      Each.Name_ = "tenant-" + std::to_string(I);
      Each.Usual_ = 1104 * std::pow(double(I + 1), -1.2) / Sum;
      Each.Limit_ = {std::ceil(1.6 * Each.Usual_),
                     WithBurst ? std::ceil(1.6 * Each.Usual_) : 0};
      Each.Lowered_ = Each.Limit_;
      Tenants_.push_back(std::move(Each));
    }
  }

  void run(TimePoint From, TimePoint To) {
    Now_ = From;
    for (std::size_t I = 0; I < Daemons_.size(); ++I) {
      refreshView(I);
      at(From + Duration(randomIndex(Rng_, 20'000)), [this, I] { tick(I); });
    }
    for (std::size_t I = 0; I < Tenants_.size(); ++I)
      at(From, [this, I] { arrive(I); });
    while (!Events_.empty() && Events_.top().At_ < To) {
      Event Next = Events_.top();
      Events_.pop();
      Now_ = Next.At_;
      Next.Run_();
    }
  }

  /// Most requests above the bound in any window of 5 s that begins in the
  /// given time.
  static double excess(const QuotaTenant &Tenant, const QuotaLimit &Limit,
                       TimePoint From, TimePoint To) {
    double Bound = (Limit.Rate_ * 5 + Limit.Burst_) * 1.1 + 20;
    double Out = -Bound;
    std::vector<TimePoint> Runs = Tenant.Runs_;
    std::sort(Runs.begin(), Runs.end());
    std::size_t End = 0;
    for (std::size_t I = 0; I < Runs.size(); ++I) {
      while (End < Runs.size() && Runs[End] < Runs[I] + seconds(5))
        ++End;
      if (Runs[I] >= From && Runs[I] < To)
        Out = std::max(Out, double(End - I) - Bound);
    }
    return Out;
  }

  QuotaFault Fault_;
  TimePoint HotFrom_ = TimePoint::max();
  TimePoint LoweredAt_ = TimePoint::max();
  TimePoint CountFrom_; ///< Of Sent_ and Refused_.
  TimePoint CountTo_ = TimePoint::max();
  double LossRate_ = 0;   ///< Of messages.
  double NotRunRate_ = 0; ///< Of requests with a token; returned after 50 ms.
  std::uint64_t Messages_ = 0;
  std::vector<QuotaTenant> Tenants_;
  Random Rng_;

  QuotaCounters counters() const {
    QuotaCounters Out;
    for (const Daemon &Each : Daemons_) {
      Out.Lapsed_ += Each.Entry_.Counters_.Lapsed_;
      Out.Fallback_ += Each.Entry_.Counters_.Fallback_;
      Out.Waited_ += Each.Entry_.Counters_.Waited_;
    }
    return Out;
  }

  /// The server that lends the first share of a tenant in the view of the first
  /// daemon.
  std::size_t ownerOf(std::size_t Tenant) {
    Now_ = TimePoint{} + seconds(1);
    refreshView(0);
    return indexOf(ownerOfShare(Daemons_[0].Fleet_, Tenants_[Tenant].Name_, 0));
  }

private:
  struct Daemon {
    QuotaFleet Fleet_;
    QuotaOwner Owner_;
    QuotaEntry Entry_;
    Duration LimitDelay_{};
    TimePoint NextView_;
  };
  struct Event {
    TimePoint At_;
    std::uint64_t Order_;
    std::function<void()> Run_;
    bool operator<(const Event &Other) const {
      return std::pair(Other.At_, Other.Order_) < std::pair(At_, Order_);
    }
  };

  void at(TimePoint Time, std::function<void()> Run) {
    Events_.push({Time, ++Order_, std::move(Run)});
  }

  static std::size_t indexOf(const std::string &Server) {
    return std::stoul(Server.substr(Server.find('-') + 1));
  }

  bool affected(std::size_t I) const {
    return I < Fault_.Affected_.size() && Fault_.Affected_[I];
  }
  bool inFault(QuotaFault::Kind Kind) const {
    return Fault_.Kind_ == Kind && Now_ >= Fault_.From_ && Now_ < Fault_.To_;
  }
  bool isDead(std::size_t I) const {
    return affected(I) && inFault(QuotaFault::Dead);
  }
  bool isFrozen(std::size_t I) const {
    return affected(I) && inFault(QuotaFault::Frozen);
  }

  /// How From sees To: dead 6 s after contact ended, not heard after 10 s,
  /// alive and heard up to 1 s after it began again.
  QuotaServer see(std::size_t From, std::size_t To) const {
    bool Apart =
        Fault_.Kind_ != QuotaFault::None && affected(From) != affected(To);
    if (Fault_.Kind_ == QuotaFault::Accused)
      Apart = affected(To) && From % 2 == 0;
    Duration Lag = milliseconds(100 + 37 * (From % 25));
    QuotaServer Out{
        Daemons_[To].Fleet_.Self_, QuotaServerState::Alive, {}, true};
    if (!Apart)
      return Out;
    bool Accused = Fault_.Kind_ == QuotaFault::Accused;
    TimePoint Dead = Fault_.From_ + (Accused ? Lag : seconds(6) + Lag);
    if (Now_ >= Fault_.To_ + Lag)
      Out.Since_ = Dead < Fault_.To_ ? Fault_.To_ + Lag : TimePoint{};
    else if (Now_ >= Dead)
      Out = {Out.Name_, QuotaServerState::Dead, Dead, true};
    Out.Heard_ = Accused || Now_ < Fault_.From_ + seconds(10) ||
                 Now_ >= Fault_.To_ + Lag;
    return Out;
  }

  void refreshView(std::size_t I) {
    std::vector<QuotaGroup> Groups(3);
    for (std::size_t Other = 0; Other < Daemons_.size(); ++Other) {
      QuotaGroup &Group = Groups[Other % 3];
      Group.DataCentre_ = Daemons_[Other].Fleet_.DataCentre_;
      Group.Servers_.push_back(see(I, Other));
    }
    updateFleet(Daemons_[I].Fleet_, std::move(Groups), Now_);
  }

  QuotaLimit limitAt(std::size_t I, const QuotaTenant &Tenant) const {
    bool Lowered = LoweredAt_ != TimePoint::max() &&
                   Now_ >= LoweredAt_ + Daemons_[I].LimitDelay_;
    return Lowered ? Tenant.Lowered_ : Tenant.Limit_;
  }

  void tick(std::size_t I) {
    if (isFrozen(I)) {
      at(Fault_.To_ + milliseconds(5), [this, I] { tick(I); });
      return;
    }
    at(Now_ + milliseconds(20), [this, I] { tick(I); });
    if (isDead(I))
      return;
    Daemon &Self = Daemons_[I];
    observeTime(Self.Owner_, Now_);
    if (Now_ >= Self.NextView_) {
      Self.NextView_ = Now_ + milliseconds(250);
      refreshView(I);
    }
    finish(I, tickQuota(Self.Entry_, Self.Fleet_, Now_));
    ask(I);
  }

  void arrive(std::size_t T) {
    QuotaTenant &Tenant = Tenants_[T];
    double Rate = Tenant.Usual_ * (Now_ >= HotFrom_ ? Tenant.HotFactor_ : 1);
    std::exponential_distribution<double> Gap(Rate);
    at(Now_ + Duration(std::int64_t(1e6 * Gap(Rng_)) + 1),
       [this, T] { arrive(T); });
    std::size_t I = randomIndex(Rng_, Daemons_.size());
    if (isDead(I))
      return;
    receive(I, T);
  }

  void receive(std::size_t I, std::size_t T) {
    if (isFrozen(I)) {
      at(Fault_.To_, [this, I, T] { receive(I, T); });
      return;
    }
    QuotaTenant &Tenant = Tenants_[T];
    QuotaWaiterId Id = ++NextRequest_;
    Waiters_[Id] = T;
    if (counts(I))
      ++Tenant.Sent_;
    QuotaDecision Decision =
        decideQuota(Daemons_[I].Entry_, Daemons_[I].Fleet_, Tenant.Name_,
                    limitAt(I, Tenant), Id, Now_);
    if (Decision.Verdict_ != QuotaVerdict::Wait)
      finish(I, {{Id, Decision}});
    ask(I);
  }

  bool counts(std::size_t I) const {
    bool Apart = affected(I) && (inFault(QuotaFault::Cut) ||
                                 Fault_.Kind_ == QuotaFault::Frozen);
    return Now_ >= CountFrom_ && Now_ < CountTo_ && !Apart;
  }

  void finish(std::size_t I, const std::vector<QuotaOutcome> &Outcomes) {
    for (const QuotaOutcome &Each : Outcomes) {
      std::size_t T = Waiters_.at(Each.Id_);
      Waiters_.erase(Each.Id_);
      QuotaTenant &Tenant = Tenants_[T];
      if (Each.Decision_.Verdict_ == QuotaVerdict::Refuse) {
        Tenant.Refused_ += counts(I) ? 1 : 0;
      } else if (randomUnit(Rng_) >= NotRunRate_) {
        Tenant.Runs_.push_back(Now_);
      } else {
        at(Now_ + milliseconds(50),
           [this, I, T, Token = Each.Decision_.Token_] {
             returnToken(Daemons_[I].Entry_, Tenants_[T].Name_, Token, Now_);
           });
      }
    }
  }

  void ask(std::size_t I) {
    for (QuotaAsk &Ask : takeAsks(Daemons_[I].Entry_, Daemons_[I].Fleet_, Now_))
      transmit(I, indexOf(Ask.Server_),
               [this, I, Ask] { answer(I, indexOf(Ask.Server_), Ask); });
  }

  void transmit(std::size_t From, std::size_t To, std::function<void()> Run) {
    ++Messages_;
    bool Cut = inFault(QuotaFault::Cut) && affected(From) != affected(To);
    if (Cut || isDead(From) || isDead(To) || randomUnit(Rng_) < LossRate_)
      return;
    Duration Delay =
        From % 3 == To % 3 ? microseconds(300) : microseconds(1500);
    // A message to a frozen daemon waits in its socket.
    TimePoint Arrival =
        std::max(Now_ + Delay,
                 isFrozen(To) ? Fault_.To_ + milliseconds(1) : TimePoint{});
    at(Arrival, std::move(Run));
  }

  void answer(std::size_t Entry, std::size_t Owner, const QuotaAsk &Ask) {
    Daemon &Self = Daemons_[Owner];
    observeTime(Self.Owner_, Now_);
    std::vector<QuotaAnswerRow> Rows;
    bool Refused = true;
    for (const QuotaDemandRow &Each : Ask.Demands_) {
      const QuotaTenant &Tenant = Tenants_[indexOf(Each.Tenant_)];
      QuotaOffer Offer = lend(Self.Owner_, Self.Fleet_, Each.Tenant_,
                              limitAt(Owner, Tenant), Each.Wanted_, Now_);
      if (Offer.Refused_)
        continue;
      Refused = false;
      Rows.push_back({Each.Tenant_, Offer.Granted_, Offer.RetryAfter_});
    }
    transmit(Owner, Entry, [this, Entry, Owner, Ask, Rows, Refused] {
      finish(Entry, onGrant(Daemons_[Entry].Entry_, Daemons_[Entry].Fleet_,
                            Daemons_[Owner].Fleet_.Self_, Ask.Number_, Refused,
                            Rows, Now_));
      ask(Entry);
    });
  }

  std::vector<Daemon> Daemons_;
  TimePoint Now_;
  std::priority_queue<Event> Events_;
  std::uint64_t Order_ = 0;
  QuotaWaiterId NextRequest_ = 0;
  std::unordered_map<QuotaWaiterId, std::size_t> Waiters_;
};

} // namespace sycamore::test
