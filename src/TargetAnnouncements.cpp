// Announcements of the targets beside this daemon, and their leaving.
#include "TargetProxy.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

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

  ++Counters_.Announcements_;
  bool New = !Targets_.contains(Name);
  LocalTarget &Target = Targets_[Name];
  if (New || (Target.Leaving_ && !Leaving_))
    logEvent(LogLevel::Info, "target-announced",
             {{"target", Name}, {"service", Service}, {"address", Address}});
  Target.Name_ = Name;
  Target.Service_ = Service;
  Target.Address_ = Address;
  Target.AnnouncedAt_ = Time.Monotonic_;
  Target.Leaving_ = Leaving_;
  setSlots(Target.Admission_, static_cast<std::uint32_t>(Slots));
  const auto &Services = Control_.snapshot()->State_.Services_;
  if (auto Found = Services.find(Service); Found != Services.end())
    setQueueLimit(Target.Admission_, Found->second.QueueLimit_);
  if (!Leaving_) {
    Target.Admission_.Admitting_ = true;
    announceTarget(Control_.members(), Name, Service,
                   static_cast<std::uint32_t>(Slots), Time);
  }
  return {};
}

void TargetProxy::setLeaving(LocalTarget &Target, Now Time) {
  if (Target.Leaving_)
    return;
  Target.Leaving_ = true;
  logEvent(LogLevel::Info, "target-leaving", {{"target", Target.Name_}});
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
      logEvent(LogLevel::Warning, "target-silent", {{"target", Entry->first}});
      setLeaving(Target, Time);
    }
    if (Expired && Idle) {
      withdrawTarget(Control_.members(), Entry->first, Time);
      Entry = Targets_.erase(Entry);
    } else {
      ++Entry;
    }
  }
}

void TargetProxy::askHealth(LocalTarget &Target, Now Time) {
  if (Target.Leaving_ || Time.Monotonic_ - Target.HealthAskedAt_ <
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
  // Health answers lag and mislead, so only the plain word of a target that it
  // drains counts; it would refuse the work anyway.
  auto Found = Targets_.find(Name);
  if (Found != Targets_.end() && Answer.Outcome_ == HttpOutcome::Answered &&
      Answer.Body_.find("draining") != std::string::npos)
    setLeaving(Found->second, readClocks());
}

} // namespace sycamore
