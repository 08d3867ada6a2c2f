// Simulates the decision modules of many daemons on a simulated clock and
// network. The seed determines the complete run.
#pragma once

#include "FleetOptions.h"
#include "SimStore.h"
#include "WatchRetry.h"
#include "sycamore/WatchDelegation.h"

#include <algorithm>
#include <iostream>
#include <queue>

namespace sycamore::test {

struct Traffic {
  std::uint64_t Messages_ = 0;
  std::uint64_t Sent_ = 0;     ///< Bytes of encoded messages.
  std::uint64_t Received_ = 0; ///< Bytes of encoded messages.
  std::uint64_t Tickets_ = 0;  ///< Bytes of ticket messages, both directions.
};

struct SimDaemon {
  std::string Name_;
  std::string DataCentre_;
  bool Up_ = false;
  std::uint64_t Generation_ = 0;
  TimePoint FrozenUntil_;
  Duration ClockOffset_{0};
  Membership Members_;
  ConfigReplica Replica_;
  Dissemination Dissemination_;
  Bootstrap Bootstrap_;
  WatchDelegation Delegation_;
  WatchRetry WatchRetry_;
  bool IsReader_ = false;
  bool HasWatched_ = false;            ///< In this process or an earlier one.
  std::uint64_t HighestTicketRun_ = 0; ///< Over all restarts; for promise 1.
  Traffic Traffic_;
  MembershipEvents Events_;
  bool IsFast_ = false;     ///< See TicketCosts.
  TimePoint SendsUntil_;    ///< When its link has sent all that was queued.
  TimePoint ReceivesUntil_; ///< Likewise for what is received.
  std::string Target_;      ///< Announced in every tick unless empty.
};

class FleetSim {
public:
  explicit FleetSim(FleetOptions Options)
      : Options_(withMutation(std::move(Options))), Rng_(Options_.Seed_) {
    std::size_t Count = Options_.DataCentres_ * Options_.PerDataCentre_;
    Daemons_.resize(Count);
    for (std::size_t I = 0; I < Count; ++I) {
      Daemons_[I].DataCentre_ =
          "dc" + std::to_string(I % Options_.DataCentres_);
      Daemons_[I].Name_ = "server-" + std::to_string(I);
      Index_[Daemons_[I].Name_] = I;
      Daemons_[I].IsFast_ =
          I / Options_.DataCentres_ < Options_.Costs_.FastServers_;
      if (Options_.ClockSkew_)
        Daemons_[I].ClockOffset_ =
            milliseconds(static_cast<int>(randomIndex(Rng_, 1000)) - 500);
    }
  }

  FleetOptions Options_;
  std::vector<SimDaemon> Daemons_;
  SimStore Store_;
  /// Whether the network drops every message from one daemon to another.
  std::function<bool(std::size_t From, std::size_t To)> DropsLink_;
  /// Daemons that cannot reach the store.
  std::set<std::size_t> CutOffFromStore_;
  /// Called for every delivered message before it is handled.
  std::function<void(std::size_t To, const wire::PeerMessage &)> OnDelivery_;
  std::vector<std::string> Violations_;
  Random Rng_;

  TimePoint time() const { return Time_; }

  Now now(const SimDaemon &Daemon) const {
    return {Time_, WallTime(WallStart + Time_.time_since_epoch() +
                            Daemon.ClockOffset_)};
  }

  void start(std::size_t I) {
    SimDaemon &Daemon = Daemons_[I];
    Now Time = now(Daemon);
    MembershipConfig Members = Options_.Membership_;
    Members.Name_ = Daemon.Name_;
    Members.DataCentre_ = Daemon.DataCentre_;
    Members.PeerAddress_ = addressOf(I);
    Members.PublicKey_ = std::string(40, 'k');
    Members.LinkMbps_ = linkMbps(Daemon);
    Daemon.Members_ = makeMembership(Members, Time);
    Daemon.Replica_ = makeConfigReplica(Options_.Replica_);
    DisseminationConfig Spread = Options_.DisseminationConfig_;
    Spread.LinkBytesPerSecond_ = bytesPerSecond(Daemon);
    Daemon.Dissemination_ = makeDissemination(Spread, Time);
    BootstrapConfig Boot = Options_.BootstrapConfig_;
    std::vector<wire::ServerRecord> Peers = bootstrapPeers(I);
    for (const wire::ServerRecord &Peer : Peers)
      Boot.Peers_.push_back(Peer.name());
    addSeeds(Daemon.Members_, Peers, Time);
    Daemon.Bootstrap_ = makeBootstrap(Boot, Time, Rng_);
    Daemon.Delegation_ = {};
    Daemon.Delegation_.Config_ = Options_.Delegation_;
    Daemon.WatchRetry_ = {};
    Daemon.Up_ = true;
    Daemon.FrozenUntil_ = Time_;
    ++Daemon.Generation_;
    schedule({Time_ + Duration(randomIndex(Rng_, 20000)), 0, I,
              Daemon.Generation_, nullptr, nullptr});
  }

