// Announcements, departures and health checks of the targets beside this
// daemon.
#include "TargetProxy.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <algorithm>

namespace sycamore {

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
  Reader.rejectUnknown();
  if (Problems.empty() && !isValidName(Name))
    Reader.problem("name", "is not a name");
  if (Problems.empty() && !parseSocketAddress(Address))
    Reader.problem("address", "is not IP:PORT");
  if (auto Failure = problemsToError(
          ErrorKind::InvalidArgument, "announcement", Problems,
          "announce {\"name\", \"service\", \"slots\", \"address\"}"))
    return tl::unexpected<Error>(*Failure);

  TargetAnnouncement News;
  News.Name_ = Name;
  News.Service_ = Service;
  News.Address_ = Address;
  News.Slots_ = static_cast<std::uint32_t>(Slots);
  return take(News, Time);
}

std::optional<Error>
TargetProxy::checkPlace(const TargetAnnouncement &News) const {
  if (!Settings_.Target_)
    return std::nullopt;
  auto Own = parseSocketAddress(Settings_.Target_->Address_);
  auto Stated = parseSocketAddress(News.Address_);
  const auto &Services = Control_.snapshot()->State_.Services_;
  bool KnownService = News.Service_ == Settings_.Target_->Service_ ||
                      Services.contains(News.Service_);
  if (KnownService && Own && Stated && Own->Host_ == Stated->Host_)
    return std::nullopt;
  return Error{ErrorKind::InvalidArgument,
               "target " + News.Name_ + " of service \"" + News.Service_ +
                   "\" at " + News.Address_ + " is not beside this daemon",
               "announce it to the daemon of its own host"};
}

// Two targets never share an address, so an announcement of another target at
// the same address shows that the earlier target has ended.
void TargetProxy::retireOthers(const TargetAnnouncement &News, Now Time) {
  for (auto &[Name, Target] : Targets_) {
    if (Name == News.Name_ || Target.Gone_ || Target.Address_ != News.Address_)
      continue;
    setLeaving(Target, Time);
    Target.Gone_ = true;
    logEvent(LogEvent::TargetReplaced, {{"target", Name}, {"by", News.Name_}});
  }
}

namespace {

/// Whether the process that started at Stated is earlier than the one that
/// started at Known. False when either start time is unknown.
bool isEarlier(const std::optional<std::int64_t> &Stated,
               const std::optional<std::int64_t> &Known) {
  return Stated && Known && *Stated < *Known;
}

bool isSameProcess(const TargetAnnouncement &News, const LocalTarget &Known) {
  return News.StartedUnixMs_ == Known.StartedUnixMs_;
}

/// Whether the announcement is older than the last one that was applied.
bool isOvertaken(const TargetAnnouncement &News, const LocalTarget &Known) {
  if (isEarlier(News.StartedUnixMs_, Known.StartedUnixMs_))
    return true;
  return isSameProcess(News, Known) && News.Sequence_ && Known.Sequence_ &&
         *News.Sequence_ <= *Known.Sequence_;
}

} // namespace

Result<void> TargetProxy::take(const TargetAnnouncement &News, Now Time) {
  if (auto Failure = checkPlace(News)) {
    ++Counters_.AnnouncementsRejected_;
    return tl::unexpected<Error>(*Failure);
  }
  ++Counters_.Announcements_;
  if (!Targets_.contains(News.Name_) && hasDeparted(News)) {
    ++Counters_.AnnouncementsIgnored_;
    return {};
  }
  for (const auto &[Name, Target] : Targets_)
    if (Name != News.Name_ && Target.Address_ == News.Address_ &&
        isEarlier(News.StartedUnixMs_, Target.StartedUnixMs_)) {
      ++Counters_.AnnouncementsIgnored_;
      return {};
    }
  auto [Found, New] = Targets_.try_emplace(News.Name_);
  LocalTarget &Target = Found->second;
  if (!New && isOvertaken(News, Target)) {
    ++Counters_.AnnouncementsIgnored_;
    return {};
  }
  bool Reborn = !New && !isSameProcess(News, Target);
  retireOthers(News, Time);
  if (New || Reborn || Target.Unreachable_)
    logEvent(LogEvent::TargetAnnounced, {{"target", News.Name_},
                                         {"service", News.Service_},
                                         {"address", News.Address_},
                                         {"slots", News.Slots_},
                                         {"restarted", Reborn}});
  Target.Name_ = News.Name_;
  Target.Service_ = News.Service_;
  Target.Address_ = News.Address_;
  Target.AnnouncedAt_ = Time.Monotonic_;
  Target.Sequence_ = News.Sequence_;
  Target.StartedUnixMs_ = News.StartedUnixMs_;
  Target.Unreachable_ = false;
  setSlots(Target.Admission_, News.Slots_);
  Target.Admission_.Options_.LongShare_ = Settings_.Limits_.LongShare_;
  const auto &Services = Control_.snapshot()->State_.Services_;
  if (auto Service = Services.find(News.Service_); Service != Services.end())
    setQueueLimit(Target.Admission_, Service->second.QueueLimit_);
  // A target that stated its start time and announced that it leaves stays
  // leaving until it restarts. A target without a start time, or one that
  // leaves only because of missed announcements, returns with its next
  // announcement.
  if (!News.StartedUnixMs_ || New || Reborn || !Target.SaidLeaving_) {
    Target.Leaving_ = Leaving_;
    Target.SaidLeaving_ = false;
    Target.Gone_ = false;
  }
  if (News.Leaving_) {
    setLeaving(Target, Time);
    noteDeparture(Target);
  }
  if (!Target.Leaving_) {
    Target.Admission_.Admitting_ = true;
    announceTarget(Control_.members(), News.Name_, News.Service_, News.Slots_,
                   Time);
  }
  return {};
}

