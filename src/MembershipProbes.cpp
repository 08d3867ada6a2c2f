// Direct and indirect probes of ring successors and of silent servers.
#include "MembershipInternal.h"

#include <algorithm>

namespace sycamore::membership {
namespace {

/// Time after which a relayed probe without an answer is dropped.
constexpr Duration RelayedProbeLifetime = seconds(3);

std::vector<std::string> successors(const Membership &Members) {
  const std::vector<std::string> &Ring = Members.Overlay_.Ring_;
  auto Own = std::find(Ring.begin(), Ring.end(), Members.Config_.Name_);
  auto Position = static_cast<std::size_t>(Own - Ring.begin());
  std::vector<std::string> Out;
  std::size_t Count = std::min<std::size_t>(Members.Config_.ProbeSuccessors_,
                                            Ring.empty() ? 0 : Ring.size() - 1);
  for (std::size_t I = 1; I <= Count; ++I)
    Out.push_back(Ring[(Position + I) % Ring.size()]);
  return Out;
}

void sendProbe(Membership &Members, const std::string &To,
               std::uint64_t Sequence, Outbox &Out) {
  appendMessage(Members, Out, To).mutable_probe()->set_sequence(Sequence);
  ++Members.Counters_.ProbesSent_;
}

void markSuspect(Membership &Members, const std::string &Name,
                 MergeContext &Context) {
  ServerRow &Row = Members.Servers_.at(Name);
  if (Row.Record_.state() != wire::SERVER_ALIVE &&
      Row.Record_.state() != wire::SERVER_LEAVING)
    return;
  Row.Record_.set_state(wire::SERVER_SUSPECT);
  Row.StateSince_ = Context.Time_.Monotonic_;
  Members.OverlayStale_ = true;
  scheduleScan(Members, Members.Config_.SuspicionTimeout_);
  ++Members.Counters_.Suspicions_;
  Context.Events_.push_back({MembershipEventKind::ServerSuspect, Name});
  enqueue(Members, {GossipKind::Server, Name, ""}, "");
}

/// Evaluates the last probe round of a server and starts the next one.
void advanceRound(Membership &Members, const std::string &Name,
                  MergeContext &Context, Outbox &Out) {
  ProbeState &State = Members.Probes_[Name];
  if (State.Answered_) {
    State.FailedRounds_ = 0;
  } else {
    ++State.FailedRounds_;
    ++Members.Counters_.ProbeRoundsFailed_;
  }
  std::uint32_t Limit = Members.SilentServers_.contains(Name)
                            ? 1
                            : Members.Config_.FailedRoundLimit_;
  if (State.FailedRounds_ >= Limit) {
    State.FailedRounds_ = 0;
    markSuspect(Members, Name, Context);
  }
  const ServerRow &Row = Members.Servers_.at(Name);
  // Notifies the suspect directly, because only it can refute the suspicion.
  if (Row.Record_.state() == wire::SERVER_SUSPECT)
    addServer(Row, true, *appendMessage(Members, Out, Name).mutable_gossip());
  State.Sequence_ = Members.NextSequence_++;
  State.SentAt_ = Context.Time_.Monotonic_;
  State.Answered_ = State.Indirect_ = false;
  sendProbe(Members, Name, State.Sequence_, Out);
}

void probeIndirectly(Membership &Members, const std::string &Name,
                     const ProbeState &State, Random &Rng, Outbox &Out) {
  std::vector<std::string> Helpers = Members.Overlay_.LocalNeighbours_;
  std::erase(Helpers, Name);
  for (std::uint32_t I = 0;
       I < Members.Config_.IndirectProbes_ && !Helpers.empty(); ++I) {
    std::size_t Chosen = randomIndex(Rng, Helpers.size());
    wire::IndirectProbe &Probe =
        *appendMessage(Members, Out, Helpers[Chosen]).mutable_indirect_probe();
    Probe.set_sequence(State.Sequence_);
    Probe.set_server(Name);
    ++Members.Counters_.IndirectProbesSent_;
    Helpers.erase(Helpers.begin() + static_cast<std::ptrdiff_t>(Chosen));
  }
}

void startRounds(Membership &Members, MergeContext &Context, Outbox &Out) {
  std::vector<std::string> Probed = successors(Members);
  std::erase_if(Members.SilentServers_, [&](const auto &Item) {
    return Context.Time_.Monotonic_ >= Item.second;
  });
  for (const auto &[Name, Until] : Members.SilentServers_)
    if (std::find(Probed.begin(), Probed.end(), Name) == Probed.end())
      Probed.push_back(Name);
  std::erase_if(Members.Probes_, [&](const auto &Item) {
    return std::find(Probed.begin(), Probed.end(), Item.first) == Probed.end();
  });
  for (const std::string &Name : Probed) {
    auto Found = Members.Servers_.find(Name);
    if (Found != Members.Servers_.end() && isLive(Found->second.Record_))
      advanceRound(Members, Name, Context, Out);
  }
  std::erase_if(Members.RelayedProbes_, [&](const auto &Item) {
    return Context.Time_.Monotonic_ - Item.second.StartedAt_ >=
           RelayedProbeLifetime;
  });
}

/// Time until the next probe of a reader that answers. The servers of a large
/// data centre probe less often, so that a reader's traffic is bounded; the
/// first one that finds the readers silent passes tickets on to the others.
Duration readerProbeInterval(const Membership &Members, std::size_t Readers,
                             Random &Rng) {
  constexpr double MaxProbesOfReader = 3; // In each ProbeInterval_.
  double Share = static_cast<double>(Members.Overlay_.Ring_.size()) /
                 (MaxProbesOfReader * static_cast<double>(Readers));
  return jittered(std::chrono::duration_cast<Duration>(
                      Members.Config_.ProbeInterval_ * std::max(1.0, Share)),
                  Rng);
}

/// Probes the readers of the own data centre in turn, beginning with one that
/// depends on this server. Counts probes, not time, so that a late event loop
/// of this server does not look like silent readers.
void tickReaderContact(Membership &Members, Now Time, Outbox &Out) {
  constexpr std::uint32_t MaxUnansweredProbes = 4;
  ReaderContact &Contact = Members.ReaderContact_;
  if (Time.Monotonic_ < Contact.NextProbe_)
    return;
  if (Contact.UnansweredProbes_ >= MaxUnansweredProbes)
    Contact.Lost_ = true;
  std::vector<std::string> Readers =
      readersOf(Members, Members.Config_.DataCentre_);
  // A data centre has no readers while all its servers leave; each of them
  // counts as isolated then and reads the store itself.
  if (Readers.empty() || isReader(Members))
    return;
  std::size_t First = ownRow(Members).RingHash_ % Readers.size();
  sendProbe(Members,
            Readers[(First + Contact.UnansweredProbes_) % Readers.size()],
            Members.NextSequence_++, Out);
  ++Contact.UnansweredProbes_;
  Contact.NextProbe_ = Time.Monotonic_ + Members.Config_.ProbeTimeout_;
}

} // namespace

void tickProbes(Membership &Members, MergeContext &Context, Random &Rng,
                Outbox &Out) {
  TimePoint Time = Context.Time_.Monotonic_;
  if (Time >= Members.NextProbe_) {
    Members.NextProbe_ = Time + Members.Config_.ProbeInterval_;
    startRounds(Members, Context, Out);
  }
  tickReaderContact(Members, Context.Time_, Out);
  for (auto &[Name, State] : Members.Probes_) {
    if (State.Answered_ || State.Indirect_ ||
        Time - State.SentAt_ < Members.Config_.ProbeTimeout_)
      continue;
    State.Indirect_ = true;
    if (Members.Config_.IndirectForTest_)
      probeIndirectly(Members, Name, State, Rng, Out);
  }
}

void recordReaderHeard(Membership &Members, const std::string &Sender,
                       Random &Rng) {
  ReaderContact &Contact = Members.ReaderContact_;
  if (Contact.UnansweredProbes_ == 0)
    return;
  std::vector<std::string> Readers =
      readersOf(Members, Members.Config_.DataCentre_);
  if (std::find(Readers.begin(), Readers.end(), Sender) == Readers.end())
    return;
  Contact = {};
  Contact.NextProbe_ = Members.Time_.Monotonic_ +
                       readerProbeInterval(Members, Readers.size(), Rng);
}

void receiveProbe(Membership &Members, const wire::PeerMessage &Message,
                  Outbox &Out) {
  appendMessage(Members, Out, Message.sender())
      .mutable_probe_ack()
      ->set_sequence(Message.probe().sequence());
}

void receiveIndirectProbe(Membership &Members, const wire::PeerMessage &Message,
                          Outbox &Out) {
  const wire::IndirectProbe &Probe = Message.indirect_probe();
  if (!Members.Servers_.contains(Probe.server()))
    return;
  std::uint64_t Sequence = Members.NextSequence_++;
  Members.RelayedProbes_[Sequence] = {Message.sender(), Probe.sequence(),
                                      Probe.server(), Members.Time_.Monotonic_};
  sendProbe(Members, Probe.server(), Sequence, Out);
}

void receiveProbeAck(Membership &Members, const wire::PeerMessage &Message,
                     Outbox &Out) {
  const wire::ProbeAck &Ack = Message.probe_ack();
  auto Relayed = Members.RelayedProbes_.find(Ack.sequence());
  if (Relayed != Members.RelayedProbes_.end() &&
      Relayed->second.Server_ == Message.sender()) {
    wire::ProbeAck &Forward =
        *appendMessage(Members, Out, Relayed->second.Requester_)
             .mutable_probe_ack();
    Forward.set_sequence(Relayed->second.RequesterSequence_);
    Forward.set_server(Message.sender());
    Forward.set_incarnation(Message.incarnation());
    Members.RelayedProbes_.erase(Relayed);
    return;
  }
  const std::string &Name =
      Ack.server().empty() ? Message.sender() : Ack.server();
  auto Found = Members.Probes_.find(Name);
  if (Found != Members.Probes_.end() &&
      Found->second.Sequence_ == Ack.sequence()) {
    Found->second.Answered_ = true;
    Members.SilentServers_.erase(Name);
  }
}

} // namespace sycamore::membership

namespace sycamore {

void onLinkSilent(Membership &Members, std::string_view Name, Now Time) {
  // Two probe rounds at the default interval.
  constexpr Duration SilentProbeTime = seconds(2);
  const wire::ServerRecord *Record = findServer(Members, Name);
  if (!Record || membership::isOwn(Members, Name) ||
      Record->state() != wire::SERVER_ALIVE)
    return;
  Members.SilentServers_[std::string(Name)] = Time.Monotonic_ + SilentProbeTime;
}

} // namespace sycamore