  void startAll() {
    for (std::size_t I = 0; I < Daemons_.size(); ++I)
      start(I);
  }

  /// Starts all daemons and runs until the fleet serves and every table is
  /// complete.
  bool startAndConverge(Duration Limit = seconds(60)) {
    startAll();
    bool Converged =
        runUntil([this] { return converged() && membershipConverged(); }, Limit,
                 seconds(1))
            .has_value();
    for (SimDaemon &Daemon : Daemons_)
      Daemon.Events_.clear();
    return Converged;
  }

  void kill(std::size_t I) {
    Daemons_[I].Up_ = false;
    ++Daemons_[I].Generation_;
    Store_.Watchers_.erase(I);
  }

  void freeze(std::size_t I, Duration Span) {
    Daemons_[I].FrozenUntil_ = Time_ + Span;
  }

  /// Accepts the next ticket in the store and notifies pending watches.
  AcceptedTicket acceptTicket(std::size_t Padding = 0) {
    AcceptedTicket Accepted = Store_.accept(
        makeChange(Store_.Head_.Number_ + 1, Padding),
        (WallStart + Time_.time_since_epoch()).count(), Options_.Acceptance_);
    for (std::size_t I : Store_.Watchers_)
      if (reachesStore(I)) {
        Store_.recordCall(Time_); // The renewed watch.
        deliverHead(I, false);
      }
    return Accepted;
  }

  /// Admits one target beside each daemon and lets it announce itself.
  void addTargets() {
    Ticket Change = makeChange(Store_.Head_.Number_ + 1);
    for (SimDaemon &Daemon : Daemons_) {
      Daemon.Target_ = "target-of-" + Daemon.Name_;
      Change.Targets_[Daemon.Target_] = TargetSpec{"shelfview", "", 6};
    }
    Store_.accept(Change, 7, Options_.Acceptance_);
  }

  std::set<std::string> eligibleAt(const SimDaemon &Daemon) const {
    std::set<std::string> Out;
    for (const EligibleTarget &Target : eligibleTargets(
             Daemon.Members_, *Daemon.Replica_.Current_, "shelfview"))
      Out.insert(Target.Name_);
    return Out;
  }

  /// How many running daemons would send new work to a target.
  std::size_t eligibleCount(const std::string &Target) const {
    return std::count_if(
        Daemons_.begin(), Daemons_.end(), [&](const SimDaemon &Daemon) {
          return Daemon.Up_ && eligibleAt(Daemon).contains(Target);
        });
  }

  void send(std::size_t From, Outbox &Out) {
    SimDaemon &Sender = Daemons_[From];
    stampSender(Sender.Members_, Out);
    for (OutgoingMessage &Item : Out) {
      std::size_t Bytes = Item.Message_.ByteSizeLong();
      ++Sender.Traffic_.Messages_;
      Sender.Traffic_.Sent_ += Bytes;
      Sender.Traffic_.Tickets_ += isTicketMessage(Item.Message_) ? Bytes : 0;
      auto To = Index_.find(Item.To_);
      if (To == Index_.end() || (DropsLink_ && DropsLink_(From, To->second)))
        continue;
      auto Message =
          std::make_shared<wire::PeerMessage>(std::move(Item.Message_));
      int Copies = randomUnit(Rng_) < Options_.Loss_ ? 0 : 1;
      Copies += randomUnit(Rng_) < Options_.Duplicates_ ? 1 : 0;
      for (int I = 0; I < Copies; ++I)
        schedule({arrival(From, To->second, Bytes), 0, To->second, 0, Message,
                  nullptr});
    }
    Out.clear();
  }

