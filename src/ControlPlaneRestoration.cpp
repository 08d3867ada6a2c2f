// What the control plane does when the store was restored from a copy.
#include "ControlPlane.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <set>

namespace sycamore {
namespace {

/// Between two reads of a restored store that does not answer.
constexpr Duration RestoredReadInterval = milliseconds(500);

/// Departures written in one transaction.
constexpr std::size_t MaxRestoredPuts = 32;

} // namespace

void ControlPlane::onStoreRestored(const StoreRestoration &Restoration,
                                   Now Time) {
  ++Counters_.StoreRestorations_;
  logEvent(LogEvent::StoreRestored,
           {{"identity", Restoration.Identity_},
            {"revision_before", Restoration.RevisionBefore_},
            {"ticket", Replica_.Current_->Number_},
            {"watching", Watch_ != nullptr}});
  RestoredAt_ = Time.Monotonic_;
  NextRestoredRead_ = Time.Monotonic_;
  Stored_.reset();
  StoredRevision_ = 0;
  recordStoreRestored(Bootstrap_, Time);
}

void ControlPlane::tickRestoration(Now Time) {
  if (!RestoredAt_ || HeadReadInFlight_ || Time.Monotonic_ < NextRestoredRead_)
    return;
  // The watch waits after a revision of the history that was lost. A new one
  // begins at the store's revision.
  if (Watch_ && !WatchFailure_ && WatchRetry_.StartedAt_ < *RestoredAt_)
    startWatch(Time);
  NextRestoredRead_ = Time.Monotonic_ + RestoredReadInterval;
  readStore(/*ForFloor=*/false, Time);
}

void ControlPlane::restoreDepartures(const RangeResult &Seeds, Now Time) {
  std::set<std::string> Stored;
  for (const KeyValue &Entry : Seeds.Values_)
    Stored.insert(Entry.Key_);
  Txn Request;
  for (const auto &[Owner, Row] : Members_.Departures_) {
    const auto &[Server, Target] = Owner;
    Duration Age = Time.Monotonic_ - Row.LearnedAt_;
    const wire::ServerRecord *Record = findServer(Members_, Server);
    bool IsOwn = Server == Settings_.Server_;
    bool IsLocal = Record && Record->data_centre() == Settings_.DataCentre_;
    if (Age >= StoredDepartureRetention || !(IsOwn || (IsReader_ && IsLocal)))
      continue;
    StoredDeparture Departure;
    Departure.Target_.set_server(Server);
    Departure.Target_.set_name(Target);
    Departure.Target_.set_started_unix_ms(Row.StartedUnixMs_);
    Departure.RecordedAt_ =
        Time.Wall_ - std::chrono::duration_cast<WallTime::duration>(Age);
    Put Write = storeDeparture(Departure);
    if (Stored.contains(Write.Key_))
      continue;
    Request.Puts_.push_back(std::move(Write));
    if (Request.Puts_.size() == MaxRestoredPuts)
      writeRestoredDepartures(std::exchange(Request, {}));
  }
  if (!Request.Puts_.empty())
    writeRestoredDepartures(Request);
}

void ControlPlane::writeRestoredDepartures(const Txn &Request) {
  std::size_t Count = Request.Puts_.size();
  Store_.txn(Request, Settings_.Store_.Timeout_,
             [this, Count](const Result<TxnResult> &Answer) {
               if (Answer) {
                 Counters_.DeparturesRestored_ += Count;
                 return;
               }
               logEvent(
                   LogEvent::DeparturesNotRestored,
                   {{"count", Count}, {"error", describe(Answer.error())}});
               TimePoint Failed = monotonicNow();
               RestoredAt_ = Failed;
               NextRestoredRead_ = Failed + RestoredReadInterval;
             });
}

} // namespace sycamore
