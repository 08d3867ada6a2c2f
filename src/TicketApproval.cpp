// Approves tickets and compacts the head.
#include "TicketActionContext.h"
#include "TicketMutations.h"
#include "sycamore/Signing.h"

#include <algorithm>

namespace sycamore {
namespace {

/// Daemons refuse an acceptance whose signature does not match the operator's
/// public key, so it must not be written to the store.
std::optional<Error> checkSignature(const TicketOperator &Operator,
                                    const AcceptedTicket &Accepted) {
  for (const OperatorEntry &Entry : Operator.Operators_)
    if (Entry.Name_ == Operator.Name_ &&
        !mutationEnabled("desk-skip-signature") &&
        !verifyHex(Entry.PublicKey_, Accepted.Digest_, Accepted.Signature_))
      return Error{ErrorKind::PermissionDenied,
                   "the signing key is not that of operator \"" +
                       Operator.Name_ + "\"",
                   "set signing_key_file to the key whose public part is "
                   "listed under operators"};
  return std::nullopt;
}

struct Compaction {
  std::uint64_t NewBase_ = 0;
  std::uint64_t OldBase_ = 0;
};

/// Deletes the snapshots older than the new base, except the base of the
/// previous head: an operator or daemon that has read that head may still fetch
/// it. Failures are harmless, because the next compaction deletes the rest.
void pruneSnapshots(TicketAction &Action, const Compaction &Completed) {
  if (Action.expired())
    return;
  RangeRequest OlderSnapshots{snapshotKey(0), snapshotKey(Completed.NewBase_)};
  OlderSnapshots.KeysOnly_ = true;
  auto Answer = Action.read({OlderSnapshots});
  if (!Answer)
    return;
  Txn Request;
  for (const KeyValue &Value : Answer->Reads_[0].Values_)
    if (Value.Key_ != snapshotKey(Completed.OldBase_) ||
        mutationEnabled("desk-prune-previous-base"))
      Request.Deletes_.push_back(Value.Key_);
  if (!Request.Deletes_.empty())
    Action.write(Request);
}

class Approval {
public:
  Approval(const TicketSession &Session, const TicketOperator &Operator,
           std::uint64_t Number, WallTime Now)
      : Action_(Session), Operator_(Operator), Number_(Number) {
    Request_.Approver_ = Operator.Name_;
    Request_.AcceptanceId_ = randomId();
    Request_.NowUnixUs_ = toUnixMicroseconds(Now);
    Request_.Sign_ = Operator.Sign_;
    Request_.RequireSecondOperator_ = Operator.RequireSecondOperator_;
  }

  TicketActionOutcome run() {
    std::optional<TicketActionOutcome> Outcome;
    while (!Outcome)
      Outcome = tryOnce();
    return *Outcome;
  }

private:
  /// Reads, decides and writes once; unset if a retry is needed.
  std::optional<TicketActionOutcome> tryOnce();
  std::optional<TicketActionOutcome>
  writeAcceptance(const HeadView &View, const TicketRecord &Record,
                  std::int64_t RecordRevision);
  bool foundOwnAcceptance(const HeadView &View,
                          const TicketRecord &Record) const;
  /// Conflict if another acceptance has changed an entity of this ticket since
  /// the first read.
  std::optional<Error> checkConcurrentChanges(const HeadView &View,
                                              const Ticket &Change);
  /// Writes the base snapshot; unset on success.
  std::optional<TicketActionOutcome> storeSnapshot(const Put &Snapshot);
  TicketActionOutcome finishAccepted(bool FoundByReading);