  /// Delivers a message after Delay, regardless of loss and partitions.
  void inject(std::size_t To, const wire::PeerMessage &Message,
              Duration Delay) {
    schedule({Time_ + Delay, 0, To, 0,
              std::make_shared<wire::PeerMessage>(Message), nullptr});
  }

  void run(Duration Span) {
    TimePoint End = Time_ + Span;
    while (!Queue_.empty() && Queue_.top().At_ <= End) {
      Event Next = Queue_.top();
      Queue_.pop();
      Time_ = std::max(Time_, Next.At_);
      handle(Next);
    }
    Time_ = End;
  }

  /// Time until the condition held, checked every Step; unset if it did not
  /// hold within Limit.
  std::optional<Duration> runUntil(const std::function<bool()> &Condition,
                                   Duration Limit,
                                   Duration Step = milliseconds(50)) {
    TimePoint Start = Time_;
    while (!Condition()) {
      if (Time_ - Start >= Limit)
        return std::nullopt;
      run(Step);
    }
    return Time_ - Start;
  }

  /// Whether every running daemon serves with the store's latest ticket.
  bool converged() const {
    return std::all_of(
        Daemons_.begin(), Daemons_.end(), [&](const SimDaemon &Daemon) {
          return !Daemon.Up_ ||
                 (hasFloor(Daemon.Bootstrap_) &&
                  Daemon.Replica_.Current_->Digest_ == Store_.Head_.Digest_);
        });
  }

  /// Whether every running daemon lists exactly the running ones as alive.
  bool membershipConverged() const {
    std::size_t Up = std::count_if(Daemons_.begin(), Daemons_.end(),
                                   [](const auto &D) { return D.Up_; });
    return std::all_of(
        Daemons_.begin(), Daemons_.end(), [&](const SimDaemon &Daemon) {
          if (!Daemon.Up_)
            return true;
          auto Alive = aliveServers(Daemon.Members_);
          return Alive.size() == Up &&
                 std::all_of(Alive.begin(), Alive.end(), [&](const auto &Name) {
                   return Daemons_[Index_.at(Name)].Up_;
                 });
        });
  }

  /// A watch that waited through a restoration of the store shows it at its
  /// next answer, within a second.
  void noticeRestoration(std::size_t I) {
    callLater(I, Duration(randomIndex(Rng_, 1000000)), [this, I] {
      recordStoreRestored(Daemons_[I].Bootstrap_, now(Daemons_[I]));
      readStore(I, false);
    });
  }

  void clearTraffic() {
    for (SimDaemon &Daemon : Daemons_)
      Daemon.Traffic_ = {};
  }

  static std::string addressOf(std::size_t I) {
    return "10.0." + std::to_string(I / 250) + "." + std::to_string(I % 250) +
           ":7400";
  }

private:
  /// A message, a call, or a tick if neither is set.
  struct Event {
    TimePoint At_;
    std::uint64_t Order_ = 0;
    std::size_t To_ = 0;
    std::uint64_t Generation_ = 0;
    std::shared_ptr<wire::PeerMessage> Message_;
    std::shared_ptr<std::function<void()>> Call_;

    bool operator<(const Event &Other) const {
      return std::pair(At_, Order_) > std::pair(Other.At_, Other.Order_);
    }
  };

  static constexpr Duration WallStart = std::chrono::hours(490000);

  void schedule(Event Item) {
    Item.Order_ = NextOrder_++;
    Queue_.push(std::move(Item));
  }

  Duration delay(std::size_t From, std::size_t To) {
    bool Local = Daemons_[From].DataCentre_ == Daemons_[To].DataCentre_;
    return (Local ? Options_.LocalDelay_ : Options_.RemoteDelay_) +
           Duration(randomIndex(Rng_, Options_.ExtraDelay_.count() + 200));
  }

  double linkMbps(const SimDaemon &Daemon) const {
    return Options_.Costs_.LinkMbps_ *
           (Daemon.IsFast_ ? Options_.Costs_.FastLink_ : 1);
  }

