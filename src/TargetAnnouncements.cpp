// Announcements, departures and health checks of the targets beside this
// daemon.
#include "TargetProxy.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <algorithm>

namespace sycamore {

HttpClientRequest healthRequest(Duration Deadline) {
  constexpr std::size_t MaxHealthBytes = 64U << 10U;
  HttpClientRequest Out;
  Out.Path_ = "/health";
  Out.Deadline_ = Deadline;
  Out.MaxBodyBytes_ = MaxHealthBytes;
  return Out;
}

Result<void> TargetProxy::announce(const Json &Document, Now Time) {
  std::vector<std::string> Problems;
  ObjectReader Reader(Document, "", Problems);
  std::string Name;
  std::string Service;
  std::string Address;
  std::uint64_t Slots = 0;
  for (std::string_view Field : {"name", "service", "address", "slots"})
    Reader.require(Field);
  Reader.readString("name", Name);
  Reader.readString("service", Service);
  Reader.readString("address", Address);
  Reader.readUnsigned("slots", Slots, 1, 10000);
  Reader.reportUnknownFields();
  if (Problems.empty() && !isValidName(Name))
    Reader.reportProblem("name", "is not a name");
  if (Problems.empty() && !parseRemoteAddress(Address))
    Reader.reportProblem("address", "is not IP:PORT");
  if (auto Failure = problemsToError(
          ErrorKind::InvalidArgument, "announcement", Problems,
          "announce {\"name\", \"service\", \"slots\", \"address\"}"))
    return tl::unexpected<Error>(*Failure);

  TargetAnnouncement Announcement;
  Announcement.Name_ = Name;
  Announcement.Service_ = Service;
  Announcement.Address_ = Address;
  Announcement.Slots_ = static_cast<std::uint32_t>(Slots);
  return handle(Announcement, Time);
}

std::optional<Error>
TargetProxy::checkIsLocal(const TargetAnnouncement &Announcement) const {
  if (!Settings_.Target_)
    return std::nullopt;
  auto OwnAddress = parseSocketAddress(Settings_.Target_->Address_);
  auto AnnouncedAddress = parseSocketAddress(Announcement.Address_);
  const auto &Services = Control_.snapshot()->State_.Services_;
  bool KnownService = Announcement.Service_ == Settings_.Target_->Service_ ||
                      Services.contains(Announcement.Service_);
  if (KnownService && OwnAddress && AnnouncedAddress &&
      OwnAddress->Host_ == AnnouncedAddress->Host_)
    return std::nullopt;
  return Error{ErrorKind::InvalidArgument,
               "target " + Announcement.Name_ + " of service \"" +
                   Announcement.Service_ + "\" at " + Announcement.Address_ +
                   " is not beside this daemon",
               "announce it to the daemon of its own host"};
}

// Two targets never share an address, so an announcement of another target at
// the same address shows that the earlier target has ended.
void TargetProxy::replaceTargetsAtAddress(
    const TargetAnnouncement &Announcement, Now Time) {
  for (auto &[Name, Target] : Targets_) {
    if (Name == Announcement.Name_ || Target.Replaced_ ||
        Target.Address_ != Announcement.Address_)
      continue;
    setLeaving(Target, Time);
    Target.Replaced_ = true;
    logEvent(LogEvent::TargetReplaced,
             {{"target", Name}, {"by", Announcement.Name_}});
  }
}

namespace {

/// Whether the process that started at Announced is earlier than the one that
/// started at Known. False when either start time is unknown.
bool isEarlier(const std::optional<std::int64_t> &Announced,
               const std::optional<std::int64_t> &Known) {
  return Announced && Known && *Announced < *Known;
}

/// For the log; null when unknown.
Json startTime(const std::optional<std::int64_t> &UnixMs) {
  return UnixMs ? Json(*UnixMs) : Json();
}

void logLateNotice(const std::string &Target,
                   const std::optional<std::int64_t> &StartedUnixMs) {
  logEvent(LogEvent::AnnouncementLate,
           {{"target", Target}, {"started_unix_ms", startTime(StartedUnixMs)}});
}

bool isSameProcess(const TargetAnnouncement &Announcement,
                   const LocalTarget &Known) {
  return Announcement.StartedUnixMs_ == Known.StartedUnixMs_;
}

/// Whether the announcement is older than the last one that was applied.
bool isOutdated(const TargetAnnouncement &Announcement,
                const LocalTarget &Known) {
  if (isEarlier(Announcement.StartedUnixMs_, Known.StartedUnixMs_))
    return true;
  return isSameProcess(Announcement, Known) && Announcement.Sequence_ &&
         Known.Sequence_ && *Announcement.Sequence_ <= *Known.Sequence_;
}

} // namespace

Result<void> TargetProxy::handle(const TargetAnnouncement &Announcement,
                                 Now Time) {
  if (auto Failure = checkIsLocal(Announcement)) {
    ++Counters_.AnnouncementsRejected_;
    return tl::unexpected<Error>(*Failure);
  }
  ++Counters_.Announcements_;
  if (Announcement.StartedUnixMs_ && !Announcement.Leaving_ &&
      !Control_.departuresKnown(Time)) {
    holdAnnouncement(Announcement);
    return {};
  }
  apply(Announcement, Time);
  return {};
}

void TargetProxy::holdAnnouncement(const TargetAnnouncement &Announcement) {
  constexpr std::size_t MaxHeldAnnouncements = 16;
  if (HeldAnnouncements_.size() == MaxHeldAnnouncements)
    HeldAnnouncements_.pop_front();
  HeldAnnouncements_.push_back(Announcement);
}

void TargetProxy::applyHeldAnnouncements(Now Time) {
  if (HeldAnnouncements_.empty() || !Control_.departuresKnown(Time))
    return;
  for (const TargetAnnouncement &Announcement :
       std::exchange(HeldAnnouncements_, {}))
    apply(Announcement, Time);
}

void TargetProxy::apply(const TargetAnnouncement &Announcement, Now Time) {
  if (!Targets_.contains(Announcement.Name_) && hasDeparted(Announcement)) {
    ++Counters_.AnnouncementsIgnored_;
    logLateNotice(Announcement.Name_, Announcement.StartedUnixMs_);
    return;
  }
  for (const auto &[Name, Target] : Targets_)
    if (Name != Announcement.Name_ &&
        Target.Address_ == Announcement.Address_ &&
        isEarlier(Announcement.StartedUnixMs_, Target.StartedUnixMs_)) {
      ++Counters_.AnnouncementsIgnored_;
      return;
    }
  auto [Found, New] = Targets_.try_emplace(Announcement.Name_);
  LocalTarget &Target = Found->second;
  if (!New && isOutdated(Announcement, Target)) {
    ++Counters_.AnnouncementsIgnored_;
    return;
  }
  bool Departed = hasDeparted(Announcement);
  bool Restarted = !New && !Departed && !isSameProcess(Announcement, Target);
  if (!Departed)
    replaceTargetsAtAddress(Announcement, Time);
  if (!Departed && (New || Restarted || Target.Unreachable_))
    logEvent(LogEvent::TargetAnnounced,
             {{"target", Announcement.Name_},
              {"service", Announcement.Service_},
              {"address", Announcement.Address_},
              {"slots", Announcement.Slots_},
              {"restarted", Restarted},
              {"started_unix_ms", startTime(Announcement.StartedUnixMs_)}});
  Target.Name_ = Announcement.Name_;
  Target.Service_ = Announcement.Service_;
  Target.Address_ = Announcement.Address_;
  Target.LastSeenAt_ = Time.Monotonic_;
  Target.Sequence_ = Announcement.Sequence_;
  Target.StartedUnixMs_ = Announcement.StartedUnixMs_;
  Target.Unreachable_ = false;
  setSlots(Target.Admission_, Announcement.Slots_);
  Target.Admission_.Options_.LongShare_ = Settings_.Limits_.LongShare_;
  const auto &Services = Control_.snapshot()->State_.Services_;
  if (auto Service = Services.find(Announcement.Service_);
      Service != Services.end())
    setQueueLimit(Target.Admission_, Service->second.QueueLimit_);
  // A process that stated its start time and announced that it leaves does not
  // return, also if the departure was learned from a peer or the store. A
  // target without a start time, or one that leaves only because of missed
  // announcements, returns with its next announcement.
  if (!Departed && (!Announcement.StartedUnixMs_ || New || Restarted ||
                    !Target.AnnouncedLeaving_)) {
    Target.Leaving_ = Leaving_;
    Target.AnnouncedLeaving_ = false;
    Target.Replaced_ = false;
  }
  if (Announcement.Leaving_ || Departed) {
    setLeaving(Target, Time);
    recordDeparture(Target, Time);
  }
  if (!Target.Leaving_) {
    Target.Admission_.Admitting_ = true;
    announceTarget(Control_.members(), Announcement.Name_,
                   Announcement.Service_, Announcement.Slots_, Time,
                   Announcement.Version_);
  }
}

void TargetProxy::handle(const TargetDeparture &Departure, Now Time) {
  auto [Found, New] = Targets_.try_emplace(Departure.Name_);
  LocalTarget &Target = Found->second;
  if (!New && isEarlier(Departure.StartedUnixMs_, Target.StartedUnixMs_)) {
    ++Counters_.AnnouncementsIgnored_;
    logLateNotice(Departure.Name_, Departure.StartedUnixMs_);
    return;
  }
  if (New) {
    // The entry makes a delayed announcement of the same process be ignored.
    Target.Name_ = Departure.Name_;
    Target.LastSeenAt_ = Time.Monotonic_;
  }
  // The target may have restarted since its last announcement. The departure is
  // that of the process that states it, so that a delayed announcement of this
  // process is ignored too.
  if (Departure.StartedUnixMs_ &&
      Departure.StartedUnixMs_ != Target.StartedUnixMs_) {
    Target.StartedUnixMs_ = Departure.StartedUnixMs_;
    Target.Sequence_.reset();
  }
  setLeaving(Target, Time);
  recordDeparture(Target, Time);
}

void TargetProxy::recordDeparture(LocalTarget &Target, Now Time) {
  Target.AnnouncedLeaving_ = true;
  std::int64_t NowUnixMs =
      std::chrono::floor<milliseconds>(Time.Wall_).time_since_epoch().count();
  Control_.recordDeparture(Target.Name_,
                           Target.StartedUnixMs_.value_or(NowUnixMs), Time);
}

bool TargetProxy::hasDeparted(
    std::string_view Name,
    const std::optional<std::int64_t> &StartedUnixMs) const {
  auto Departed = departedProcess(Control_.members(), Name);
  return Departed && StartedUnixMs && *StartedUnixMs <= *Departed;
}

bool TargetProxy::hasDeparted(const TargetAnnouncement &Announcement) const {
  return hasDeparted(Announcement.Name_, Announcement.StartedUnixMs_);
}

void TargetProxy::applyLearnedDepartures(Now Time) {
  for (auto &[Name, Target] : Targets_)
    if (!Target.AnnouncedLeaving_ && hasDeparted(Name, Target.StartedUnixMs_)) {
      Target.AnnouncedLeaving_ = true;
      setLeaving(Target, Time);
    }
}

void TargetProxy::setLeaving(LocalTarget &Target, Now Time) {
  if (Target.Leaving_)
    return;
  Target.Leaving_ = true;
  logEvent(LogEvent::TargetLeaving,
           {{"target", Target.Name_},
            {"started_unix_ms", startTime(Target.StartedUnixMs_)}});
  stopAdmitting(Target.Admission_);
  markTargetLeaving(Control_.members(), Target.Name_, Time);
  runQueue(Target, Time);
}

bool TargetProxy::withdraw(std::string_view Name, Now Time) {
  auto Found = Targets_.find(Name);
  if (Found == Targets_.end())
    return false;
  setLeaving(Found->second, Time);
  return true;
}

void TargetProxy::startLeaving() {
  Leaving_ = true;
  Now Time = readClocks();
  for (auto &[Name, Target] : Targets_)
    setLeaving(Target, Time);
}

void TargetProxy::expireAnnouncements(Now Time) {
  constexpr int MissedLimit = 3;
  Duration Limit = Settings_.Timing_.AnnounceInterval_ * MissedLimit;
  for (auto Entry = Targets_.begin(); Entry != Targets_.end();) {
    LocalTarget &Target = Entry->second;
    bool Expired = Time.Monotonic_ - Target.LastSeenAt_ > Limit;
    bool Idle = load(Target.Admission_).Running_ == 0 &&
                load(Target.Admission_).Queued_ == 0;
    if (Expired && !Target.Leaving_) {
      ++Counters_.MissedAnnouncements_;
      logEvent(LogEvent::TargetSilent, {{"target", Entry->first}});
      setLeaving(Target, Time);
    }
    if ((Expired || Target.Replaced_) && Idle) {
      withdrawTarget(Control_.members(), Entry->first, Time);
      Entry = Targets_.erase(Entry);
    } else {
      ++Entry;
    }
  }
}

void TargetProxy::markUnreachable(std::string_view Name, Now Time) {
  auto Found = Targets_.find(Name);
  if (Found == Targets_.end() || Found->second.Unreachable_)
    return;
  Found->second.Unreachable_ = true;
  logEvent(LogEvent::TargetUnreachable, {{"target", Name}});
  withdrawTarget(Control_.members(), Name, Time);
}

void TargetProxy::requestHealth(LocalTarget &Target, Now Time) {
  // A target that announces itself through the integration also announces there
  // that it drains.
  bool AnnouncesDraining =
      Settings_.Target_ && !Settings_.Target_->AnnounceListen_.empty();
  if (AnnouncesDraining || Target.Leaving_ ||
      Time.Monotonic_ - Target.HealthRequestedAt_ <
          Settings_.Timing_.AnnounceInterval_)
    return;
  Target.HealthRequestedAt_ = Time.Monotonic_;
  Client_.send(Target.Address_,
               healthRequest(Settings_.Timing_.AnnounceInterval_),
               [this, Name = Target.Name_](const HttpResponse &Response) {
                 onHealthResponse(Name, Response);
               });
}

void TargetProxy::onHealthResponse(const std::string &Name,
                                   const HttpResponse &Response) {
  // Health responses are delayed and can be wrong, so only an explicit
  // statement that the target drains is used; a draining target would refuse
  // the requests anyway.
  if (Response.ServerRuns_)
    logEvent(LogEvent::HealthRejected,
             {{"target", Name}, {"error", Response.Reason_}});
  auto Found = Targets_.find(Name);
  if (Found != Targets_.end() && Response.Outcome_ == HttpOutcome::Answered &&
      Response.Body_.find("draining") != std::string::npos)
    setLeaving(Found->second, readClocks());
}

} // namespace sycamore
