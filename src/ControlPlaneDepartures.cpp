// Keeps the departures of targets in the store, for restarted daemons.
#include "ControlPlane.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <algorithm>

namespace sycamore {
namespace {

/// Time for which the acknowledgement of a departure waits for the store. The
/// peers have been notified by then; targets wait for one second.
constexpr Duration DepartureStoreTimeout = milliseconds(500);

constexpr Duration DepartureRetryInterval = seconds(1);

/// Time for a departure to leave this process for its peers.
constexpr Duration PeerNoticeTime = milliseconds(100);

/// Time after the floor is reached for which announcements wait for a peer's
/// table. A daemon without peers, such as the first of a fleet, waits that
/// long.
constexpr Duration PeerTableTimeout = seconds(2);

/// Old departures that one reader removes after one read.
constexpr std::size_t MaxRemovals = 32;

/// Whether a departure is neither stored nor, if the store failed, sent to the
/// peers.
bool isUnsaved(const std::map<std::string, UnstoredDeparture> &Departures,
               TimePoint Time) {
  return std::any_of(Departures.begin(), Departures.end(),
                     [Time](const auto &Item) {
                       const UnstoredDeparture &Unstored = Item.second;
                       return !Unstored.WriteFailed_ ||
                              Time - Unstored.RecordedAt_ < PeerNoticeTime;
                     });
}

} // namespace

void ControlPlane::recordDeparture(std::string_view Target,
                                   std::int64_t StartedUnixMs, Now Time) {
  Outbox Out;
  if (!sycamore::recordDeparture(Members_, Target, StartedUnixMs, Time, Out))
    return;
  send(Out);
  UnstoredDeparture &Unstored = UnstoredDepartures_[std::string(Target)];
  Unstored = {};
  Unstored.Departure_.Target_.set_server(Settings_.Server_);
  Unstored.Departure_.Target_.set_name(std::string(Target));
  Unstored.Departure_.Target_.set_started_unix_ms(StartedUnixMs);
  Unstored.Departure_.RecordedAt_ = Time.Wall_;
  Unstored.RecordedAt_ = Time.Monotonic_;
  writeDeparture(Unstored);
}

void ControlPlane::writeDeparture(UnstoredDeparture &Unstored) {
  Unstored.WriteInFlight_ = true;
  Txn Request;
  Request.Puts_ = {storeDeparture(Unstored.Departure_)};
  const wire::DepartedTarget &Target = Unstored.Departure_.Target_;
  Store_.txn(Request, DepartureStoreTimeout,
             [this, Name = Target.name(), Started = Target.started_unix_ms()](
                 const Result<TxnResult> &Answer) {
               onDepartureWritten(Name, Started, Answer);
             });
}

void ControlPlane::onDepartureWritten(const std::string &Target,
                                      std::int64_t StartedUnixMs,
                                      const Result<TxnResult> &Answer) {
  auto Found = UnstoredDepartures_.find(Target);
  if (Found == UnstoredDepartures_.end() ||
      Found->second.Departure_.Target_.started_unix_ms() != StartedUnixMs)
    return;
  UnstoredDeparture &Unstored = Found->second;
  if (Answer) {
    ++Counters_.DeparturesStored_;
    UnstoredDepartures_.erase(Found);
  } else {
    ++Counters_.DepartureStoreFailures_;
    if (!Unstored.WriteFailed_)
      logEvent(LogEvent::DepartureNotStored,
               {{"target", Target},
                {"started_unix_ms", StartedUnixMs},
                {"peers", neighbours(Members_).size()},
                {"error", describe(Answer.error())}});
    Unstored.WriteFailed_ = true;
    Unstored.WriteInFlight_ = false;
    Unstored.NextWriteAt_ = monotonicNow() + DepartureRetryInterval;
  }
  acknowledgeSaved(monotonicNow());
}

void ControlPlane::whenDeparturesSaved(std::function<void()> Done, Now Time) {
  DepartureWaiters_.push_back(std::move(Done));
  acknowledgeSaved(Time.Monotonic_);
}

void ControlPlane::acknowledgeSaved(TimePoint Time) {
  if (DepartureWaiters_.empty() || isUnsaved(UnstoredDepartures_, Time))
    return;
  for (const auto &Done : std::exchange(DepartureWaiters_, {}))
    Done();
}

bool ControlPlane::departuresKnown(Now Time) const {
  // With the store down, the word of one peer has to do.
  if (Members_.Joined_)
    return hasFloor(Bootstrap_) || Bootstrap_.StoreFailed_;
  return hasFloor(Bootstrap_) &&
         Time.Monotonic_ - *Bootstrap_.FloorReachedAt_ >= PeerTableTimeout;
}

void ControlPlane::tickDepartures(Now Time) {
  std::erase_if(UnstoredDepartures_, [&](const auto &Item) {
    return Time.Monotonic_ - Item.second.RecordedAt_ >=
           StoredDepartureRetention;
  });
  std::vector<std::string> Due;
  for (const auto &[Target, Unstored] : UnstoredDepartures_)
    if (!Unstored.WriteInFlight_ && Time.Monotonic_ >= Unstored.NextWriteAt_)
      Due.push_back(Target);
  // A write may end, and remove its entry, before the call returns.
  for (const std::string &Target : Due)
    writeDeparture(UnstoredDepartures_.at(Target));
  acknowledgeSaved(Time.Monotonic_);
}

void ControlPlane::applyStoredDeparture(const KeyValue &Entry, Txn &Removal,
                                        Now Time) {
  auto Parsed = parseStoredDeparture(Entry);
  if (!Parsed)
    logEvent(LogEvent::SeedsSkipped, {{"key", Entry.Key_},
                                      {"skipped", 1},
                                      {"used", 0},
                                      {"error", describe(Parsed.error())}});
  else if (Time.Wall_ - Parsed->RecordedAt_ < StoredDepartureRetention)
    learnDepartures(Members_, std::span(&Parsed->Target_, 1), Time);
  else if (IsReader_ && Removal.Deletes_.size() < MaxRemovals)
    Removal.Deletes_.push_back(Entry.Key_);
}

void ControlPlane::removeStoredDepartures(const Txn &Removal) {
  if (Removal.Deletes_.empty())
    return;
  Store_.txn(
      Removal, Settings_.Store_.Timeout_,
      [Count = Removal.Deletes_.size()](const Result<TxnResult> &Answer) {
        if (!Answer)
          logEvent(LogEvent::DeparturesNotRemoved,
                   {{"count", Count}, {"error", describe(Answer.error())}});
      });
}

} // namespace sycamore
