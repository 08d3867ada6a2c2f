// Which server lends the tokens of a tenant, and from when on.
#include "Rendezvous.h"
#include "sycamore/TenantQuota.h"

#include <algorithm>

namespace sycamore {
namespace {

std::uint64_t shareKey(std::string_view Tenant, std::size_t Share) {
  return rendezvousWeight(Tenant, Share);
}

/// Whether the groups have the same data centres.
bool sameGroups(const std::vector<QuotaGroup> &Left,
                const std::vector<QuotaGroup> &Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(),
                    [](const QuotaGroup &A, const QuotaGroup &B) {
                      return A.DataCentre_ == B.DataCentre_;
                    });
}

bool sameServers(const QuotaGroup &Left, const QuotaGroup &Right) {
  return std::equal(Left.Servers_.begin(), Left.Servers_.end(),
                    Right.Servers_.begin(), Right.Servers_.end(),
                    [](const QuotaServer &A, const QuotaServer &B) {
                      return A.Name_ == B.Name_ && A.State_ == B.State_ &&
                             A.Since_ == B.Since_ && A.Heard_ == B.Heard_;
                    });
}

const QuotaServer *highest(const QuotaGroup &Group, std::uint64_t Key) {
  const QuotaServer *Out = nullptr;
  std::uint64_t Weight = 0;
  for (const QuotaServer &Each : Group.Servers_) {
    std::uint64_t Candidate = rendezvousWeight(Each.Name_, Key);
    if (Each.State_ != QuotaServerState::Alive || (Out && Candidate <= Weight))
      continue;
    Out = &Each;
    Weight = Candidate;
  }
  return Out;
}

/// Until when a server that is no longer alive may lend as owner.
TimePoint lendsUntil(const QuotaServer &Server) {
  return Server.Since_ + (Server.State_ == QuotaServerState::Left
                              ? QuotaGossipWait
                              : QuotaTakeoverWait);
}

} // namespace

QuotaLimit quotaOf(const Tenant &Value) {
  return {static_cast<double>(Value.RequestsPerSecond_),
          static_cast<double>(Value.Burst_)};
}

std::size_t knownServers(const QuotaGroup &Group) {
  return static_cast<std::size_t>(std::count_if(
      Group.Servers_.begin(), Group.Servers_.end(),
      [](const auto &Each) { return Each.State_ != QuotaServerState::Left; }));
}

double heardPart(const QuotaGroup &Group) {
  auto Heard = std::count_if(
      Group.Servers_.begin(), Group.Servers_.end(), [](const auto &Each) {
        return Each.State_ != QuotaServerState::Left && Each.Heard_;
      });
  std::size_t Known = knownServers(Group);
  return Known == 0 ? 0
                    : static_cast<double>(Heard) / static_cast<double>(Known);
}

void updateFleet(QuotaFleet &Fleet, std::vector<QuotaGroup> Next,
                 TimePoint Now) {
  std::erase_if(Next, [](const auto &Each) { return knownServers(Each) == 0; });
  bool Moved = !sameGroups(Fleet.Groups_, Next);
  bool Changed = Moved;
  for (std::size_t I = 0; I < Next.size(); ++I) {
    QuotaGroup &Group = Next[I];
    Group.Quorum_ = heardPart(Group) > 0.5;
    auto Before = std::find_if(Fleet.Groups_.begin(), Fleet.Groups_.end(),
                               [&](const QuotaGroup &Each) {
                                 return Each.DataCentre_ == Group.DataCentre_;
                               });
    bool Kept = Before != Fleet.Groups_.end();
    Group.QuorumSince_ =
        Kept && Before->Quorum_ && Group.Quorum_ ? Before->QuorumSince_ : Now;
    Changed = Changed || !Kept || !sameServers(*Before, Group);
  }
  if (!Changed)
    return;
  Fleet.Groups_ = std::move(Next);
  if (Moved)
    Fleet.GroupsSince_ = Now;
  ++Fleet.Version_;
}

const QuotaGroup *groupOfShare(const QuotaFleet &Fleet, std::string_view Tenant,
                               std::size_t Share) {
  if (Fleet.Groups_.empty())
    return nullptr;
  // Three shares of a tenant are in three data centres, if there are as many.
  std::uint64_t First = shareKey(Tenant, QuotaShares) % Fleet.Groups_.size();
  return &Fleet.Groups_[(First + Share) % Fleet.Groups_.size()];
}

std::string ownerOfShare(const QuotaFleet &Fleet, std::string_view Tenant,
                         std::size_t Share) {
  const QuotaGroup *Group = groupOfShare(Fleet, Tenant, Share);
  const QuotaServer *Owner =
      Group ? highest(*Group, shareKey(Tenant, Share)) : nullptr;
  return Owner ? Owner->Name_ : std::string();
}

std::optional<TimePoint> lendsFrom(const QuotaFleet &Fleet,
                                   std::string_view Tenant, std::size_t Share) {
  const QuotaGroup *Group = groupOfShare(Fleet, Tenant, Share);
  if (!Group || !Group->Quorum_ || Group->DataCentre_ != Fleet.DataCentre_)
    return std::nullopt;
  std::uint64_t Key = shareKey(Tenant, Share);
  const QuotaServer *Owner = highest(*Group, Key);
  if (!Owner || Owner->Name_ != Fleet.Self_)
    return std::nullopt;
  // Another server may have taken the share while this one was cut off.
  TimePoint Out =
      std::max(Group->QuorumSince_, Fleet.GroupsSince_) + QuotaGossipWait;
  std::uint64_t OwnWeight = rendezvousWeight(Fleet.Self_, Key);
  for (const QuotaServer &Each : Group->Servers_)
    if (Each.State_ != QuotaServerState::Alive &&
        rendezvousWeight(Each.Name_, Key) > OwnWeight)
      Out = std::max(Out, lendsUntil(Each));
  return Out;
}

} // namespace sycamore