void TargetProxy::take(const TargetDeparture &News, Now Time) {
  auto [Found, New] = Targets_.try_emplace(News.Name_);
  LocalTarget &Target = Found->second;
  if (!New && isEarlier(News.StartedUnixMs_, Target.StartedUnixMs_))
    return;
  if (New) {
    // The entry makes a delayed announcement of the same process be ignored.
    Target.Name_ = News.Name_;
    Target.AnnouncedAt_ = Time.Monotonic_;
    Target.StartedUnixMs_ = News.StartedUnixMs_;
  }
  setLeaving(Target, Time);
  noteDeparture(Target);
}

void TargetProxy::noteDeparture(LocalTarget &Target) {
  Target.SaidLeaving_ = true;
  if (!Target.StartedUnixMs_)
    return;
  // Only one target at a time runs beside a daemon, so the entries beyond this
  // limit belong to processes that ended long ago.
  constexpr std::size_t MaxDeparted = 64;
  std::int64_t &Started = Departed_[Target.Name_];
  Started = std::max(Started, *Target.StartedUnixMs_);
  if (Departed_.size() > MaxDeparted)
    Departed_.erase(std::min_element(Departed_.begin(), Departed_.end(),
                                     [](const auto &Left, const auto &Right) {
                                       return Left.second < Right.second;
                                     }));
}

bool TargetProxy::hasDeparted(const TargetAnnouncement &News) const {
  auto Found = Departed_.find(News.Name_);
  return Found != Departed_.end() && News.StartedUnixMs_ &&
         *News.StartedUnixMs_ <= Found->second;
}

void TargetProxy::setLeaving(LocalTarget &Target, Now Time) {
  if (Target.Leaving_)
    return;
  Target.Leaving_ = true;
  logEvent(LogEvent::TargetLeaving, {{"target", Target.Name_}});
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
    bool Expired = Time.Monotonic_ - Target.AnnouncedAt_ > Limit;
    bool Idle = load(Target.Admission_).Running_ == 0 &&
                load(Target.Admission_).Queued_ == 0;
    if (Expired && !Target.Leaving_) {
      ++Counters_.MissedAnnouncements_;
      logEvent(LogEvent::TargetSilent, {{"target", Entry->first}});
      setLeaving(Target, Time);
    }
    if ((Expired || Target.Gone_) && Idle) {
      withdrawTarget(Control_.members(), Entry->first, Time);
      Entry = Targets_.erase(Entry);
    } else {
      ++Entry;
    }
  }
}

void TargetProxy::noteUnreachable(std::string_view Name, Now Time) {
  auto Found = Targets_.find(Name);
  if (Found == Targets_.end() || Found->second.Unreachable_)
    return;
  Found->second.Unreachable_ = true;
  logEvent(LogEvent::TargetUnreachable, {{"target", Name}});
  withdrawTarget(Control_.members(), Name, Time);
}

void TargetProxy::askHealth(LocalTarget &Target, Now Time) {
  // A target that announces itself through the integration also announces there
  // that it drains.
  bool StatesItself =
      Settings_.Target_ && !Settings_.Target_->AnnounceListen_.empty();
  if (StatesItself || Target.Leaving_ ||
      Time.Monotonic_ - Target.HealthAskedAt_ <
          Settings_.Timing_.AnnounceInterval_)
    return;
  Target.HealthAskedAt_ = Time.Monotonic_;
  HttpClientRequest Request;
  Request.Path_ = "/health";
  Request.Deadline_ = Settings_.Timing_.AnnounceInterval_;
  Client_.send(Target.Address_, Request,
               [this, Name = Target.Name_](const HttpAnswer &Answer) {
                 onHealth(Name, Answer);
               });
}

void TargetProxy::onHealth(const std::string &Name, const HttpAnswer &Answer) {
  // Health responses are delayed and can be wrong, so only an explicit
  // statement that the target drains is used; a draining target would refuse
  // the requests anyway.
  auto Found = Targets_.find(Name);
  if (Found != Targets_.end() && Answer.Outcome_ == HttpOutcome::Answered &&
      Answer.Body_.find("draining") != std::string::npos)
    setLeaving(Found->second, readClocks());
}

} // namespace sycamore
