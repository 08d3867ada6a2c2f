// Checks offers of tickets, heads and snapshots, and swaps in the snapshots of
// those that pass.
#include "sycamore/ConfigReplica.h"

#include "sycamore/Signing.h"

#include <algorithm>
#include <array>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 4> OutcomeNames = {
    "applied", "already_have", "gap", "rejected"};

OfferResult recordOutcome(ConfigReplica &Replica, OfferOutcome Outcome) {
  ConfigReplicaCounters &Counters = Replica.Counters_;
  if (Outcome == OfferOutcome::Applied)
    ++Counters.Applied_;
  else if (Outcome == OfferOutcome::AlreadyHave)
    ++Counters.AlreadyHave_;
  else if (Outcome == OfferOutcome::Gap)
    ++Counters.Gaps_;
  else
    ++Counters.Rejected_;
  OfferResult Out;
  Out.Outcome_ = Outcome;
  Out.Number_ = Replica.Current_->Number_;
  return Out;
}

OfferResult reject(ConfigReplica &Replica, std::uint64_t Number,
                   const Error &Failure) {
  Replica.Rejection_ = Rejection{Number, Failure};
  OfferResult Out = recordOutcome(Replica, OfferOutcome::Rejected);
  Out.Error_ = Failure;
  return Out;
}

/// Returns an error unless a known operator signed the ticket. Without
/// configured operators every ticket passes.
std::optional<Error> checkSignature(const ConfigReplica &Replica,
                                    const AcceptedTicket &Accepted) {
  const auto &Operators = Replica.Config_.Operators_;
  if (Operators.empty() || !Replica.Config_.SignaturesForTest_)
    return std::nullopt;
  std::string Name = "ticket " + std::to_string(Accepted.Ticket_.Number_);
  auto Found = Operators.find(Accepted.Approver_);
  if (Found == Operators.end())
    return Error{ErrorKind::PermissionDenied,
                 Name + ": approver \"" + Accepted.Approver_ +
                     "\" is not an operator in the settings",
                 "add the operator's public key to the settings, or have "
                 "another operator file and approve the change again"};
  if (!verifyHex(Found->second, Accepted.Digest_, Accepted.Signature_))
    return Error{ErrorKind::PermissionDenied,
                 Name + ": the signature is not that of operator \"" +
                     Accepted.Approver_ + "\"",
                 "check the operator's key in the settings and the server "
                 "that sent the ticket"};
  return std::nullopt;
}

void retainTicket(ConfigReplica &Replica, const AcceptedTicket &Accepted) {
  Replica.Recent_.push_back({Accepted, toJson(Accepted).dump()});
  Replica.RecentSize_ += Replica.Recent_.back().Json_.size();
  while (Replica.Recent_.size() > 1 &&
         Replica.RecentSize_ > Replica.Config_.MaxRecentBytes_) {
    Replica.RecentSize_ -= Replica.Recent_.front().Json_.size();
    Replica.Recent_.pop_front();
  }
}

void swapSnapshot(ConfigReplica &Replica, Snapshot &&Next) {
  Replica.Current_ = std::make_shared<const Snapshot>(std::move(Next));
  Replica.Rejection_.reset();
}

void clearRecent(ConfigReplica &Replica) {
  Replica.Recent_.clear();
  Replica.RecentSize_ = 0;
}

/// Checks the signatures that a head relies on: those of the tickets to apply,
/// and that of the last ticket in a base snapshot. Returns the first error.
std::optional<Error> checkHeadSignatures(const ConfigReplica &Replica,
                                         const Head &Value,
                                         const Snapshot &Start) {
  if (&Start != Replica.Current_.get() && Start.LastAcceptance_)
    if (auto Failure = checkSignature(Replica, *Start.LastAcceptance_))
      return Failure;
  for (const AcceptedTicket &Accepted : Value.Recent_)
    if (Accepted.Ticket_.Number_ > Start.Number_)
      if (auto Failure = checkSignature(Replica, Accepted))
        return Failure;
  return std::nullopt;
}

/// Whether the head's tickets do not follow the ticket in force. The store was
/// then restored from a copy that lacks it, and other tickets were accepted.
bool isForked(const Head &Value, const Snapshot &Current) {
  for (const AcceptedTicket &Accepted : Value.Recent_) {
    if (Accepted.Ticket_.Number_ == Current.Number_)
      return Accepted.Digest_ != Current.Digest_;
    if (Accepted.Ticket_.Number_ > Current.Number_)
      return Accepted.PreviousDigest_ != Current.Digest_;
  }
  return false;
}

} // namespace

std::string_view offerOutcomeName(OfferOutcome Outcome) {
  return OutcomeNames[static_cast<std::size_t>(Outcome)];
}

ConfigReplica makeConfigReplica(ConfigReplicaConfig Config) {
  ConfigReplica Out;
  Out.Config_ = std::move(Config);
  return Out;
}

