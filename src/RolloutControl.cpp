// Orders, states and reports of roll-outs, and the entry daemon's requests.
#include "RolloutControl.h"

#include "Rendezvous.h"
#include "sycamore/Log.h"

#include <algorithm>
#include <xxhash.h>

namespace sycamore {
namespace {

/// A holder that has not been heard of for this long is replaced. Each further
/// span lets one more daemon try.
constexpr Duration HolderTimeout = milliseconds(1500);
constexpr Duration OrderScanInterval = milliseconds(50);

/// Between two messages with the verdicts, for daemons that missed them.
constexpr Duration FinishedStatesInterval = seconds(5);

/// Services whose states are taken from peers.
constexpr std::size_t MaxServices = 1000;

std::string_view phaseName(wire::RolloutPhase Phase) {
  switch (Phase) {
  case wire::ROLLOUT_COMPLETED:
    return "completed";
  case wire::ROLLOUT_ROLLED_BACK:
    return "rolled_back";
  default:
    return "running";
  }
}

bool isSameOrder(const RolloutOrder &Left, const RolloutOrder &Right) {
  return Left.TargetVersion_ == Right.TargetVersion_ &&
         Left.Duration_ == Right.Duration_;
}

} // namespace

RolloutControl::RolloutControl(const Settings &Config, ControlPlane &Control,
                               Store &StoreClient, const Integration *Adapter,
                               Random &Rng, std::uint64_t Process,
                               OutboxSender Send)
    : Settings_(Config), Control_(Control), Store_(StoreClient),
      Integration_(Adapter), Rng_(Rng), Process_(Process),
      Send_(std::move(Send)) {}

void RolloutControl::onStoreValue(const KeyValue &Entry, Now Time) {
  // A deleted order stays in force.
  if (!Integration_ || !Integration_->isRolloutOrder(Entry.Key_) ||
      Entry.Value_.empty())
    return;
  auto Order = Integration_->parseRolloutOrder(Entry);
  if (!Order) {
    ++Counters_.OrdersRejected_;
    logEvent(LogEvent::RolloutOrderRejected,
             {{"key", Entry.Key_}, {"error", describe(Order.error())}});
    return;
  }
  if (auto Known = Orders_.find(Order->Service_); Known != Orders_.end()) {
    std::int64_t Before = Known->second.Order_.Revision_;
    if (Order->Revision_ == Before ||
        (StoreRestored_ && isSameOrder(*Order, Known->second.Order_)))
      return;
    if (Order->Revision_ < Before && !StoreRestored_)
      return;
    // A restored store gives lower revisions out again.
    Order->Revision_ = std::max(Order->Revision_, Before + 1);
  }
  ++Counters_.Orders_;
  logEvent(LogEvent::RolloutOrdered,
           {{"service", Order->Service_},
            {"target_version", Order->TargetVersion_},
            {"duration_ms", toMilliseconds(Order->Duration_)},
            {"revision", Order->Revision_}});
  Held_.erase(Order->Service_);
  Orders_[Order->Service_] = {*Order, Time.Monotonic_, false};
  NextOrderScan_ = Time.Monotonic_;
}

void RolloutControl::onStoreRestored() {
  StoreRestored_ = true;
  for (auto &[Service, Known] : Orders_)
    Known.Settled_ = false;
  for (auto &[Service, Held] : Held_) {
    Held.MustRead_ = true;
    Held.Stored_ = false;
    Held.Published_ = false;
  }
}

void RolloutControl::sendTo(const std::string &Server,
                            wire::PeerMessage Message) {
  Outbox Out;
  OutgoingMessage &Outgoing = Out.emplace_back();
  Outgoing.To_ = Server;
  Outgoing.Message_ = std::move(Message);
  stampSender(Control_.members(), Out);
  Send_(Out);
}

void RolloutControl::spread(const wire::RolloutState &State,
                            const std::string &Except) {
  for (const std::string &Neighbour : neighbours(Control_.members())) {
    if (Neighbour == Except)
      continue;
    wire::PeerMessage Message;
    *Message.mutable_rollout_state() = State;
    sendTo(Neighbour, std::move(Message));
  }
}

void RolloutControl::sendStates(const std::string &Server) {
  for (const auto &[Service, Entry] : Table_.Rollouts_) {
    wire::PeerMessage Message;
    *Message.mutable_rollout_state() = Entry.State_;
    sendTo(Server, std::move(Message));
  }
}

bool RolloutControl::applyState(const wire::RolloutState &State,
                                const std::string &Source, Now Time) {
  auto Known = Table_.Rollouts_.find(State.service());
  bool Changes =
      Known == Table_.Rollouts_.end() ||
      Known->second.State_.order_revision() != State.order_revision() ||
      Known->second.State_.phase() != State.phase() ||
      Known->second.State_.share_permille() != State.share_permille();
  if (!applyRolloutState(Table_, State, Time.Monotonic_, Rng_))
    return false;
  if (Changes)
    logEvent(LogEvent::RolloutStep, {{"service", State.service()},
                                     {"target_version", State.target_version()},
                                     {"revision", State.order_revision()},
                                     {"step", State.step()},
                                     {"share_permille", State.share_permille()},
                                     {"phase", phaseName(State.phase())},
                                     {"holder", State.holder()},
                                     {"from", Source}});
  return true;
}

void RolloutControl::receive(const wire::PeerMessage &Message, Now Time) {
  if (Message.has_rollout_state()) {
    const wire::RolloutState &State = Message.rollout_state();
    if (State.service().empty() || State.share_permille() > FullSharePermille ||
        (Table_.Rollouts_.size() >= MaxServices &&
         !Table_.Rollouts_.contains(State.service())))
      return;
    ++Counters_.StatesReceived_;
    if (!applyState(State, Message.sender(), Time))
      return;
    // Another holder that the store has let take over.
    if (auto Held = Held_.find(State.service());
        Held != Held_.end() && State.holder() != Settings_.Server_)
      release(State.service(), /*Settled=*/false);
    spread(State, Message.sender());
  } else if (Message.has_rollout_report()) {
    const wire::RolloutReport &Report = Message.rollout_report();
    ++Counters_.ReportsReceived_;
    if (auto Held = Held_.find(Report.service()); Held != Held_.end())
      addRolloutReport(Held->second.Holder_, Message.sender(),
                       Message.process(), Report, Time.Monotonic_);
    else
      correctReporter(Report, Message.sender());
  } else if (Message.has_floor_query() && !Table_.Rollouts_.empty()) {
    sendStates(Message.sender());
  }
}

// A daemon that was cut off reports a roll-out that has ended meanwhile.
void RolloutControl::correctReporter(const wire::RolloutReport &Report,
                                     const std::string &Server) {
  auto Known = Table_.Rollouts_.find(Report.service());
  if (Known == Table_.Rollouts_.end() || !isFinished(Known->second.State_) ||
      Report.step() >= Known->second.State_.step())
    return;
  wire::PeerMessage Message;
  *Message.mutable_rollout_state() = Known->second.State_;
  sendTo(Server, std::move(Message));
}

void RolloutControl::recordSent(std::uint64_t Ordinal,
                                const std::string &Service,
                                const std::string &Route,
                                const TargetKey &Target, TimePoint Time) {
  if (!Table_.Rollouts_.contains(Service))
    return;
  const auto &Targets = Control_.members().Targets_;
  auto Found = Targets.find(Target);
  if (Found != Targets.end())
    recordRolloutSent(Table_, Ordinal, Service, Route,
                      Found->second.Record_.software_version(),
                      Found->second.LearnedAt_, Time);
}

void RolloutControl::recordEnd(std::uint64_t Ordinal, const std::string &Server,
                               AttemptOutcome Outcome,
                               const wire::CallAnswer *Answer, TimePoint Time) {
  if (Table_.Attempts_.empty())
    return;
  constexpr std::uint32_t FirstServerError = 500;
  RolloutOutcome Out = RolloutOutcome::NotRun;
  switch (Outcome) {
  case AttemptOutcome::Done:
    Out = Answer && Answer->status() >= FirstServerError
              ? RolloutOutcome::Failed
              : RolloutOutcome::Answered;
    break;
  case AttemptOutcome::Cancelled:
    Out = RolloutOutcome::Cancelled;
    break;
  case AttemptOutcome::Lost:
  case AttemptOutcome::TimedOut: {
    const wire::ServerRecord *Record = findServer(Control_.members(), Server);
    bool IsAlive = Record && Record->state() == wire::SERVER_ALIVE;
    Out = IsAlive ? RolloutOutcome::Failed : RolloutOutcome::Unjudged;
    break;
  }
  default:
    break;
  }
  recordRolloutEnd(Table_, Ordinal, Out, Time);
}

void RolloutControl::tickReports(Now Time) {
  countOverdue(Table_, Time.Monotonic_);
  for (auto &[Service, Entry] : Table_.Rollouts_) {
    bool HasNews = Time.Monotonic_ - Entry.HeardAt_ < RolloutNewsTimeout;
    if ((isFinished(Entry.State_) && !HasNews) ||
        !isReportDue(Entry, Time.Monotonic_))
      continue;
    wire::RolloutReport Report = makeRolloutReport(Entry, Time.Monotonic_);
    ++Counters_.ReportsSent_;
    if (Entry.State_.holder() == Settings_.Server_) {
      if (auto Held = Held_.find(Service); Held != Held_.end())
        addRolloutReport(Held->second.Holder_, Settings_.Server_, Process_,
                         Report, Time.Monotonic_);
      continue;
    }
    wire::PeerMessage Message;
    *Message.mutable_rollout_report() = std::move(Report);
    sendTo(Entry.State_.holder(), std::move(Message));
  }
}

void RolloutControl::tickFinishedStates(Now Time) {
  if (Time.Monotonic_ < NextFinishedStates_)
    return;
  NextFinishedStates_ = Time.Monotonic_ + FinishedStatesInterval;
  std::vector<std::string> Peers = neighbours(Control_.members());
  if (!Peers.empty())
    sendStates(Peers[randomIndex(Rng_, Peers.size())]);
}

std::size_t RolloutControl::holderRank(const std::string &Service,
                                       const std::string &Without) const {
  std::uint64_t Key = XXH3_64bits(Service.data(), Service.size());
  auto Weight = [&](const std::string &Name) {
    return std::pair(rendezvousWeight(Name, Key), Name);
  };
  std::size_t Readers = 0;
  std::size_t Ahead = 0;
  bool IsReader = false;
  for (const auto &[DataCentre, Names] : Control_.members().Overlay_.Readers_)
    for (const std::string &Name : Names) {
      IsReader |= Name == Settings_.Server_;
      if (Name == Without || Name == Settings_.Server_)
        continue;
      ++Readers;
      Ahead += Weight(Name) > Weight(Settings_.Server_) ? 1 : 0;
    }
  // A daemon that watches the store for readers comes after them.
  return IsReader ? Ahead : Readers;
}

bool RolloutControl::mayTakeOver(const KnownOrder &Known, Now Time) const {
  if (Known.Settled_ || Held_.contains(Known.Order_.Service_))
    return false;
  auto Found = Table_.Rollouts_.find(Known.Order_.Service_);
  bool HasState =
      Found != Table_.Rollouts_.end() &&
      Found->second.State_.order_revision() >= Known.Order_.Revision_;
  std::string Former = HasState ? Found->second.State_.holder() : "";
  TimePoint Since = HasState ? Found->second.HeardAt_ : Known.LearnedAt_;
  if (Former == Settings_.Server_)
    Former.clear();
  std::int64_t Spans = (Time.Monotonic_ - Since) / HolderTimeout;
  // Without any state the first daemon begins at once.
  std::int64_t Needed =
      static_cast<std::int64_t>(holderRank(Known.Order_.Service_, Former)) +
      (HasState ? 1 : 0);
  return Spans >= Needed;
}

void RolloutControl::tickOrders(Now Time) {
  if (Orders_.empty() || Time.Monotonic_ < NextOrderScan_)
    return;
  NextOrderScan_ = Time.Monotonic_ + OrderScanInterval;
  for (const auto &[Service, Known] : Orders_)
    if (mayTakeOver(Known, Time))
      takeOver(Known.Order_, Time);
}

RolloutFleet RolloutControl::fleetOf(const RolloutOrder &Order) const {
  RolloutFleet Out;
  // A suspect may be dead, and a daemon that is cut off ends by itself.
  for (std::string &Server : aliveServers(Control_.members()))
    if (findServer(Control_.members(), Server)->state() == wire::SERVER_ALIVE)
      Out.Servers_.push_back(std::move(Server));
  for (const EligibleTarget &Target : eligibleTargets(
           Control_.members(), *Control_.snapshot(), Order.Service_))
    (Target.Version_ == Order.TargetVersion_ ? Out.NewSlots_ : Out.OldSlots_) +=
        Target.Slots_;
  return Out;
}

void RolloutControl::tick(Now Time) {
  if (Orders_.empty() && Table_.Rollouts_.empty())
    return;
  tickOrders(Time);
  tickReports(Time);
  tickFinishedStates(Time);
  // A roll-out may end within its own tick.
  std::vector<std::string> Services;
  for (const auto &[Service, Held] : Held_)
    Services.push_back(Service);
  for (const std::string &Service : Services)
    if (auto Held = Held_.find(Service); Held != Held_.end())
      tickHeld(Held->second, Time);
}

} // namespace sycamore
