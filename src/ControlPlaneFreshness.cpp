// What the control plane learns from the store about the age of the
// configuration in force.
#include "ControlPlane.h"

#include "sycamore/Log.h"

namespace sycamore {
namespace {

/// A daemon reads the configuration itself when its last confirmation is older
/// than this share of the bound: a reader whose watch is answered but confirms
/// nothing, and any other daemon. With the store refusing two of three daemons,
/// the age had reached 3.8 s without such reads; a search for a delegate may
/// pause for 3 s. In calm times confirmations are at most 2.6 s old, so that
/// with a bound of 5 s only few daemons read.
constexpr double WatcherReadShare = 0.5;
constexpr double OwnReadShare = 0.6;

/// Between two such reads, as a share of the bound; varied by up to 100%.
constexpr double ReadIntervalShare = 0.2;

Duration shareOf(Duration Whole, double Share) {
  return std::chrono::duration_cast<Duration>(Whole * Share);
}

} // namespace

TicketInForce ControlPlane::ticketInForce() const {
  return {Replica_.Current_->Number_, Replica_.Current_->Digest_};
}

std::optional<StoredTicket>
ControlPlane::storedTicketOf(const std::string &Value) const {
  const Snapshot &Current = *Replica_.Current_;
  if (!Integration_) {
    auto Parsed = parseHead(Value);
    if (!Parsed)
      return std::nullopt;
    return StoredTicket{Parsed->Number_, Parsed->Digest_};
  }
  if (Value.empty())
    return StoredTicket{};
  StoredTicket InForce{Current.Number_, Current.Digest_};
  if (Value == Replica_.Document_)
    return InForce;
  // The document was refused, or is not newer than the one in force. It
  // confirms that one if it is older, or cannot withdraw any credential of it.
  auto Parsed = Integration_->parseConfiguration(
      Value, {Replica_.Document_, &Current.State_});
  if (Parsed && Parsed->Number_ < Current.Number_)
    return StoredTicket{Parsed->Number_, {}};
  if (Integration_->keepsCredentials(Value, Current.State_))
    return InForce;
  return std::nullopt;
}

bool ControlPlane::recordStoredTicket(const std::string &Value,
                                      std::int64_t Revision) {
  if (!isBounded(Freshness_) || Revision < StoredRevision_)
    return false;
  StoredRevision_ = Revision;
  Stored_ = storedTicketOf(Value);
  return true;
}

void ControlPlane::confirmFromStore(TimePoint SentAt) {
  if (!isBounded(Freshness_) || !Stored_)
    return;
  Confirmation Value{Stored_->Number_, Stored_->Digest_, SentAt};
  // A store that was restored from a copy may hold an older ticket. Naming that
  // one would confirm it at daemons that have not applied the present one.
  if (Value.Ticket_ < Replica_.Current_->Number_) {
    Value.Ticket_ = Replica_.Current_->Number_;
    Value.Digest_ = Replica_.Current_->Digest_;
  }
  if (confirm(Freshness_, Value, ticketInForce()))
    ++Freshness_.Counters_.StoreConfirmations_;
}

void ControlPlane::tickFreshness(Now Time, Outbox &Out) {
  if (!isBounded(Freshness_))
    return;
  bool Watching = Watch_ && !WatchFailure_;
  if (auto At = Watching ? Watch_->confirmedAt() : std::nullopt;
      At && (!WatchConfirmedAt_ || *At > *WatchConfirmedAt_)) {
    WatchConfirmedAt_ = At;
    confirmFromStore(*At);
  }
  auto Age = confirmationAge(Freshness_, Time.Monotonic_);
  Duration MaxAge = Freshness_.Config_.MaxAge_;
  Duration ReadAge =
      shareOf(MaxAge, watchState().Answered_ ? WatcherReadShare : OwnReadShare);
  // A daemon that does not serve yet reads the store in tickBootstrap().
  if ((Age ? *Age >= ReadAge : mayServe()) &&
      Time.Monotonic_ >= NextConfirmingRead_) {
    NextConfirmingRead_ =
        Time.Monotonic_ +
        shareOf(MaxAge, ReadIntervalShare * (1 + randomUnit(Rng_)));
    readStore(/*ForFloor=*/false, Time);
  }
  std::vector<std::string> Receivers = announcementTargets();
  if (tickConfigFreshness(Freshness_, ticketInForce(), Receivers, Time, Out))
    logEvent(Freshness_.Stale_ ? LogEvent::ConfigurationStale
                               : LogEvent::ConfigurationConfirmed,
             {{"ticket", Replica_.Current_->Number_},
              {"age_ms", Age ? toMilliseconds(*Age) : -1}});
}

} // namespace sycamore
