// Read-only queries of the membership tables.
#include "MembershipInternal.h"

#include <algorithm>
#include <bit>

namespace sycamore {

using namespace membership;

namespace {

/// Whether calls may be sent to a server: it is alive or suspect, and its last
/// update is more recent than StaleAfter_.
bool isUsable(const Membership &Members, const std::string &Name,
              const ServerRow &Row) {
  if (!isLive(Row.Record_) || Row.Record_.state() == wire::SERVER_LEAVING)
    return false;
  TimePoint LastUpdate =
      std::max(Row.StateSince_, Row.LastHeartbeat_.value_or(Row.StateSince_));
  return isOwn(Members, Name) ||
         Members.Time_.Monotonic_ - LastUpdate < Members.Config_.StaleAfter_;
}

void addIfUsable(const Membership &Members, const wire::TargetRecord &Record,
                 std::vector<EligibleTarget> &Out) {
  auto Server = Members.Servers_.find(Record.server());
  if (Record.gone() || Record.leaving() || Server == Members.Servers_.end() ||
      Record.incarnation() < Server->second.Record_.started() ||
      !isUsable(Members, Server->first, Server->second))
    return;
  Out.push_back({Record.name(), Server->first,
                 Server->second.Record_.data_centre(), Record.slots(),
                 Server->second.Record_.state() == wire::SERVER_SUSPECT,
                 Record.software_version()});
}

void addEligible(const Membership &Members, const std::string &Target,
                 std::vector<EligibleTarget> &Out) {
  for (auto Item = Members.Targets_.lower_bound({Target, ""});
       Item != Members.Targets_.end() && Item->first.first == Target; ++Item)
    addIfUsable(Members, Item->second.Record_, Out);
}

} // namespace

std::vector<std::string> neighbours(const Membership &Members) {
  const Overlay &Links = Members.Overlay_;
  std::vector<std::string> Out = Links.LocalNeighbours_;
  Out.insert(Out.end(), Links.RemoteReaders_.begin(),
             Links.RemoteReaders_.end());
  return Out;
}

std::vector<std::string> remoteReaders(const Membership &Members) {
  return Members.Overlay_.RemoteReaders_;
}

std::vector<std::string> readersOf(const Membership &Members,
                                   std::string_view DataCentre) {
  auto Found = Members.Overlay_.Readers_.find(std::string(DataCentre));
  return Found == Members.Overlay_.Readers_.end() ? std::vector<std::string>{}
                                                  : Found->second;
}

bool isReader(const Membership &Members) {
  auto Readers = readersOf(Members, Members.Config_.DataCentre_);
  return std::find(Readers.begin(), Readers.end(), Members.Config_.Name_) !=
         Readers.end();
}

bool isIsolated(const Membership &Members, Now Time) {
  const MembershipConfig &Config = Members.Config_;
  if (Config.HeardPeersForTest_ &&
      Time.Monotonic_ - Members.HeardAt_ >= 2 * Config.ProbeInterval_)
    return true;
  if (Config.ContactReadersForTest_ && Members.ReaderContact_.Lost_)
    return true;
  std::vector<std::string> Readers = readersOf(Members, Config.DataCentre_);
  // Only a server itself states its incarnation; seeds carry none.
  return Config.ConfirmReadersForTest_ &&
         std::none_of(
             Readers.begin(), Readers.end(), [&](const std::string &Name) {
               const wire::ServerRecord *Record = findServer(Members, Name);
               return Record && Record->incarnation() > 0;
             });
}

std::vector<std::string> aliveServers(const Membership &Members,
                                      std::string_view DataCentre) {
  std::vector<std::string> Out;
  for (const auto &[Name, Row] : Members.Servers_)
    if (isLive(Row.Record_) && Row.Record_.state() != wire::SERVER_LEAVING &&
        (DataCentre.empty() || Row.Record_.data_centre() == DataCentre))
      Out.push_back(Name);
  return Out;
}

int linkClass(const wire::ServerRecord &Record) {
  return static_cast<int>(std::bit_width(Record.link_mbps()));
}

const wire::ServerRecord *findServer(const Membership &Members,
                                     std::string_view Name) {
  auto Found = Members.Servers_.find(std::string(Name));
  return Found == Members.Servers_.end() ? nullptr : &Found->second.Record_;
}

std::vector<EligibleTarget> eligibleTargets(const Membership &Members,
                                            const Snapshot &Current,
                                            std::string_view Service) {
  std::vector<EligibleTarget> Out;
  auto Entity = Current.State_.Services_.find(std::string(Service));
  if (Entity != Current.State_.Services_.end() &&
      Entity->second.AdmitAnnounced_) {
    for (const auto &[Key, Row] : Members.Targets_)
      if (Row.Record_.service() == Service)
        addIfUsable(Members, Row.Record_, Out);
    return Out;
  }
  auto Admitted = Current.TargetsOfService_.find(std::string(Service));
  if (Admitted == Current.TargetsOfService_.end())
    return Out;
  for (const std::string &Target : Admitted->second)
    addEligible(Members, Target, Out);
  return Out;
}

std::vector<FleetRow> fleetView(const Membership &Members, Now Time) {
  std::vector<FleetRow> Out;
  for (const auto &[Name, Row] : Members.Servers_) {
    FleetRow View;
    View.Name_ = Name;
    View.DataCentre_ = Row.Record_.data_centre();
    View.State_ = Row.Record_.state();
    View.Ticket_ = Row.Ticket_;
    View.RejectedTicket_ = Row.RejectedTicket_;
    if (isOwn(Members, Name))
      View.Age_ = Duration(0);
    else if (Row.LastHeartbeat_)
      View.Age_ = Time.Monotonic_ - *Row.LastHeartbeat_;
    Out.push_back(std::move(View));
  }
  return Out;
}

std::uint64_t highestTicketAt(const Membership &Members,
                              std::string_view PeerAddress) {
  std::uint64_t Out = 0;
  for (const auto &[Name, Row] : Members.Servers_)
    if (Row.Record_.peer_address() == PeerAddress)
      Out = std::max(Out, Row.HighestTicket_);
  return Out;
}

} // namespace sycamore
