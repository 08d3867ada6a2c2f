#include "sycamore/TargetCalls.h"

#include "CallMutation.h"
#include "sycamore/Error.h"

#include <algorithm>
#include <utility>

namespace sycamore {
namespace {

EntryProcessKey keyOf(const wire::CallId &Id) {
  return {Id.entry(), Id.incarnation()};
}

wire::CallAnswer makeErrorAnswer(const TargetCalls &Calls,
                                 const wire::CallId &Id, wire::RunOutcome Run,
                                 std::uint32_t Status, ErrorKind Kind,
                                 std::string Message) {
  wire::CallAnswer Out;
  *Out.mutable_id() = Id;
  Out.set_run(Run);
  Out.set_status(Status);
  Out.set_error_kind(std::string(errorKindName(Kind)));
  Out.set_error_message(std::move(Message));
  Out.set_process(Calls.Process_);
  return Out;
}

wire::CallAnswer forgottenAnswer(const TargetCalls &Calls,
                                 const wire::CallId &Id) {
  return makeErrorAnswer(
      Calls, Id, wire::RUN_UNKNOWN, 502, ErrorKind::OutcomeUnknown,
      "the record of this call was dropped; it may have run");
}

wire::CallAnswer droppedBodyAnswer(const TargetCalls &Calls,
                                   const wire::CallId &Id) {
  return makeErrorAnswer(Calls, Id, wire::RUN_DONE, 502,
                         ErrorKind::OutcomeUnknown,
                         "the call ran, but its answer is no longer kept");
}

wire::CallAnswer refusedAnswer(const TargetCalls &Calls,
                               const wire::CallId &Id) {
  return makeErrorAnswer(
      Calls, Id, wire::RUN_NOT_RUN, 503, ErrorKind::Unavailable,
      "the call was refused because a query or a cancellation "
      "arrived before it");
}

TargetCall *findCall(TargetCalls &Calls, const wire::CallId &Id) {
  auto Process = Calls.Processes_.find(keyOf(Id));
  if (Process == Calls.Processes_.end())
    return nullptr;
  auto Found = Process->second.Calls_.find(Id.ordinal());
  return Found == Process->second.Calls_.end() ? nullptr : &Found->second;
}

bool sameCall(const wire::CallId &A, const wire::CallId &B) {
  return A.sequence() == B.sequence() && A.attempt() == B.attempt();
}

/// Whether a call without a record may have had one that was dropped.
bool mayHaveBeenForgotten(const TargetCalls &Calls, const wire::CallId &Id) {
  if (mutationEnabled(CallMutation::NoLowWaterMark))
    return false;
  auto Process = Calls.Processes_.find(keyOf(Id));
  if (Process == Calls.Processes_.end())
    return Id.incarnation() <= Calls.LatestForgottenIncarnation_;
  return Id.ordinal() <= Process->second.LowWaterMark_;
}

void dropBody(TargetCalls &Calls, TargetCall &Call) {
  if (!Call.Body_)
    return;
  Calls.AnswerBytes_ -= Call.Body_->size();
  Call.Body_.reset();
}

/// Drops the record of the call that ended first and raises the low-water mark
/// of its entry process.
void dropOldestRecord(TargetCalls &Calls) {
  auto [Key, Ordinal] = Calls.EndOrder_.front();
  Calls.EndOrder_.pop_front();
  EntryProcess &Process = Calls.Processes_.at(Key);
  auto Found = Process.Calls_.find(Ordinal);
  dropBody(Calls, Found->second);
  Process.Calls_.erase(Found);
  Process.LowWaterMark_ = std::max(Process.LowWaterMark_, Ordinal);
  --Calls.Records_;
  ++Calls.Counters_.RecordsDropped_;
}

/// Drops the low-water mark of the entry process that started first among those
/// without records.
void forgetOldestProcess(TargetCalls &Calls) {
  auto Oldest = Calls.Processes_.end();
  for (auto It = Calls.Processes_.begin(); It != Calls.Processes_.end(); ++It)
    if (It->second.Calls_.empty() && (Oldest == Calls.Processes_.end() ||
                                      It->first.second < Oldest->first.second))
      Oldest = It;
  if (Oldest == Calls.Processes_.end())
    return;
  Calls.LatestForgottenIncarnation_ =
      std::max(Calls.LatestForgottenIncarnation_, Oldest->first.second);
  Calls.Processes_.erase(Oldest);
  ++Calls.Counters_.ProcessesForgotten_;
}

/// The entry process of a call, created if absent. Null when there is no room.
EntryProcess *findOrAddProcess(TargetCalls &Calls, const wire::CallId &Id) {
  auto Found = Calls.Processes_.find(keyOf(Id));
  if (Found != Calls.Processes_.end())
    return &Found->second;
  if (Calls.Processes_.size() >= Calls.Limits_.MaxProcesses_)
    forgetOldestProcess(Calls);
  if (Calls.Processes_.size() >= Calls.Limits_.MaxProcesses_)
    return nullptr;
  return &Calls.Processes_[keyOf(Id)];
}

/// Adds a record. Null when there is no room, for example because all records
/// belong to calls that have not ended; the call then counts as forgotten, so
/// that no copy of it is run later.
TargetCall *addRecord(TargetCalls &Calls, const wire::CallId &Id) {
  EntryProcess *Process = findOrAddProcess(Calls, Id);
  if (Process == nullptr) {
    Calls.LatestForgottenIncarnation_ =
        std::max(Calls.LatestForgottenIncarnation_, Id.incarnation());
    return nullptr;
  }
  while (Calls.Records_ >= Calls.Limits_.MaxRecords_ &&
         !Calls.EndOrder_.empty())
    dropOldestRecord(Calls);
  if (Calls.Records_ >= Calls.Limits_.MaxRecords_) {
    Process->LowWaterMark_ = std::max(Process->LowWaterMark_, Id.ordinal());
    return nullptr;
  }
  TargetCall &Out = Process->Calls_[Id.ordinal()];
  Out.Id_ = Id;
  ++Calls.Records_;
  return &Out;
}

void markEnded(TargetCalls &Calls, TargetCall &Call, TargetCallState State,
               TimePoint Now) {
  Call.State_ = State;
  Call.EndedAt_ = Now;
  Calls.EndOrder_.emplace_back(keyOf(Call.Id_), Call.Id_.ordinal());
}

/// Records a call that was never seen as permanently refused. Returns false
/// when there is no room.
bool addTombstone(TargetCalls &Calls, const wire::CallId &Id, TimePoint Now) {
  TargetCall *Call = addRecord(Calls, Id);
  if (Call == nullptr)
    return false;
  Call->Answer_ = refusedAnswer(Calls, Id);
  markEnded(Calls, *Call, TargetCallState::Refused, Now);
  ++Calls.Counters_.Tombstones_;
  return true;
}

/// Longest time for which a request read at Now may have been delayed by pauses
/// of this process.
Duration maxPauseDelay(const TargetCalls &Calls, TimePoint Now) {
  if (mutationEnabled(CallMutation::IgnorePause))
    return Duration{0};
  Duration SinceTick = Now - Calls.LastTick_;
  bool Draining =
      Calls.LastTick_ - Calls.PauseEnd_ <= Calls.Limits_.DrainAfterPause_;
  Duration Wait = Draining ? Calls.PauseLength_ : Duration{0};
  if (SinceTick > Calls.Limits_.PauseThreshold_)
    Wait += SinceTick;
  return Wait;
}

/// Time for which a request with this transit time waited longer than the
/// fastest recent request of the same process; unset if there was none.
std::optional<Duration> transitExcess(const TransitBaseline &Baseline,
                                      Duration Transit, Duration Window,
                                      TimePoint Now) {
  if (Now - Baseline.WindowStart_ >= 2 * Window)
    return std::nullopt;
  std::optional<Duration> Smallest = Baseline.Current_;
  if (!Smallest || (Baseline.Previous_ && *Baseline.Previous_ < *Smallest))
    Smallest = Baseline.Previous_;
  if (!Smallest)
    return std::nullopt;
  return std::max<Duration>(Transit - *Smallest, Duration(0));
}

void addTransit(TransitBaseline &Baseline, Duration Transit, Duration Window,
                TimePoint Now) {
  if (Now - Baseline.WindowStart_ >= Window) {
    bool Adjacent = Now - Baseline.WindowStart_ < 2 * Window;
    Baseline.Previous_ = Adjacent ? Baseline.Current_ : std::nullopt;
    Baseline.Current_.reset();
    Baseline.WindowStart_ = Now;
  }
  Baseline.Current_ = std::min(Baseline.Current_.value_or(Transit), Transit);
}

/// Time for which a request may have waited before it was read. Without a
/// baseline, the request may have waited for as long as this process paused.
Duration waitBeforeRead(TargetCalls &Calls, const wire::CallRequest &Request,
                        TimePoint Now) {
  Duration Pause = maxPauseDelay(Calls, Now);
  EntryProcess *Process =
      Request.sent_us() != 0 ? findOrAddProcess(Calls, Request.id()) : nullptr;
  if (Process == nullptr)
    return Pause;
  Duration Window = Calls.Limits_.TransitWindow_;
  Duration Transit = Now.time_since_epoch() -
                     Duration(static_cast<Duration::rep>(Request.sent_us()));
  auto Excess = transitExcess(Process->Transit_, Transit, Window, Now);
  // A first request that was delayed itself is no baseline.
  if (Excess || Pause == Duration(0))
    addTransit(Process->Transit_, Transit, Window, Now);
  return Excess.value_or(Pause);
}

AcceptResult refuse(Acceptance Kind, wire::CallAnswer Answer) {
  AcceptResult Out;
  Out.Acceptance_ = Kind;
  Out.Answer_ = std::move(Answer);
  return Out;
}

/// Result for an attempt whose call already has a record.
AcceptResult acceptRecordedCall(TargetCalls &Calls, const TargetCall &Call,
                                const wire::CallId &Id) {
  if (!sameCall(Call.Id_, Id)) {
    ++Calls.Counters_.Mismatched_;
    return refuse(Acceptance::Forgotten, forgottenAnswer(Calls, Id));
  }
  AcceptResult Out;
  switch (Call.State_) {
  case TargetCallState::Queued:
  case TargetCallState::Running:
    ++Calls.Counters_.Duplicates_;
    Out.Acceptance_ = Acceptance::DuplicateRunning;
    return Out;
  case TargetCallState::Refused:
    ++Calls.Counters_.RefusedPermanently_;
    return refuse(Acceptance::RefusedPermanently, Call.Answer_);
  case TargetCallState::Finished:
    break;
  }
  ++Calls.Counters_.Replays_;
  Out.Acceptance_ = Acceptance::Replay;
  Out.Answer_ = Call.Answer_;
  Out.Body_ = Call.Body_;
  return Out;
}

AcceptResult acceptExpired(TargetCalls &Calls, const wire::CallId &Id,
                           TimePoint Now) {
  ++Calls.Counters_.Expired_;
  wire::CallAnswer Answer = makeErrorAnswer(
      Calls, Id, wire::RUN_NOT_RUN, 504, ErrorKind::DeadlineExceeded,
      "the call's time may have ended before it was read");
  // The record prevents a second copy of the request from being run after this
  // answer.
  if (!mutationEnabled(CallMutation::ExpiredWithoutRecord)) {
    TargetCall *Call = addRecord(Calls, Id);
    if (Call != nullptr) {
      Call->Answer_ = Answer;
      markEnded(Calls, *Call, TargetCallState::Refused, Now);
    }
  }
  return refuse(Acceptance::Expired, std::move(Answer));
}

wire::CallQueryAnswer makeQueryAnswer(const TargetCalls &Calls,
                                      const wire::CallId &Id,
                                      wire::CallState State) {
  wire::CallQueryAnswer Out;
  *Out.mutable_id() = Id;
  Out.set_state(State);
  Out.set_process(Calls.Process_);
  return Out;
}

QueryResult queryRecordedCall(const TargetCalls &Calls, const TargetCall &Call,
                              const wire::CallId &Id) {
  QueryResult Out;
  if (!sameCall(Call.Id_, Id)) {
    Out.QueryAnswer_ = makeQueryAnswer(Calls, Id, wire::CALL_FORGOTTEN);
    return Out;
  }
  switch (Call.State_) {
  case TargetCallState::Queued:
  case TargetCallState::Running:
    Out.QueryAnswer_ = makeQueryAnswer(Calls, Id, wire::CALL_RUNNING);
    return Out;
  case TargetCallState::Refused:
    Out.QueryAnswer_ = makeQueryAnswer(Calls, Id, wire::CALL_REFUSED_FOR_GOOD);
    return Out;
  case TargetCallState::Finished:
    break;
  }
  Out.QueryAnswer_ = makeQueryAnswer(Calls, Id, wire::CALL_DONE);
  Out.Answer_ = Call.Answer_;
  Out.Body_ = Call.Body_;
  return Out;
}

/// Drops the oldest stored answer bodies until they are within
/// MaxAnswerBytes_. The outcomes of the calls are kept.
void dropExcessBodies(TargetCalls &Calls) {
  while (Calls.AnswerBytes_ > Calls.Limits_.MaxAnswerBytes_ &&
         !Calls.BodyOrder_.empty()) {
    auto [Key, Ordinal] = Calls.BodyOrder_.front();
    Calls.BodyOrder_.pop_front();
    auto Process = Calls.Processes_.find(Key);
    if (Process == Calls.Processes_.end())
      continue;
    auto Found = Process->second.Calls_.find(Ordinal);
    if (Found == Process->second.Calls_.end() || !Found->second.Body_)
      continue;
    dropBody(Calls, Found->second);
    Found->second.AnswerDropped_ = true;
    if (Found->second.Answer_.run() == wire::RUN_DONE)
      Found->second.Answer_ = droppedBodyAnswer(Calls, Found->second.Id_);
    ++Calls.Counters_.AnswersDropped_;
  }
}

} // namespace

std::vector<PauseEvent> takeEvents(TargetCalls &Calls) {
  return std::exchange(Calls.Events_, {});
}

AcceptResult acceptRequest(TargetCalls &Calls, const wire::CallRequest &Request,
                           TimePoint Now) {
  const wire::CallId &Id = Request.id();
  TargetCall *Known = findCall(Calls, Id);
  if (Known != nullptr && !mutationEnabled(CallMutation::NoDuplicateCheck))
    return acceptRecordedCall(Calls, *Known, Id);
  if (Request.process() != 0 && Request.process() != Calls.Process_) {
    ++Calls.Counters_.WrongProcess_;
    return refuse(Acceptance::WrongProcess, forgottenAnswer(Calls, Id));
  }
  // After a restart, the next process of this daemon could not tell a second
  // copy of this request from the first one.
  if (Request.process() == 0 && !Request.idempotent()) {
    ++Calls.Counters_.WrongProcess_;
    return refuse(Acceptance::NoProcess,
                  makeErrorAnswer(
                      Calls, Id, wire::RUN_NOT_RUN, 503, ErrorKind::InvalidData,
                      "the request does not name the daemon's process"));
  }
  if (mayHaveBeenForgotten(Calls, Id)) {
    ++Calls.Counters_.Forgotten_;
    return refuse(Acceptance::Forgotten, forgottenAnswer(Calls, Id));
  }
  Duration Remaining =
      Duration(static_cast<Duration::rep>(Request.remaining_us())) -
      waitBeforeRead(Calls, Request, Now);
  if (Remaining <= Duration{0})
    return acceptExpired(Calls, Id, Now);
  TargetCall *Call = addRecord(Calls, Id);
  if (Call == nullptr) {
    ++Calls.Counters_.Full_;
    return refuse(Acceptance::NoRoom,
                  makeErrorAnswer(Calls, Id, wire::RUN_NOT_RUN, 503,
                                  ErrorKind::Unavailable,
                                  "too many calls run beside this target"));
  }
  Call->Deadline_ = Now + Remaining;
  ++Calls.Counters_.Accepted_;
  AcceptResult Out;
  Out.Remaining_ = Remaining;
  return Out;
}

bool recordRunning(TargetCalls &Calls, const wire::CallId &Id, TimePoint Now) {
  TargetCall *Call = findCall(Calls, Id);
  if (Call == nullptr || Call->State_ != TargetCallState::Queued ||
      Now >= Call->Deadline_)
    return false;
  Call->State_ = TargetCallState::Running;
  return true;
}

wire::CallAnswer recordEnd(TargetCalls &Calls, wire::CallAnswer Answer,
                           std::shared_ptr<const std::string> Body,
                           TimePoint Now) {
  Answer.set_process(Calls.Process_);
  TargetCall *Call = findCall(Calls, Answer.id());
  if (Call == nullptr)
    return Answer;
  bool Ended = Call->State_ == TargetCallState::Finished ||
               Call->State_ == TargetCallState::Refused;
  if (Ended)
    return Call->Answer_;
  Call->Answer_ = Answer;
  TargetCallState State = Answer.run() == wire::RUN_NOT_RUN
                              ? TargetCallState::Refused
                              : TargetCallState::Finished;
  markEnded(Calls, *Call, State, Now);
  if (Body && !Body->empty()) {
    Calls.AnswerBytes_ += Body->size();
    Call->Body_ = std::move(Body);
    Calls.BodyOrder_.emplace_back(keyOf(Answer.id()), Answer.id().ordinal());
    dropExcessBodies(Calls);
  }
  return Answer;
}

QueryResult onQuery(TargetCalls &Calls, const wire::CallQuery &Query,
                    TimePoint Now) {
  ++Calls.Counters_.Queries_;
  const wire::CallId &Id = Query.id();
  if (const TargetCall *Known = findCall(Calls, Id))
    return queryRecordedCall(Calls, *Known, Id);
  QueryResult Out;
  bool OtherProcess = Query.process() != 0 && Query.process() != Calls.Process_;
  bool Refused = !OtherProcess && !mayHaveBeenForgotten(Calls, Id);
  if (Refused && !mutationEnabled(CallMutation::NoTombstone))
    Refused = addTombstone(Calls, Id, Now);
  if (OtherProcess && mutationEnabled(CallMutation::RestartedDaemonVouches))
    Refused = true;
  Out.QueryAnswer_ = makeQueryAnswer(
      Calls, Id, Refused ? wire::CALL_REFUSED_FOR_GOOD : wire::CALL_FORGOTTEN);
  return Out;
}

CancelResult onCancel(TargetCalls &Calls, const wire::CallId &Id,
                      TimePoint Now) {
  TargetCall *Call = findCall(Calls, Id);
  if (Call == nullptr) {
    if (!mayHaveBeenForgotten(Calls, Id))
      addTombstone(Calls, Id, Now);
    return CancelResult::NoAction;
  }
  if (!sameCall(Call->Id_, Id)) {
    ++Calls.Counters_.Mismatched_;
    return CancelResult::NoAction;
  }
  if (Call->State_ == TargetCallState::Running) {
    ++Calls.Counters_.Cancelled_;
    return CancelResult::Abort;
  }
  if (Call->State_ != TargetCallState::Queued)
    return CancelResult::NoAction;
  ++Calls.Counters_.Cancelled_;
  Call->Answer_ = refusedAnswer(Calls, Id);
  markEnded(Calls, *Call, TargetCallState::Refused, Now);
  return CancelResult::Dequeue;
}

void tickTargetCalls(TargetCalls &Calls, TimePoint Now) {
  Duration Gap = Now - Calls.LastTick_;
  if (Gap > Calls.Limits_.PauseThreshold_) {
    // A request may have been delayed by several pauses.
    bool Draining =
        Now - Gap - Calls.PauseEnd_ <= Calls.Limits_.DrainAfterPause_;
    Calls.PauseLength_ = Draining ? Calls.PauseLength_ + Gap : Gap;
    Calls.PauseEnd_ = Now;
    ++Calls.Counters_.Pauses_;
    Calls.Events_.push_back({Gap});
  }
  Calls.LastTick_ = Now;
  while (!Calls.EndOrder_.empty()) {
    const auto &[Key, Ordinal] = Calls.EndOrder_.front();
    const TargetCall &Oldest = Calls.Processes_.at(Key).Calls_.at(Ordinal);
    if (Now - Oldest.EndedAt_ < Calls.Limits_.RetentionTime_)
      break;
    dropOldestRecord(Calls);
  }
}

} // namespace sycamore