OfferResult offerTicket(ConfigReplica &Replica,
                        const AcceptedTicket &Accepted) {
  const Snapshot &Current = *Replica.Current_;
  std::uint64_t Number = Accepted.Ticket_.Number_;
  if (Number <= Current.Number_)
    return recordOutcome(Replica, OfferOutcome::AlreadyHave);
  if (Accepted.PreviousDigest_ != Current.Digest_)
    return recordOutcome(Replica, OfferOutcome::Gap);
  if (auto Failure = checkSignature(Replica, Accepted))
    return reject(Replica, Number, *Failure);
  auto Next = applyTicket(Current, Accepted);
  if (!Next)
    return reject(Replica, Number, Next.error());
  swapSnapshot(Replica, std::move(*Next));
  retainTicket(Replica, Accepted);
  return recordOutcome(Replica, OfferOutcome::Applied);
}

OfferResult offerHead(ConfigReplica &Replica, const Head &Value,
                      const Snapshot *Base) {
  SnapshotPointer Before = Replica.Current_;
  if (Value.Number_ <= Before->Number_)
    return recordOutcome(Replica, OfferOutcome::AlreadyHave);
  static const Snapshot Empty;
  if (Value.BaseNumber_ == 0)
    Base = &Empty;
  bool FromBase =
      Before->Number_ < Value.BaseNumber_ || isForked(Value, *Before);
  if (FromBase && (!Base || Base->Number_ != Value.BaseNumber_)) {
    OfferResult Out = recordOutcome(Replica, OfferOutcome::Gap);
    Out.RequiredBase_ = Value.BaseNumber_;
    return Out;
  }
  const Snapshot &Start = FromBase ? *Base : *Before;
  if (auto Failure = checkHeadSignatures(Replica, Value, Start))
    return reject(Replica, Value.Number_, *Failure);
  auto Next = resolveHead(Value, Start);
  if (!Next)
    return reject(Replica, Value.Number_, Next.error());
  if (FromBase)
    clearRecent(Replica);
  for (const AcceptedTicket &Accepted : Value.Recent_)
    if (Accepted.Ticket_.Number_ > Start.Number_)
      retainTicket(Replica, Accepted);
  swapSnapshot(Replica, std::move(*Next));
  return recordOutcome(Replica, OfferOutcome::Applied);
}

OfferResult offerDocument(ConfigReplica &Replica, std::string_view Text) {
  // Readers receive the same document with every periodic read.
  if (Text == Replica.Document_ && !Text.empty())
    return recordOutcome(Replica, OfferOutcome::AlreadyHave);
  auto Parsed = Replica.Config_.ParseDocument_(
      Text, {Replica.Document_, &Replica.Current_->State_});
  if (!Parsed)
    return reject(Replica, 0, Parsed.error());
  if (Parsed->Number_ <= Replica.Current_->Number_ &&
      Replica.Config_.MonotoneForTest_)
    return recordOutcome(Replica, OfferOutcome::AlreadyHave);
  std::uint64_t Number = Parsed->Number_;
  auto Next = snapshotFromDocument(std::move(*Parsed), Text);
  if (!Next)
    return reject(Replica, Number, Next.error());
  swapSnapshot(Replica, std::move(*Next));
  Replica.Document_ = Text;
  return recordOutcome(Replica, OfferOutcome::Applied);
}

OfferResult offerSnapshot(ConfigReplica &Replica, std::string_view Text,
                          std::string_view Source) {
  if (Replica.Config_.ParseDocument_)
    return offerDocument(Replica, Text);
  JsonLimits Limits;
  Limits.MaxBytes_ = MaxStoreValueBytes;
  auto Document = parseJson(Text, Source, Limits);
  if (!Document)
    return reject(Replica, 0, Document.error());
  auto Next = parseSnapshot(*Document, Source);
  if (!Next)
    return reject(Replica, 0, Next.error());
  if (Next->Number_ <= Replica.Current_->Number_ &&
      Replica.Config_.MonotoneForTest_)
    return recordOutcome(Replica, OfferOutcome::AlreadyHave);
  if (auto Failure = checkSignature(Replica, *Next->LastAcceptance_))
    return reject(Replica, Next->Number_, *Failure);
  AcceptedTicket Last = *Next->LastAcceptance_;
  swapSnapshot(Replica, std::move(*Next));
  clearRecent(Replica);
  retainTicket(Replica, Last);
  return recordOutcome(Replica, OfferOutcome::Applied);
}

std::optional<std::vector<std::string>>
ticketsAfter(const ConfigReplica &Replica, std::uint64_t Number,
             std::string_view Digest) {
  auto First = std::find_if(
      Replica.Recent_.begin(), Replica.Recent_.end(),
      [&](const RetainedTicket &Retained) {
        const std::string &Previous = Retained.Accepted_.PreviousDigest_;
        return Digest.empty() ? Previous.empty() : Previous.starts_with(Digest);
      });
  if (First == Replica.Recent_.end() ||
      First->Accepted_.Ticket_.Number_ <= Number)
    return std::nullopt;
  std::vector<std::string> Out;
  for (; First != Replica.Recent_.end(); ++First)
    Out.push_back(First->Json_);
  return Out;
}

} // namespace sycamore
