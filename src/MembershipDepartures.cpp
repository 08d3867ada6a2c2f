// Targets that announced that they leave. The table outlives the daemon beside
// them: a restarted daemon learns its part from peers and from the store, so
// that a delayed announcement does not bring a target back.
#include "MembershipInternal.h"

#include <algorithm>

namespace sycamore {

using namespace membership;

namespace {

void limitDepartures(Membership &Members, const std::string &Server) {
  auto First = Members.Departures_.lower_bound({Server, ""});
  auto Last = First;
  auto Oldest = First;
  std::uint32_t Count = 0;
  for (; Last != Members.Departures_.end() && Last->first.first == Server;
       ++Last, ++Count)
    if (Last->second.StartedUnixMs_ < Oldest->second.StartedUnixMs_)
      Oldest = Last;
  if (Count > Members.Config_.MaxDepartedTargets_)
    Members.Departures_.erase(Oldest);
}

/// Returns false if this or a later process is known to have departed.
bool addDeparture(Membership &Members, const wire::DepartedTarget &Departure,
                  TimePoint Time) {
  if (Departure.server().empty() || Departure.name().empty())
    return false;
  auto [Found, New] = Members.Departures_.try_emplace(
      std::pair(Departure.server(), Departure.name()));
  DepartureRow &Row = Found->second;
  if (!New && Departure.started_unix_ms() <= Row.StartedUnixMs_)
    return false;
  Row = {Departure.started_unix_ms(), Time};
  limitDepartures(Members, Departure.server());
  return true;
}

} // namespace

bool recordDeparture(Membership &Members, std::string_view Target,
                     std::int64_t StartedUnixMs, Now Time, Outbox &Out) {
  wire::DepartedTarget Departure;
  Departure.set_server(Members.Config_.Name_);
  Departure.set_name(std::string(Target));
  Departure.set_started_unix_ms(StartedUnixMs);
  if (!addDeparture(Members, Departure, Time.Monotonic_))
    return false;
  enqueue(Members,
          {GossipKind::Departure, Departure.name(), Departure.server()}, "");
  for (const std::string &Neighbour : neighbours(Members))
    *appendMessage(Members, Out, Neighbour).mutable_gossip()->add_departed() =
        Departure;
  return true;
}

void learnDepartures(Membership &Members,
                     std::span<const wire::DepartedTarget> Departures,
                     Now Time) {
  for (const wire::DepartedTarget &Departure : Departures)
    addDeparture(Members, Departure, Time.Monotonic_);
}

std::optional<std::int64_t> departedProcess(const Membership &Members,
                                            std::string_view Target) {
  auto Found =
      Members.Departures_.find({Members.Config_.Name_, std::string(Target)});
  if (Found == Members.Departures_.end())
    return std::nullopt;
  return Found->second.StartedUnixMs_;
}

std::vector<wire::DepartedTarget> departuresOf(const Membership &Members,
                                               const std::string &Server) {
  std::vector<wire::DepartedTarget> Out;
  if (!Members.Config_.ReturnDeparturesForTest_)
    return Out;
  for (auto Item = Members.Departures_.lower_bound({Server, ""});
       Item != Members.Departures_.end() && Item->first.first == Server;
       ++Item) {
    wire::DepartedTarget &Departure = Out.emplace_back();
    Departure.set_server(Server);
    Departure.set_name(Item->first.second);
    Departure.set_started_unix_ms(Item->second.StartedUnixMs_);
  }
  return Out;
}

namespace membership {

void mergeDeparture(Membership &Members, const wire::DepartedTarget &Departure,
                    MergeContext &Context) {
  GossipKey Key{GossipKind::Departure, Departure.name(), Departure.server()};
  if (!Members.Servers_.contains(Departure.server()) ||
      !addDeparture(Members, Departure, Context.Time_.Monotonic_)) {
    ++Members.Counters_.RecordsIgnored_;
    auto Known =
        Members.Departures_.find({Departure.server(), Departure.name()});
    if (Known != Members.Departures_.end() &&
        Known->second.StartedUnixMs_ == Departure.started_unix_ms())
      noteDuplicate(Members, Key, Context.Source_);
    return;
  }
  enqueue(Members, Key, Context.Source_);
}

void expireDepartures(Membership &Members, TimePoint Time) {
  std::erase_if(Members.Departures_, [&](const auto &Item) {
    return Time - Item.second.LearnedAt_ >= Members.Config_.DepartedRetention_;
  });
}

} // namespace membership
} // namespace sycamore
