// Compact tables of heartbeat ages and tickets, from which every daemon knows
// the age of its information on every other daemon.
#include "MembershipInternal.h"

#include <algorithm>
#include <bit>

namespace sycamore::membership {
namespace {

// An age takes one byte: steps of 250 ms up to 32 s, then of 1 s up to 158 s.
// Two bytes in steps of 10 ms would add 345 bytes per second at 690 servers.
constexpr Duration FineStep = milliseconds(250);
constexpr Duration CoarseStep = seconds(1);
constexpr std::uint32_t FineCodes = 128;
constexpr std::uint32_t UnknownAge = 255;

/// Sections received within this time after a freeze are ignored, because they
/// may have waited in a socket buffer.
constexpr Duration ResumeGracePeriod = seconds(1);

/// A longer measured transit time means that the clock of the sender or
/// receiver is wrong; TransitAllowance_ is used instead.
constexpr Duration MaxTransit = seconds(30);

using Section = std::vector<std::pair<const std::string *, const ServerRow *>>;

/// Live servers by data centre, each section sorted by name.
std::map<std::string, Section> sectionsOf(const Membership &Members) {
  std::map<std::string, Section> Out;
  for (const auto &[Name, Row] : Members.Servers_)
    if (isLive(Row.Record_))
      Out[Row.Record_.data_centre()].emplace_back(&Name, &Row);
  return Out;
}

std::uint64_t sectionHash(const Section &Rows) {
  std::uint64_t Hash = 0;
  for (const auto &[Name, Row] : Rows)
    Hash = hash64(*Name, Hash ^ Row->Record_.incarnation());
  return Hash;
}

/// The smallest code whose age is not below Age, or UnknownAge.
std::uint32_t encodeAge(Duration Age) {
  auto RoundUp = [](Duration Span, Duration Step) {
    return static_cast<std::uint32_t>((Span + Step - Duration(1)) / Step);
  };
  if (Age <= Duration(0))
    return 0;
  if (Age <= FineCodes * FineStep)
    return RoundUp(Age, FineStep);
  if (Age > FineCodes * FineStep + (UnknownAge - 1 - FineCodes) * CoarseStep)
    return UnknownAge;
  return FineCodes + RoundUp(Age - FineCodes * FineStep, CoarseStep);
}

Duration decodeAge(std::uint32_t Code) {
  return Code <= FineCodes
             ? Duration(Code * FineStep)
             : Duration(FineCodes * FineStep + (Code - FineCodes) * CoarseStep);
}

std::uint32_t heartbeatAgeCode(const Membership &Members,
                               const std::string &Name, const ServerRow &Row) {
  if (isOwn(Members, Name))
    return 0;
  return Row.LastHeartbeat_
             ? encodeAge(Members.Time_.Monotonic_ - *Row.LastHeartbeat_)
             : UnknownAge;
}

/// Stores Value at index Position of an array of Bits-wide packed numbers.
void putBits(std::string &Bytes, std::size_t Position, unsigned Bits,
             std::size_t Value) {
  Bytes.resize(std::max(Bytes.size(), (Position * Bits + Bits + 7) / 8));
  for (unsigned I = 0; I < Bits; ++I) {
    std::size_t At = Position * Bits + I;
    if ((Value >> I & 1U) != 0)
      Bytes[At / 8] = static_cast<char>(
          static_cast<unsigned char>(Bytes[At / 8]) | 1U << At % 8);
  }
}

/// Reads what putBits() stored; missing bytes count as zero.
std::size_t getBits(const std::string &Bytes, std::size_t Position,
                    unsigned Bits) {
  std::size_t Value = 0;
  for (unsigned I = 0; I < Bits; ++I) {
    std::size_t At = Position * Bits + I;
    if (At / 8 < Bytes.size())
      Value |= static_cast<std::size_t>(
                   static_cast<unsigned char>(Bytes[At / 8]) >> At % 8 & 1U)
               << I;
  }
  return Value;
}

/// Width of an index into Count pairs, in bits.
unsigned bitsFor(int Count) {
  return Count < 2 ? 0 : std::bit_width(static_cast<unsigned>(Count) - 1);
}

using TicketPair = std::pair<std::uint64_t, std::uint64_t>;

TicketPair ticketsOf(const ServerRow &Row) {
  return {Row.Ticket_, Row.RejectedTicket_};
}

void fillTickets(const Section &Rows, wire::HeartbeatSection &Out) {
  std::map<TicketPair, std::size_t> Indexes;
  for (const auto &[Name, Row] : Rows)
    Indexes.emplace(ticketsOf(*Row), 0);
  for (auto &[Pair, Index] : Indexes) {
    Index = static_cast<std::size_t>(Out.tickets_size());
    Out.add_tickets(Pair.first);
    Out.add_rejected(Pair.second);
  }
  unsigned Bits = bitsFor(Out.tickets_size());
  for (std::size_t I = 0; I < Rows.size() && Bits > 0; ++I)
    putBits(*Out.mutable_pairs(), I, Bits,
            Indexes.at(ticketsOf(*Rows[I].second)));
}

void fillSection(const Membership &Members, const std::string &DataCentre,
                 const Section &Rows, wire::HeartbeatSection &Out) {
  Out.set_data_centre(DataCentre);
  Out.set_members_hash(sectionHash(Rows));
  std::string &Ages = *Out.mutable_ages();
  for (const auto &[Name, Row] : Rows)
    Ages += static_cast<char>(heartbeatAgeCode(Members, *Name, *Row));
  fillTickets(Rows, Out);
}

wire::SyncDigest &appendHeartbeatTable(Membership &Members,
                                       const std::string &To, Outbox &Out) {
  ++Members.Counters_.HeartbeatTablesSent_;
  wire::SyncDigest &Digest =
      *appendMessage(Members, Out, To).mutable_sync_digest();
  Digest.set_sent_unix_us(static_cast<std::uint64_t>(
      Members.Time_.Wall_.time_since_epoch().count()));
  return Digest;
}

/// Upper bound of the message's transit time.
Duration transitTime(const Membership &Members,
                     const wire::SyncDigest &Digest) {
  if (!Members.Config_.CountTransitForTest_)
    return Duration(0);
  Duration Allowance = Members.Config_.TransitAllowance_;
  Duration Measured =
      Members.Time_.Wall_.time_since_epoch() -
      Duration(static_cast<std::int64_t>(Digest.sent_unix_us()));
  return Measured > MaxTransit ? Allowance : std::max(Allowance, Measured);
}

/// Whether the section is complete and lists the same servers as Rows.
bool matchesRows(const wire::HeartbeatSection &Received, const Section &Rows) {
  return sectionHash(Rows) == Received.members_hash() &&
         Received.ages().size() == Rows.size() && Received.tickets_size() > 0 &&
         Received.tickets_size() == Received.rejected_size();
}

/// Applies those entries of the section that are newer than this daemon's own.
void applySection(Membership &Members, const wire::HeartbeatSection &Received,
                  const Section &Rows, Duration Transit) {
  unsigned Bits = bitsFor(Received.tickets_size());
  for (std::size_t I = 0; I < Rows.size(); ++I) {
    std::uint32_t Code = static_cast<unsigned char>(Received.ages()[I]);
    auto PairIndex = static_cast<int>(getBits(Received.pairs(), I, Bits));
    if (Code == UnknownAge || isOwn(Members, *Rows[I].first) ||
        PairIndex >= Received.tickets_size())
      continue;
    TimePoint HeartbeatTime =
        Members.Time_.Monotonic_ - decodeAge(Code) - Transit;
    ServerRow &Row = Members.Servers_.at(*Rows[I].first);
    if (Row.LastHeartbeat_ && *Row.LastHeartbeat_ >= HeartbeatTime)
      continue;
    Row.LastHeartbeat_ = HeartbeatTime;
    Row.Ticket_ = Received.tickets(PairIndex);
    Row.RejectedTicket_ = Received.rejected(PairIndex);
    Row.HighestTicket_ = std::max(Row.HighestTicket_, Row.Ticket_);
  }
}

/// In every second round, sends the own data centre's section to one reader of
/// every other data centre. Readers of all data centres are linked directly, so
/// sections of third data centres are not forwarded.
void sendToRemoteReaders(Membership &Members, const Section &Own, Outbox &Out) {
  if (Members.Overlay_.RemoteReaders_.empty() ||
      Members.HeartbeatRound_ % 2 != 0)
    return;
  const std::string &DataCentre = Members.Config_.DataCentre_;
  for (const auto &[Remote, Readers] : Members.Overlay_.Readers_) {
    if (Remote == DataCentre || Readers.empty())
      continue;
    auto Chosen =
        static_cast<std::size_t>(Members.HeartbeatRound_) % Readers.size();
    fillSection(
        Members, DataCentre, Own,
        *appendHeartbeatTable(Members, Readers[Chosen], Out).add_heartbeats());
  }
}

} // namespace

void tickHeartbeats(Membership &Members, Outbox &Out) {
  // In each interval, all daemons of a data centre send to the server at the
  // same distance on the ring. After log2(n) intervals, the distances 1, 2, 4
  // ... have carried every heartbeat to every daemon. The wall clock only
  // aligns the rounds of the daemons.
  Duration Interval = Members.Config_.HeartbeatInterval_;
  Duration Offset(
      static_cast<std::int64_t>(ownRow(Members).RingHash_ %
                                static_cast<std::uint64_t>(Interval.count())));
  std::int64_t Round =
      (Members.Time_.Wall_.time_since_epoch() - Offset) / Interval;
  if (Round == Members.HeartbeatRound_)
    return;
  Members.HeartbeatRound_ = Round;
  const std::vector<std::string> &Fingers = Members.Overlay_.Fingers_;
  std::map<std::string, Section> Sections = sectionsOf(Members);
  if (!Fingers.empty()) {
    wire::SyncDigest &Digest = appendHeartbeatTable(
        Members, Fingers[static_cast<std::size_t>(Round) % Fingers.size()],
        Out);
    for (const auto &[DataCentre, Rows] : Sections)
      fillSection(Members, DataCentre, Rows, *Digest.add_heartbeats());
  }
  sendToRemoteReaders(Members, Sections[Members.Config_.DataCentre_], Out);
}

void receiveHeartbeats(Membership &Members, const wire::SyncDigest &Digest) {
  if (Digest.heartbeats().empty() ||
      Members.Time_.Monotonic_ - Members.ResumedAt_ < ResumeGracePeriod)
    return;
  std::map<std::string, Section> Sections = sectionsOf(Members);
  Duration Transit = transitTime(Members, Digest);
  for (const wire::HeartbeatSection &Received : Digest.heartbeats()) {
    const Section &Rows = Sections[Received.data_centre()];
    if (!matchesRows(Received, Rows)) {
      ++Members.Counters_.HeartbeatSectionsIgnored_;
      continue;
    }
    applySection(Members, Received, Rows, Transit);
    ++Members.Counters_.HeartbeatSectionsUsed_;
  }
}

} // namespace sycamore::membership