  TicketAction Action_;
  const TicketOperator &Operator_;
  std::uint64_t Number_;
  AcceptanceRequest Request_;
  std::optional<UncertainWrite> UncertainWrite_;
  std::optional<Compaction> Compaction_;
  std::optional<State> InitialState_;
};

bool Approval::foundOwnAcceptance(const HeadView &View,
                                  const TicketRecord &Record) const {
  if (mutationEnabled("desk-no-read-back"))
    return false;
  auto IsOwn = [&](const AcceptedTicket &Accepted) {
    return Accepted.AcceptanceId_ == Request_.AcceptanceId_;
  };
  return Record.AcceptanceId_ == Request_.AcceptanceId_ ||
         std::any_of(View.Head_.Recent_.begin(), View.Head_.Recent_.end(),
                     IsOwn);
}

std::optional<Error> Approval::checkConcurrentChanges(const HeadView &View,
                                                      const Ticket &Change) {
  if (!InitialState_) {
    InitialState_ = View.Current_.State_;
    return std::nullopt;
  }
  auto Before = changesAgainst(*InitialState_, Change);
  auto Now = changesAgainst(View.Current_.State_, Change);
  auto Same = [](const EntityChange &Left, const EntityChange &Right) {
    return Left.Path_ == Right.Path_ && Left.Before_ == Right.Before_;
  };
  if (std::equal(Before.begin(), Before.end(), Now.begin(), Now.end(), Same) ||
      mutationEnabled("desk-ignore-rivals"))
    return std::nullopt;
  const AcceptedTicket &Latest = *View.Current_.LastAcceptance_;
  return Error{ErrorKind::Conflict,
               ticketName(Number_) + " lost a race with " +
                   ticketName(Latest.Ticket_.Number_) + " of " +
                   Latest.Approver_ + ", which changed the same entities",
               "run `sycamorectl ticket diff " + std::to_string(Number_) +
                   "` and approve again if it is still right"};
}

TicketActionOutcome Approval::finishAccepted(bool FoundByReading) {
  if (Compaction_)
    pruneSnapshots(Action_, *Compaction_);
  return TicketActionAccepted{Number_, FoundByReading};
}

std::optional<TicketActionOutcome>
Approval::storeSnapshot(const Put &Snapshot) {
  Txn Request;
  Request.Puts_ = {Snapshot};
  for (;;) {
    // Repeating the write is safe: the head determines the snapshot's content.
    WriteOutcome WriteResult = Action_.write(Request);
    if (WriteResult == WriteOutcome::Applied)
      return std::nullopt;
    if (WriteResult == WriteOutcome::Refused)
      return finishWithStoreRefusal(UncertainWrite_, Number_,
                                    Action_.lastError());
    if (Action_.expired())
      return finishWithError(UncertainWrite_, Number_, Action_.lastError());
    Action_.backOff();
  }
}

std::optional<TicketActionOutcome>
Approval::writeAcceptance(const HeadView &View, const TicketRecord &Record,
                          std::int64_t RecordRevision) {
  auto Plan = planAcceptance(View.Head_, View.Current_, Record, Request_);
  if (!Plan)
    return finishWithError(UncertainWrite_, Number_, Plan.error());
  if (auto Failure = checkSignature(Operator_, Plan->Accepted_))
    return finishWithError(UncertainWrite_, Number_, *Failure);
  Compaction_.reset();
  if (Plan->Snapshot_) {
    if (!mutationEnabled("desk-head-before-snapshot"))
      if (auto Outcome = storeSnapshot(*Plan->Snapshot_))
        return Outcome;
    Compaction_ = {Plan->Head_.BaseNumber_, View.Head_.BaseNumber_};
  }
  Txn Request;
  if (!mutationEnabled("desk-skip-head-compare"))
    Request.Compares_.push_back({headKey(), View.HeadRevision_});
  if (!mutationEnabled("desk-skip-ticket-compare"))
    Request.Compares_.push_back({ticketKey(Number_), RecordRevision});
  Request.Puts_ = Plan->Puts_;
  switch (Action_.write(Request)) {
  case WriteOutcome::Applied:
    if (Plan->Snapshot_ && mutationEnabled("desk-head-before-snapshot"))
      storeSnapshot(*Plan->Snapshot_);
    return finishAccepted(false);
  case WriteOutcome::Mismatch:
    return std::nullopt;
  case WriteOutcome::Refused:
    return finishWithStoreRefusal(UncertainWrite_, Number_,
                                  Action_.lastError());
  case WriteOutcome::Unknown:
    if (mutationEnabled("desk-doubt-as-acceptance"))
      return finishAccepted(false);
    UncertainWrite_ =
        UncertainWrite{Number_, View.HeadRevision_, RecordRevision};
    break;
  case WriteOutcome::NotRun:
    break;
  }
  Action_.backOff();
  return std::nullopt;
}

std::optional<TicketActionOutcome> Approval::tryOnce() {
  if (Action_.expired())
    return finishWithError(UncertainWrite_, Number_, Action_.lastError());
  std::vector<RangeResult> ExtraResults;
  auto View =
      Action_.readHead({singleKeyRequest(ticketKey(Number_))}, &ExtraResults);
  if (!View)
    return finishWithError(UncertainWrite_, Number_, View.error());
  if (ExtraResults[0].Values_.empty())
    return finishWithError(UncertainWrite_, Number_, notFiledError(Number_));
  const KeyValue &Stored = ExtraResults[0].Values_[0];
  auto Record = parseStoredRecord(Stored, Number_);
  if (!Record)
    return finishWithError(UncertainWrite_, Number_, Record.error());
  if (foundOwnAcceptance(*View, *Record))
    return finishAccepted(true);
  if (UncertainWrite_ &&
      (UncertainWrite_->HeadRevision_ != View->HeadRevision_ ||
       UncertainWrite_->RecordRevision_ != Stored.ModRevision_))
    UncertainWrite_.reset();
  if (auto Failure = checkConcurrentChanges(*View, Record->Ticket_))
    return finishWithError(UncertainWrite_, Number_, *Failure);
  return writeAcceptance(*View, *Record, Stored.ModRevision_);
}

} // namespace

TicketActionOutcome approveTicket(const TicketSession &Session,
                                  const TicketOperator &Operator,
                                  std::uint64_t Number, WallTime Now) {
  if (auto Failure =
          checkPermission(Operator, &OperatorEntry::MayApprove_, "approve"))
    return notAccepted(Number, *Failure);
  return Approval(Session, Operator, Number, Now).run();
}

} // namespace sycamore
