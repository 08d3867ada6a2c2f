// Fair sharing of a target's slots between tenants.
#include "TenantShares.h"

#include "AdmissionSlots.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace sycamore {
namespace {

bool haveEqualRank(const Admission &Table, const AdmissionRequest &Left,
                   const AdmissionRequest &Right, TimePoint Now) {
  return !displaces(Table, Left, Right, Now) &&
         !displaces(Table, Right, Left, Now);
}

bool hasTenants(const std::vector<QueuedRequest> &Queue) {
  return std::any_of(Queue.begin(), Queue.end(), [](const auto &Each) {
    return !Each.Request_.Tenant_.empty();
  });
}

/// Work started for a tenant so far; 0 for one that had nothing waiting.
Duration workOf(const Admission &Table, const AdmissionRequest &Request) {
  auto Found = Table.TenantWork_.find({Request.Priority_, Request.Tenant_});
  return Found == Table.TenantWork_.end() ? Duration(0) : Found->second;
}

struct TenantTurn {
  Duration Work_{0};
  std::deque<QueuedRequest> Waiting_;
};

/// Orders requests of equal rank.
void takeTurns(const Admission &Table,
               std::vector<QueuedRequest>::iterator Begin,
               std::vector<QueuedRequest>::iterator End) {
  std::map<std::string, TenantTurn> Turns;
  for (auto Each = Begin; Each != End; ++Each) {
    TenantTurn &Turn = Turns[Each->Request_.Tenant_];
    Turn.Work_ = workOf(Table, Each->Request_);
    Turn.Waiting_.push_back(std::move(*Each));
  }
  for (auto Next = Begin; Next != End; ++Next) {
    auto Least = std::min_element(
        Turns.begin(), Turns.end(), [](const auto &Left, const auto &Right) {
          return Left.second.Work_ < Right.second.Work_;
        });
    TenantTurn &Turn = Least->second;
    Turn.Work_ += costOf(Table, Turn.Waiting_.front().Request_);
    *Next = std::move(Turn.Waiting_.front());
    Turn.Waiting_.pop_front();
    if (Turn.Waiting_.empty())
      Turns.erase(Least);
  }
}

} // namespace

bool shareSlots(const Admission &Table, const AdmissionRequest &Left,
                const AdmissionRequest &Right, TimePoint Now) {
  return Left.Tenant_ != Right.Tenant_ &&
         haveEqualRank(Table, Left, Right, Now);
}

Duration sharedWorkBefore(const Admission &Table,
                          const AdmissionRequest &Request, TimePoint Now) {
  std::map<std::string, Duration> Others;
  Duration Own = costOf(Table, Request);
  for (const QueuedRequest &Each : Table.Queue_) {
    if (isLimitedAsLong(Each.Request_) != isLimitedAsLong(Request))
      continue;
    if (shareSlots(Table, Each.Request_, Request, Now))
      Others[Each.Request_.Tenant_] += costOf(Table, Each.Request_);
    else if (Each.Request_.Tenant_ == Request.Tenant_ &&
             haveEqualRank(Table, Each.Request_, Request, Now) &&
             runsBefore(Table, Each.Request_, Request, Now))
      Own += costOf(Table, Each.Request_);
  }
  Duration Out(0);
  for (const auto &[Name, Work] : Others)
    Out += std::min(Work, Own);
  return Out;
}

void shareQueue(Admission &Table, TimePoint Now) {
  if (!hasTenants(Table.Queue_))
    return;
  auto End = Table.Queue_.end();
  for (auto Begin = Table.Queue_.begin(); Begin != End;) {
    auto Next = std::find_if(Begin, End, [&](const QueuedRequest &Each) {
      return !haveEqualRank(Table, Begin->Request_, Each.Request_, Now);
    });
    takeTurns(Table, Begin, Next);
    Begin = Next;
  }
}

void recordShare(Admission &Table, const AdmissionRequest &Request) {
  if (!Request.Tenant_.empty() || !Table.TenantWork_.empty())
    Table.TenantWork_[{Request.Priority_, Request.Tenant_}] +=
        costOf(Table, Request);
}

void balanceShares(Admission &Table) {
  if (Table.TenantWork_.empty() && !hasTenants(Table.Queue_))
    return;
  std::map<std::uint32_t, Duration> Least;
  std::set<std::pair<std::uint32_t, std::string>> Waiting;
  for (const QueuedRequest &Each : Table.Queue_) {
    std::uint32_t Priority = Each.Request_.Priority_;
    Waiting.emplace(Priority, Each.Request_.Tenant_);
    Duration Work = workOf(Table, Each.Request_);
    auto [Known, Added] = Least.emplace(Priority, Work);
    Known->second = std::min(Known->second, Work);
  }
  std::erase_if(Table.TenantWork_,
                [&](auto &Item) { return !Waiting.contains(Item.first); });
  for (auto &[Owner, Work] : Table.TenantWork_)
    Work -= Least.at(Owner.first);
}

std::vector<QueuedRequest>::iterator
lastOfLargestTenant(Admission &Table, const AdmissionRequest &Request,
                    TimePoint Now) {
  std::map<std::string, Duration> Works;
  std::map<std::string, std::vector<QueuedRequest>::iterator> Last;
  Works[Request.Tenant_] = costOf(Table, Request);
  for (auto Each = Table.Queue_.begin(); Each != Table.Queue_.end(); ++Each) {
    if (!haveEqualRank(Table, Each->Request_, Request, Now))
      continue;
    Works[Each->Request_.Tenant_] += costOf(Table, Each->Request_);
    Last[Each->Request_.Tenant_] = Each;
  }
  auto Largest = std::max_element(Works.begin(), Works.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second < Right.second;
                                  });
  bool IsLarger = Largest->second > Works[Request.Tenant_];
  return IsLarger ? Last.at(Largest->first) : Table.Queue_.end();
}

} // namespace sycamore
