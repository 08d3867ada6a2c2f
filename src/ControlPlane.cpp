// Connects the control-plane modules to the store and to peers.
#include "ControlPlane.h"

#include "Seeds.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <algorithm>

namespace sycamore {
namespace {

MembershipConfig membershipConfig(const Settings &Config,
                                  const std::string &PeerAddress,
                                  const std::string &PublicKey,
                                  std::uint64_t Process) {
  MembershipConfig Out;
  Out.Name_ = Config.Server_;
  Out.DataCentre_ = Config.DataCentre_;
  Out.PeerAddress_ = PeerAddress;
  Out.PublicKey_ = PublicKey;
  Out.Process_ = Process;
  Out.LinkMbps_ = Config.Limits_.LinkMbps_;
  Out.GossipInterval_ = Config.Timing_.GossipInterval_;
  Out.ProbeInterval_ = Config.Timing_.ProbeInterval_;
  Out.ProbeTimeout_ = Config.Timing_.ProbeTimeout_;
  Out.SuspicionTimeout_ = Config.Timing_.Suspect_;
  Out.SyncInterval_ = Config.Timing_.SyncInterval_;
  Out.ReadersPerDataCentre_ =
      static_cast<std::uint32_t>(Config.Limits_.ReadersPerDataCentre_);
  return Out;
}

DisseminationConfig disseminationConfig(const Settings &Config) {
  constexpr double BytesPerMegabit = 125'000;
  DisseminationConfig Out;
  Out.LinkBytesPerSecond_ = Config.Limits_.LinkMbps_ * BytesPerMegabit;
  return Out;
}

ConfigReplicaConfig replicaConfig(const Settings &Config,
                                  const Integration *Adapter) {
  ConfigReplicaConfig Out;
  if (Adapter)
    Out.ParseDocument_ = [Adapter](std::string_view Text,
                                   const ParsedDocument &Before) {
      return Adapter->parseConfiguration(Text, Before);
    };
  for (const OperatorEntry &Entry : Config.Operators_)
    if (Entry.MayApprove_)
      Out.Operators_[Entry.Name_] = Entry.PublicKey_;
  return Out;
}

ConfigFreshnessConfig freshnessConfig(const Settings &Config,
                                      std::uint64_t Process) {
  ConfigFreshnessConfig Out;
  Out.MaxAge_ = Config.Revocation_.MaxAge_;
  Out.Process_ = Process;
  return Out;
}

BootstrapConfig bootstrapConfig(const Settings &Config) {
  BootstrapConfig Out;
  for (const BootstrapPeer &Peer : Config.BootstrapPeers_)
    Out.Peers_.push_back(Peer.Name_);
  Out.HeadInterval_ = Config.Timing_.HeadReadInterval_;
  Out.MaxReadDelay_ = Config.Timing_.StartJitter_;
  Out.MinRetryDelay_ = Config.Timing_.StartRetry_;
  Out.MaxRetryDelay_ = Config.Timing_.StartRetry_ * 2;
  // In a simultaneous restart, daemons find each other through store reads that
  // are spread over StartJitter_; until then every daemon would consider itself
  // a reader.
  Out.ReaderDelay_ =
      std::max<Duration>(seconds(1), Config.Timing_.StartJitter_);
  return Out;
}

LogEvent logEventOf(MembershipEventKind Kind) {
  switch (Kind) {
  case MembershipEventKind::ServerJoined:
    return LogEvent::ServerJoined;
  case MembershipEventKind::ServerAlive:
    return LogEvent::ServerAlive;
  case MembershipEventKind::ServerSuspect:
    return LogEvent::ServerSuspect;
  case MembershipEventKind::ServerLeaving:
    return LogEvent::ServerLeaving;
  case MembershipEventKind::ServerLeft:
    return LogEvent::ServerLeft;
  case MembershipEventKind::ServerDead:
    return LogEvent::ServerDead;
  case MembershipEventKind::TargetChanged:
    return LogEvent::TargetChanged;
  case MembershipEventKind::OwnIncarnationRaised:
    return LogEvent::IncarnationRaised;
  case MembershipEventKind::WokeFromFreeze:
    return LogEvent::WokeFromFreeze;
  }
  return LogEvent::ServerJoined;
}

/// This daemon's view of a target on each server that has announced it.
Json targetFields(const Membership &Members, const std::string &Name) {
  Json Out = {{"target", Name}};
  for (auto Item = Members.Targets_.lower_bound({Name, ""});
       Item != Members.Targets_.end() && Item->first.first == Name; ++Item) {
    const wire::TargetRecord &Record = Item->second.Record_;
    Out["on"].push_back({{"peer", Record.server()},
                         {"service", Record.service()},
                         {"state", Record.gone()      ? "gone"
                                   : Record.leaving() ? "leaving"
                                                      : "usable"},
                         {"incarnation", Record.incarnation()},
                         {"version", Record.version()}});
  }
  return Out;
}

void logMembership(const Membership &Members, const MembershipEvents &Events) {
  for (const MembershipEvent &Event : Events) {
    LogEvent Type = logEventOf(Event.Kind_);
    if (Event.Kind_ == MembershipEventKind::TargetChanged) {
      if (shouldLogEvent(Type))
        writeEvent(Type, targetFields(Members, Event.Name_));
      continue;
    }
    const wire::ServerRecord *Record = findServer(Members, Event.Name_);
    logEvent(Type, {{"peer", Event.Name_},
                    {"incarnation", Record ? Record->incarnation() : 0}});
  }
}

void logBootstrap(const std::vector<BootstrapEvent> &Events) {
  for (const BootstrapEvent &Event : Events)
    logEvent(
        Event.Kind_ == BootstrapEventKind::FloorReached ? LogEvent::FloorReached
                                                        : LogEvent::FloorKnown,
        {{"basis", floorBasisName(Event.Basis_)}, {"ticket", Event.Number_}});
}

void logRejection(std::uint64_t Number, std::string_view Source,
                  const std::optional<Error> &Failure) {
  logEvent(LogEvent::TicketRejected,
           {{"ticket", Number},
            {"from", Source},
            {"error", Failure ? describe(*Failure) : ""}});
}

void logApplied(std::uint64_t Number, std::string_view Source,
                const TicketArrival &Arrival, Now Time) {
  Duration Known =
      Arrival.OfferedAt_ ? Time.Monotonic_ - *Arrival.OfferedAt_ : Duration(0);
  logEvent(LogEvent::TicketApplied, {{"ticket", Number},
                                     {"from", Source},
                                     {"known_ms", toMilliseconds(Known)},
                                     {"pulls", Arrival.Pulls_},
                                     {"pull_timeouts", Arrival.PullTimeouts_}});
}

Result<Snapshot> parseStoredSnapshot(const std::string &Text) {
  JsonLimits Limits;
  Limits.MaxBytes_ = MaxStoreValueBytes;
  return parseJson(Text, "snapshot", Limits).and_then([](const Json &Document) {
    return parseSnapshot(Document, "snapshot");
  });
}

} // namespace

ControlPlane::ControlPlane(const Settings &Config,
                           const std::string &PeerAddress,
                           const std::string &PublicKey, std::uint64_t Process,
                           Store &StoreClient, const Integration *Adapter,
                           Random &Rng, LoopWork &Work, OutboxSender Send,
                           Now Time)
    : Settings_(Config), Store_(StoreClient), Integration_(Adapter), Rng_(Rng),
      Work_(Work), Send_(std::move(Send)),
      Members_(makeMembership(
          membershipConfig(Config, PeerAddress, PublicKey, Process), Time)),
      Replica_(makeConfigReplica(replicaConfig(Config, Adapter))),
      Dissemination_(makeDissemination(disseminationConfig(Config), Time)),
      Bootstrap_(makeBootstrap(bootstrapConfig(Config), Time, Rng)),
      Freshness_(makeConfigFreshness(freshnessConfig(Config, Process), Time)) {
  addSeeds(Members_, bootstrapRecords(Config), Time);
}

void ControlPlane::send(Outbox &Out) {
  stampSender(Members_, Out);
  Send_(Out);
}

void ControlPlane::tick(Now Time) {
  Outbox Out;
  logMembership(Members_, tickMembership(Members_, Time, Rng_, Out));
  std::vector<std::string> Relays = delegatorsOf(Delegation_);
  std::vector<std::string> Remote = remoteReaders(Members_);
  Relays.insert(Relays.end(), Remote.begin(), Remote.end());
  tickDissemination(Dissemination_, Replica_, neighbours(Members_), Relays,
                    Time, Rng_, Out);
  BootstrapStep Step =
      tickBootstrap(Bootstrap_, Members_, Replica_, Time, Rng_, Out);
  logBootstrap(Step.Events_);
  if (Step.ReadStore_)
    readStore(/*ForFloor=*/true, Time);
  ReaderStep ReaderActions = tickReader(Bootstrap_, Members_, Time, Rng_);
  if (ReaderActions.WatchHead_ != IsReader_) {
    IsReader_ = ReaderActions.WatchHead_;
    logEvent(
        IsReader_ ? LogEvent::ReaderBegan : LogEvent::ReaderEnded,
        {{"data_centre", Settings_.DataCentre_},
         {"servers", Members_.Servers_.size()},
         {"isolated", isIsolated(Members_, Time)},
         {"readers_silent", Members_.ReaderContact_.Lost_},
         {"unheard_ms", toMilliseconds(Time.Monotonic_ - Members_.HeardAt_)}});
  }
  if (ReaderActions.ReadHead_)
    readStore(/*ForFloor=*/false, Time);
  if (ReaderActions.WriteSeeds_)
    writeSeeds(*ReaderActions.WriteSeeds_);
  tickWatch(Time, Out);
  tickFreshness(Time, Out);
  send(Out);
  tickDepartures(Time);
  tickRestoration(Time);
}

void ControlPlane::receive(const wire::PeerMessage &Message, Now Time) {
  Outbox Out;
  logMembership(Members_,
                receiveMembership(Members_, Message, Time, Rng_, Out));
  auto Events = receiveDissemination(
      Dissemination_, Replica_, neighbours(Members_), Message, Time, Rng_, Out);
  for (const DisseminationEvent &Event : Events) {
    if (Event.Kind_ == DisseminationEventKind::Applied) {
      logApplied(Event.Number_, Event.Source_, Dissemination_.LastArrival_,
                 Time);
      AppliedAt_ = Time.Wall_;
      setOwnTicket(Members_, Replica_.Current_->Number_);
    } else {
      logRejection(Event.Number_, Event.Source_, Event.Error_);
      setOwnRejectedTicket(Members_, Event.Number_);
    }
  }
  if (Message.has_floor_query())
    answerFloorQuery(Bootstrap_, Members_, Replica_, Message, Time, Out);
  if (Message.has_floor_answer()) {
    const auto &Departed = Message.floor_answer().departed();
    learnDepartures(Members_, std::vector(Departed.begin(), Departed.end()),
                    Time);
    logBootstrap(
        receiveFloorAnswer(Bootstrap_, Members_, Replica_, Message, Time));
  }
  receiveWatchMessage(Message, Time, Out);
  receiveConfigFreshness(Freshness_, Message, ticketInForce(), Time);
  send(Out);
}

void ControlPlane::startLeaving(Now Time) {
  Outbox Out;
  sycamore::startLeaving(Members_, Time, Out);
  send(Out);
}

void ControlPlane::finishLeaving(Now Time) {
  Outbox Out;
  sycamore::finishLeaving(Members_, Time, Out);
  send(Out);
}

void ControlPlane::gossipQuarantine(
    std::span<const wire::QuarantineRecord> Records) {
  if (Records.empty())
    return;
  sycamore::gossipQuarantine(Members_, Records);
  Outbox Out;
  for (const std::string &Neighbour : neighbours(Members_)) {
    OutgoingMessage &Message = Out.emplace_back();
    Message.To_ = Neighbour;
    auto *Gossip = Message.Message_.mutable_gossip();
    for (const wire::QuarantineRecord &Quarantined : Records)
      *Gossip->add_quarantine() = Quarantined;
  }
  send(Out);
}

std::vector<wire::ServerRecord> ControlPlane::serverRecords() const {
  std::vector<wire::ServerRecord> Out;
  for (const auto &[Name, Row] : Members_.Servers_)
    Out.push_back(Row.Record_);
  return Out;
}

void ControlPlane::readStore(bool ForFloor, Now Time) {
  if (!ForFloor && HeadReadInFlight_)
    return;
  HeadReadInFlight_ = true;
  ++Counters_.HeadReads_;
  Txn Request;
  RangeRequest ReadHead;
  ReadHead.Key_ = configurationKey();
  Request.Reads_ = {ReadHead, seedsRange()};
  TimePoint StartedAt = Time.Monotonic_;
  Store_.txn(Request, Settings_.Store_.Timeout_,
             [this, ForFloor, StartedAt](const Result<TxnResult> &Answer) {
               onStoreAnswer(ForFloor, StartedAt, Answer);
             });
}

void ControlPlane::updateStoreReachability(const Result<TxnResult> &Answer,
                                           bool Usable) {
  if (!Usable)
    ++Counters_.StoreFailures_;
  if (Usable == StoreReachable_)
    return;
  StoreReachable_ = Usable;
  TimePoint Time = monotonicNow();
  if (Usable)
    logEvent(LogEvent::StoreReachable,
             {{"away_ms", toMilliseconds(Time - StoreStateChangedAt_)}});
  else
    logEvent(LogEvent::StoreUnreachable,
             {{"error", Answer ? std::string("incomplete answer")
                               : describe(Answer.error())}});
  StoreStateChangedAt_ = Time;
}

void ControlPlane::onStoreAnswer(bool ForFloor, TimePoint StartedAt,
                                 const Result<TxnResult> &Answer) {
  LoopTaskTimer Timer(Work_, LoopTask::StoreAnswer);
  Now Time = readClocks();
  HeadReadInFlight_ = false;
  StoreReadResult Read;
  Read.StartedAt_ = StartedAt;
  bool Usable =
      Answer && Answer->Reads_.size() == 2 && !Answer->Reads_[0].ParseError_;
  updateStoreReachability(Answer, Usable);
  if (Usable) {
    // The configuration counts also without readable seeds.
    const RangeResult &Seeds = Answer->Reads_[1];
    if (Seeds.ParseError_)
      logEvent(
          LogEvent::SeedsSkipped,
          {{"key", seedsKey("")}, {"error", describe(*Seeds.ParseError_)}});
    else
      applySeeds(Seeds, Time);
    if (RestoredAt_ && StartedAt >= *RestoredAt_ && !Seeds.ParseError_) {
      RestoredAt_.reset();
      restoreDepartures(Seeds, Time);
    }
    const RangeResult &Stored = Answer->Reads_[0];
    Read.Number_ = applyConfigurationRead(Stored, Read.Digest_);
    if (recordStoredTicket(Stored.Values_.empty() ? std::string()
                                                  : Stored.Values_[0].Value_,
                           Stored.Revision_))
      confirmFromStore(StartedAt);
  }
  if (!ForFloor)
    return;
  Outbox Out;
  logBootstrap(
      onStoreRead(Bootstrap_, Members_, Replica_, Read, Time, Rng_, Out));
  send(Out);
}

std::string ControlPlane::configurationKey() const {
  return Integration_ ? Integration_->configurationKey() : headKey();
}

std::optional<std::uint64_t>
ControlPlane::applyConfigurationRead(const RangeResult &Read,
                                     std::string &Digest) {
  std::string Value =
      Read.Values_.empty() ? std::string() : Read.Values_[0].Value_;
  std::optional<std::uint64_t> Out;
  if (Integration_) {
    if (!Value.empty())
      applyDocument(Value);
    // A rejected document does not show whether the ticket in force is the
    // latest one.
    if (Replica_.Rejection_ && !Value.empty())
      return std::nullopt;
    Digest = Replica_.Current_->Digest_;
    return Replica_.Current_->Number_;
  }
  if (auto Parsed = parseHead(Value)) {
    Out = Parsed->Number_;
    Digest = Parsed->Digest_;
  }
  applyHead(Value, nullptr);
  return Out;
}

void ControlPlane::applyDocument(const std::string &Value) {
  onOfferResult(offerDocument(Replica_, Value), readClocks());
}

void ControlPlane::applyHead(const std::string &Value, const Snapshot *Base) {
  auto Parsed = parseHead(Value);
  if (!Parsed) {
    logEvent(LogEvent::HeadUnreadable, {{"error", describe(Parsed.error())}});
    return;
  }
  OfferResult Offer = offerHead(Replica_, *Parsed, Base);
  if (Offer.Outcome_ == OfferOutcome::Gap && Offer.RequiredBase_ != 0 && !Base)
    readBaseSnapshot(Offer.RequiredBase_, Value);
  else
    onOfferResult(Offer, readClocks());
}

void ControlPlane::readBaseSnapshot(std::uint64_t Number,
                                    const std::string &HeadValue) {
  ++Counters_.SnapshotReads_;
  RangeRequest Request;
  Request.Key_ = snapshotKey(Number);
  Store_.range(Request, Settings_.Store_.Timeout_,
               [this, HeadValue](const Result<RangeResult> &Answer) {
                 if (!Answer || Answer->Values_.empty())
                   return;
                 auto Base = parseStoredSnapshot(Answer->Values_[0].Value_);
                 if (Base)
                   applyHead(HeadValue, &*Base);
                 else
                   logEvent(LogEvent::SnapshotUnreadable,
                            {{"error", describe(Base.error())}});
               });
}

void ControlPlane::onOfferResult(const OfferResult &Offer, Now Time) {
  if (Offer.Outcome_ == OfferOutcome::Rejected) {
    std::uint64_t Number =
        Replica_.Rejection_ ? Replica_.Rejection_->Number_ : 0;
    logRejection(Number, "store", Offer.Error_);
    setOwnRejectedTicket(Members_, Number);
    return;
  }
  if (Offer.Outcome_ != OfferOutcome::Applied)
    return;
  AppliedAt_ = Time.Wall_;
  setOwnTicket(Members_, Offer.Number_);
  Outbox Out;
  announceTicket(Dissemination_, Replica_, announcementTargets(), Time, Out);
  logApplied(Offer.Number_, "store", Dissemination_.LastArrival_, Time);
  send(Out);
}

void ControlPlane::applySeeds(const RangeResult &Seeds, Now Time) {
  std::string OwnKey = seedsKey(Settings_.DataCentre_);
  SeedsRevision_ = 0;
  std::vector<wire::ServerRecord> OwnSeeds;
  Txn Removal;
  for (const KeyValue &Entry : Seeds.Values_) {
    if (Entry.Key_.starts_with(departuresPrefix())) {
      applyStoredDeparture(Entry, Removal, Time);
      continue;
    }
    std::vector<std::string> Problems;
    std::vector<wire::ServerRecord> Listed = parseSeeds(Entry, Problems);
    if (!Problems.empty())
      logEvent(LogEvent::SeedsSkipped, {{"key", Entry.Key_},
                                        {"skipped", Problems.size()},
                                        {"used", Listed.size()},
                                        {"error", Problems.front()}});
    if (SeedFilter_)
      std::erase_if(Listed, [this](const wire::ServerRecord &Seed) {
        return !SeedFilter_(Seed);
      });
    addSeeds(Members_, Listed, Time);
    if (Entry.Key_ != OwnKey)
      continue;
    SeedsRevision_ = Entry.ModRevision_;
    OwnSeeds = std::move(Listed);
  }
  recordSeeds(Bootstrap_, OwnSeeds);
  removeStoredDepartures(Removal);
}

void ControlPlane::writeSeeds(std::span<const wire::ServerRecord> Seeds) {
  ++Counters_.SeedWrites_;
  Txn Request;
  std::string Key = seedsKey(Settings_.DataCentre_);
  Request.Compares_ = {Compare{Key, SeedsRevision_}};
  Request.Puts_ = {Put{Key, encodeSeeds(Seeds), 0}};
  Store_.txn(Request, Settings_.Store_.Timeout_,
             [this](const Result<TxnResult> &Answer) {
               // If another reader wrote first, the next read of the head
               // returns the revision of its write.
               if (Answer && Answer->Succeeded_)
                 SeedsRevision_ = Answer->Revision_;
             });
}

} // namespace sycamore