  double bytesPerSecond(const SimDaemon &Daemon) const {
    constexpr double BytesPerMegabit = 125'000;
    return linkMbps(Daemon) * BytesPerMegabit;
  }

  /// Time that a link takes for a message. Small ones pass between the packets
  /// of the others.
  Duration transferTime(const SimDaemon &Daemon, std::size_t Bytes) const {
    constexpr std::size_t SmallMessage = 16U << 10U;
    double Rate = bytesPerSecond(Daemon);
    if (Rate == 0 || Bytes < SmallMessage)
      return Duration(0);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(Bytes) / Rate));
  }

  /// When a message that is sent now arrives.
  TimePoint arrival(std::size_t From, std::size_t To, std::size_t Bytes) {
    SimDaemon &Sender = Daemons_[From];
    SimDaemon &Receiver = Daemons_[To];
    TimePoint Departs = std::max(Time_, Sender.FrozenUntil_);
    Duration Sending = transferTime(Sender, Bytes);
    if (Sending > Duration(0))
      Departs = Sender.SendsUntil_ =
          std::max(Departs, Sender.SendsUntil_) + Sending;
    TimePoint Out = Departs + delay(From, To);
    Duration Receiving = transferTime(Receiver, Bytes);
    if (Receiving > Duration(0))
      Out = Receiver.ReceivesUntil_ =
          std::max(Out, Receiver.ReceivesUntil_ + Receiving);
    return Out;
  }

  /// Keeps the event loop busy for the work that was counted since.
  void chargeWork(SimDaemon &Daemon, std::uint64_t PackedBefore,
                  std::uint64_t AppliedBefore) {
    Duration Work =
        Options_.Costs_.Pack_ *
            static_cast<int>(Daemon.Dissemination_.Counters_.BodiesPacked_ -
                             PackedBefore) +
        Options_.Costs_.Apply_ *
            static_cast<int>(Daemon.Replica_.Counters_.Applied_ -
                             AppliedBefore);
    if (Daemon.IsFast_)
      Work = std::chrono::duration_cast<Duration>(Work /
                                                  Options_.Costs_.FastLoop_);
    Daemon.FrozenUntil_ = std::max(Daemon.FrozenUntil_, Time_) + Work;
  }

  /// The first servers of the own data centre and one of the next data centre.
  std::vector<wire::ServerRecord> bootstrapPeers(std::size_t I) const {
    std::vector<wire::ServerRecord> Out;
    if (!Options_.BootstrapPeers_)
      return Out;
    std::size_t Centres = Options_.DataCentres_;
    for (std::size_t Peer : {I % Centres, I % Centres + Centres,
                             I % Centres + 2 * Centres, (I + 1) % Centres}) {
      if (Peer == I || Peer >= Daemons_.size())
        continue;
      wire::ServerRecord Record;
      Record.set_name(Daemons_[Peer].Name_);
      Record.set_data_centre(Daemons_[Peer].DataCentre_);
      Record.set_peer_address(addressOf(Peer));
      Out.push_back(Record);
    }
    return Out;
  }

  static bool isTicketMessage(const wire::PeerMessage &Message) {
    return Message.has_ticket_offer() || Message.has_ticket_pull() ||
           Message.has_ticket_bodies();
  }

  void handle(const Event &Next) {
    SimDaemon &Daemon = Daemons_[Next.To_];
    if (!Daemon.Up_ ||
        (!Next.Message_ && Next.Generation_ != Daemon.Generation_))
      return;
    if (Daemon.FrozenUntil_ > Time_) {
      Event Later = Next;
      Later.At_ = Daemon.FrozenUntil_;
      schedule(std::move(Later));
      return;
    }
    if (Next.Call_)
      (*Next.Call_)();
    else if (Next.Message_)
      deliver(Next.To_, *Next.Message_);
    else
      tick(Next.To_);
    checkTicketMonotonic(Daemon);
  }

  void deliver(std::size_t I, const wire::PeerMessage &Message) {
    SimDaemon &Daemon = Daemons_[I];
    if (OnDelivery_)
      OnDelivery_(I, Message);
    std::size_t Bytes = Message.ByteSizeLong();
    Daemon.Traffic_.Received_ += Bytes;
    Daemon.Traffic_.Tickets_ += isTicketMessage(Message) ? Bytes : 0;
    Now Time = now(Daemon);
    Outbox Out;
    std::uint64_t Packed = Daemon.Dissemination_.Counters_.BodiesPacked_;
    std::uint64_t Applied = Daemon.Replica_.Counters_.Applied_;
    recordEvents(Daemon,
                 receiveMembership(Daemon.Members_, Message, Time, Rng_, Out));
    receiveDissemination(Daemon.Dissemination_, Daemon.Replica_,
                         neighbours(Daemon.Members_), Message, Time, Rng_, Out);
    receiveFloorAnswer(Daemon.Bootstrap_, Daemon.Members_, Daemon.Replica_,
                       Message, Time);
    answerFloorQuery(Daemon.Bootstrap_, Daemon.Members_, Daemon.Replica_,
                     Message, Time, Out);
    receiveWatchDelegation(Daemon.Delegation_, Message, watchState(I), Time,
                           Out);
    setOwnTicket(Daemon.Members_, Daemon.Replica_.Current_->Number_);
    chargeWork(Daemon, Packed, Applied);
    send(I, Out);
  }

  void tick(std::size_t I) {
    SimDaemon &Daemon = Daemons_[I];
    Now Time = now(Daemon);
    Outbox Out;
    if (!Daemon.Target_.empty())
      announceTarget(Daemon.Members_, Daemon.Target_, "shelfview", 6, Time);
    recordEvents(Daemon, tickMembership(Daemon.Members_, Time, Rng_, Out));
    std::vector<std::string> Relays = delegatorsOf(Daemon.Delegation_);
    for (std::string &Name : remoteReaders(Daemon.Members_))
      Relays.push_back(std::move(Name));
    tickDissemination(Daemon.Dissemination_, Daemon.Replica_,
                      Daemon.Members_.Overlay_.LocalNeighbours_, Relays, Time,
                      Rng_, Out);
    BootstrapStep Step = tickBootstrap(Daemon.Bootstrap_, Daemon.Members_,
                                       Daemon.Replica_, Time, Rng_, Out);
    if (Step.ReadStore_)
      readStore(I, true);
    tickStoreReader(I, Time);
    send(I, Out);
    schedule(
        {Time_ + Options_.Tick_, 0, I, Daemon.Generation_, nullptr, nullptr});
  }

  void tickStoreReader(std::size_t I, Now Time) {
    SimDaemon &Daemon = Daemons_[I];
    ReaderStep Step =
        tickReader(Daemon.Bootstrap_, Daemon.Members_, Time, Rng_);
    Daemon.IsReader_ = Step.WatchHead_;
    Outbox Out;
    tickWatchDelegation(Daemon.Delegation_, Daemon.Members_, watchState(I),
                        Time, Rng_, Out);
    send(I, Out);
    tickWatch(I, Time);
    if (Step.ReadHead_)
      readStore(I, false);
    if (!Step.WriteSeeds_)
      return;
    Store_.recordCall(Time_);
    if (reachesStore(I))
      Store_.Seeds_[Daemon.DataCentre_] = *Step.WriteSeeds_;
  }

  WatchState watchState(std::size_t I) const {
    return {Daemons_[I].IsReader_, Store_.Watchers_.contains(I)};
  }

  void tickWatch(std::size_t I, Now Time) {
    SimDaemon &Daemon = Daemons_[I];
    bool Watches = Store_.Watchers_.contains(I);
    if (!Daemon.IsReader_ && !watchesForOthers(Daemon.Delegation_)) {
      Store_.Watchers_.erase(I);
      return;
    }
    if (Watches && !reachesStore(I)) {
      failWatch(I, Time);
      return;
    }
    if (Watches || !mayStartWatch(Daemon.WatchRetry_, Time))
      return;
    recordWatchStarted(Daemon.WatchRetry_, Time);
    Store_.recordCall(Time_);
    if (!reachesStore(I)) {
      failWatch(I, Time);
      return;
    }
    Store_.Watchers_.insert(I);
    // A watch reports no changes made before it began.
    if (Daemon.HasWatched_ || !Daemon.IsReader_)
      readStore(I, false);
    Daemon.HasWatched_ = true;
  }

  void failWatch(std::size_t I, Now Time) {
    SimDaemon &Daemon = Daemons_[I];
    Store_.Watchers_.erase(I);
    recordWatchFailed(Daemon.WatchRetry_, Time, Rng_);
    Outbox Out;
    reportWatchFailed(Daemon.Delegation_, Out);
    send(I, Out);
  }

  bool reachesStore(std::size_t I) const {
    return Store_.Mode_ == StoreMode::Up && !CutOffFromStore_.contains(I);
  }

  void callLater(std::size_t I, Duration Delay, std::function<void()> Call) {
    schedule({Time_ + Delay, 0, I, Daemons_[I].Generation_, nullptr,
              std::make_shared<std::function<void()>>(std::move(Call))});
  }

  void readStore(std::size_t I, bool ForBootstrap) {
    Store_.recordCall(Time_);
    TimePoint Started = Time_;
    if (Store_.Mode_ != StoreMode::Down && !CutOffFromStore_.contains(I)) {
      deliverHead(I, ForBootstrap);
      return;
    }
    callLater(I, Store_.latency(), [this, I, Started, ForBootstrap] {
      finishRead(I, {Started, std::nullopt, {}}, ForBootstrap);
    });
  }

  void deliverHead(std::size_t I, bool ForBootstrap) {
    TimePoint Started = Time_;
    callLater(
        I,
        Store_.latency() +
            transferTime(Daemons_[I], Options_.Costs_.StoredBytes_),
        [this, I, Started, ForBootstrap, Value = Store_.Head_,
         Base = Store_.base() ? std::optional(*Store_.base()) : std::nullopt,
         Seeds = Store_.Seeds_[Daemons_[I].DataCentre_]] {
          SimDaemon &Daemon = Daemons_[I];
          std::uint64_t Applied = Daemon.Replica_.Counters_.Applied_;
          OfferResult Result =
              offerHead(Daemon.Replica_, Value, Base ? &*Base : nullptr);
          setOwnTicket(Daemon.Members_, Daemon.Replica_.Current_->Number_);
          addSeeds(Daemon.Members_, Seeds, now(Daemon));
          recordSeeds(Daemon.Bootstrap_, Seeds);
          chargeWork(Daemon, Daemon.Dissemination_.Counters_.BodiesPacked_,
                     Applied);
          Outbox Out;
          if (Result.Outcome_ == OfferOutcome::Applied) {
            auto Targets = delegatorsOf(Daemon.Delegation_);
            for (std::string &Name : neighbours(Daemon.Members_))
              Targets.push_back(std::move(Name));
            announceTicket(Daemon.Dissemination_, Daemon.Replica_, Targets,
                           now(Daemon), Out);
          }
          send(I, Out);
          finishRead(I, {Started, Value.Number_, Value.Digest_}, ForBootstrap);
        });
  }

  void finishRead(std::size_t I, const StoreReadResult &Read,
                  bool ForBootstrap) {
    if (!ForBootstrap)
      return;
    SimDaemon &Daemon = Daemons_[I];
    Outbox Out;
    onStoreRead(Daemon.Bootstrap_, Daemon.Members_, Daemon.Replica_, Read,
                now(Daemon), Rng_, Out);
    send(I, Out);
  }

  static void recordEvents(SimDaemon &Daemon, MembershipEvents &&Events) {
    Daemon.Events_.insert(Daemon.Events_.end(), Events.begin(), Events.end());
  }

  /// Promise 1: a serving daemon never runs an older ticket than before.
  void checkTicketMonotonic(SimDaemon &Daemon) {
    if (!hasFloor(Daemon.Bootstrap_))
      return;
    std::uint64_t Number = Daemon.Replica_.Current_->Number_;
    if (Number < Daemon.HighestTicketRun_)
      Violations_.push_back(Daemon.Name_ + " runs ticket " +
                            std::to_string(Number) + " after ticket " +
                            std::to_string(Daemon.HighestTicketRun_));
    Daemon.HighestTicketRun_ = std::max(Daemon.HighestTicketRun_, Number);
  }

  std::map<std::string, std::size_t> Index_;
  std::priority_queue<Event> Queue_;
  std::uint64_t NextOrder_ = 0;
  TimePoint Time_{seconds(100)};
};

} // namespace sycamore::test
