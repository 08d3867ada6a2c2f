// Decides how old the configuration in force is at most, and passes
// confirmations on.
#include "sycamore/ConfigFreshness.h"

#include <algorithm>
#include <utility>

namespace sycamore {
namespace {

constexpr std::size_t SentDigestDigits = 8;

/// Larger ages and holding times are of no use, and could overflow.
constexpr std::uint64_t MaxStatedUs = 3'600'000'000;

/// Peers that are no neighbours are forgotten this long after their message.
constexpr Duration PeerRetention = seconds(120);

/// Bounds the memory that forged names of senders can take.
constexpr std::size_t MaxPeers = 4096;

std::uint64_t microsecondsOf(TimePoint Time) {
  return static_cast<std::uint64_t>(Time.time_since_epoch().count());
}

/// Whether one of two digests is the beginning of the other.
bool sameDigest(std::string_view First, std::string_view Second) {
  std::size_t Digits = std::min(First.size(), Second.size());
  return (Digits > 0 || First == Second) &&
         First.substr(0, Digits) == Second.substr(0, Digits);
}

/// Latest time of this daemon's clock that is certainly not after the sending
/// of the message: the sender had this daemon's echoed message for the stated
/// time. Unlike a fixed allowance for the transit, this also holds for messages
/// that waited in a buffer while a process was frozen or a link stalled.
std::optional<TimePoint> earliestSending(const ConfigFreshness &State,
                                         const wire::ConfigFreshness &Message,
                                         TimePoint Time) {
  TimePoint Echo{Duration(static_cast<Duration::rep>(
      std::min(Message.echo_us(), microsecondsOf(Time) + 1)))};
  // The clock starts anew when the machine does.
  if (Message.echo_us() == 0 ||
      Message.echo_process() != State.Config_.Process_ ||
      Echo < State.StartedAt_ || Echo > Time ||
      Message.echo_hold_us() >
          static_cast<std::uint64_t>(State.Config_.MaxEchoHold_.count()))
    return std::nullopt;
  if (!State.Config_.CountTransitForTest_)
    return Time;
  return std::min(Time, Echo + Duration(static_cast<Duration::rep>(
                                   Message.echo_hold_us())));
}

bool gains(const ConfigFreshness &State, const FreshnessPeer &Peer) {
  return State.Confirmed_ &&
         (!Peer.KnownAt_ ||
          State.Confirmed_->At_ - *Peer.KnownAt_ >= State.Config_.MinGain_);
}

bool shouldSend(const ConfigFreshness &State, const FreshnessPeer &Peer,
                bool IsNeighbour, TimePoint Time) {
  const ConfigFreshnessConfig &Config = State.Config_;
  if (Peer.SentAt_ && Time - *Peer.SentAt_ < Config.SendInterval_)
    return false;
  if (Peer.AnswerDue_)
    return true;
  return IsNeighbour && (!Peer.Echoed_ || gains(State, Peer) || !Peer.SentAt_ ||
                         Time - *Peer.SentAt_ >= Config.EchoInterval_);
}

void sendTo(ConfigFreshness &State, const std::string &Name,
            FreshnessPeer &Peer, TimePoint Time, Outbox &Out) {
  wire::ConfigFreshness &Message =
      *Out.emplace_back(OutgoingMessage{Name, {}, {}})
           .Message_.mutable_config_freshness();
  if (const auto &Confirmed = State.Confirmed_) {
    Message.set_ticket(Confirmed->Ticket_);
    Message.set_digest(Confirmed->Digest_.substr(0, SentDigestDigits));
    Message.set_age_us(
        static_cast<std::uint64_t>((Time - Confirmed->At_).count()));
    Peer.KnownAt_ = Peer.KnownAt_ ? std::max(*Peer.KnownAt_, Confirmed->At_)
                                  : Confirmed->At_;
  }
  Message.set_sent_us(microsecondsOf(Time));
  if (Peer.SentUs_ != 0) {
    Message.set_echo_us(Peer.SentUs_);
    Message.set_echo_process(Peer.Process_);
    Message.set_echo_hold_us(
        static_cast<std::uint64_t>((Time - Peer.ReceivedAt_).count()));
  }
  Peer.SentAt_ = Time;
  Peer.AnswerDue_ = false;
  ++State.Counters_.Sent_;
}

void forgetPeers(ConfigFreshness &State,
                 std::span<const std::string> Neighbours, TimePoint Time) {
  std::erase_if(State.Peers_, [&](const auto &Item) {
    const auto &[Name, Peer] = Item;
    return Time - Peer.ReceivedAt_ >= PeerRetention &&
           std::find(Neighbours.begin(), Neighbours.end(), Name) ==
               Neighbours.end();
  });
}

} // namespace

ConfigFreshness makeConfigFreshness(ConfigFreshnessConfig Config, Now Time) {
  ConfigFreshness Out;
  Out.Config_ = Config;
  Out.StartedAt_ = Time.Monotonic_;
  return Out;
}

bool isBounded(const ConfigFreshness &State) {
  return State.Config_.MaxAge_.count() > 0;
}

std::optional<Duration> confirmationAge(const ConfigFreshness &State,
                                        TimePoint Time) {
  if (!State.Confirmed_)
    return std::nullopt;
  return Time - State.Confirmed_->At_;
}

bool isStale(const ConfigFreshness &State, TimePoint Time) {
  if (!isBounded(State))
    return false;
  auto Age = confirmationAge(State, Time);
  return !Age || *Age > State.Config_.MaxAge_ - State.Config_.Margin_;
}

bool confirm(ConfigFreshness &State, const Confirmation &Value,
             TicketInForce InForce) {
  if (Value.Ticket_ > InForce.Number_) {
    if (!State.Awaiting_ || State.Awaiting_->At_ < Value.At_)
      State.Awaiting_ = Value;
    return false;
  }
  // After a restoration of the store two tickets may have the same number.
  if (Value.Ticket_ == InForce.Number_ &&
      !sameDigest(Value.Digest_, InForce.Digest_)) {
    ++State.Counters_.Mismatched_;
    return false;
  }
  if (State.Confirmed_ && State.Confirmed_->At_ >= Value.At_)
    return false;
  State.Confirmed_ = Value;
  return true;
}

void receiveConfigFreshness(ConfigFreshness &State,
                            const wire::PeerMessage &Message,
                            TicketInForce InForce, Now Time) {
  if (!Message.has_config_freshness() || !isBounded(State))
    return;
  ++State.Counters_.Received_;
  const wire::ConfigFreshness &Stated = Message.config_freshness();
  if (State.Peers_.size() >= MaxPeers &&
      !State.Peers_.contains(Message.sender()))
    return;
  FreshnessPeer &Peer = State.Peers_[Message.sender()];
  if (Peer.Process_ != Message.process())
    Peer = {};
  Peer.Process_ = Message.process();
  Peer.SentUs_ = Stated.sent_us();
  Peer.ReceivedAt_ = Time.Monotonic_;
  auto SentAt = earliestSending(State, Stated, Time.Monotonic_);
  Peer.Echoed_ = SentAt.has_value();
  if (!SentAt) {
    ++State.Counters_.Undated_;
    Peer.AnswerDue_ = true;
    return;
  }
  if (Stated.ticket() == 0 || Stated.age_us() > MaxStatedUs) {
    Peer.KnownAt_.reset();
    Peer.AnswerDue_ = State.Confirmed_.has_value();
    return;
  }
  Confirmation Value{Stated.ticket(), Stated.digest(),
                     *SentAt -
                         Duration(static_cast<Duration::rep>(Stated.age_us()))};
  Peer.KnownAt_ = Value.At_;
  if (confirm(State, Value, InForce))
    ++State.Counters_.PeerConfirmations_;
  Peer.AnswerDue_ = gains(State, Peer);
}

bool tickConfigFreshness(ConfigFreshness &State, TicketInForce InForce,
                         std::span<const std::string> Neighbours, Now Time,
                         Outbox &Out) {
  if (!isBounded(State))
    return false;
  if (State.Awaiting_ && State.Awaiting_->Ticket_ <= InForce.Number_) {
    confirm(State, *State.Awaiting_, InForce);
    State.Awaiting_.reset();
  }
  forgetPeers(State, Neighbours, Time.Monotonic_);
  for (const std::string &Name : Neighbours)
    if (shouldSend(State, State.Peers_[Name], true, Time.Monotonic_))
      sendTo(State, Name, State.Peers_[Name], Time.Monotonic_, Out);
  for (auto &[Name, Peer] : State.Peers_)
    if (shouldSend(State, Peer, false, Time.Monotonic_))
      sendTo(State, Name, Peer, Time.Monotonic_, Out);
  bool Stale = isStale(State, Time.Monotonic_);
  return std::exchange(State.Stale_, Stale) != Stale;
}

} // namespace sycamore
