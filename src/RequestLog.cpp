// Log lines about single requests.
#include "RequestLog.h"

#include "CallMessages.h"
#include "sycamore/Log.h"

namespace sycamore {
namespace {

constexpr std::uint32_t StatusBadGateway = 502;
constexpr std::uint32_t StatusGatewayTimeout = 504;
constexpr std::uint32_t StatusServerError = 500;

Json describe(const TargetView &Known) {
  Json Out = {{"own_in_flight", Known.InFlight_},
              {"others", Known.OthersLoad_}};
  if (Known.ReportAge_)
    Out["report_age_ms"] = toMilliseconds(*Known.ReportAge_);
  if (Known.MeanService_ > Duration(0))
    Out["mean_service_ms"] = toMilliseconds(Known.MeanService_);
  if (Known.Ejected_)
    Out["ejected"] = true;
  if (Known.Slow_)
    Out["slow"] = true;
  return Out;
}

Json describe(const CallTrail &Trail, const AttemptNote &Attempt) {
  Json Out = {{"target", Attempt.Target_},
              {"at", Attempt.Server_},
              {"after_ms", toMilliseconds(Attempt.SentAt_ - Trail.StartedAt_)},
              {"known", describe(Attempt.Known_)},
              {"end", Attempt.End_}};
  if (Attempt.Hedge_)
    Out["hedge"] = true;
  if (Attempt.EndedAt_)
    Out["took_ms"] = toMilliseconds(*Attempt.EndedAt_ - Attempt.SentAt_);
  if (!Attempt.Reason_.empty())
    Out["reason"] = Attempt.Reason_.substr(0, MaxLoggedText);
  if (!Attempt.Reason_.empty() && Attempt.Slots_ > 0) {
    Out["running"] = Attempt.Running_;
    Out["queued"] = Attempt.Queued_;
    Out["slots"] = Attempt.Slots_;
  }
  return Out;
}

Json fieldsOf(const CallTrail &Trail) {
  Json Out = {{"id", Trail.RequestId_},
              {"route", Trail.Route_},
              {"service", Trail.Service_},
              {"ticket", Trail.Ticket_}};
  if (Trail.Depth_ > 0)
    Out["depth"] = Trail.Depth_;
  return Out;
}

LogEvent lineOf(const Finish &Outcome) {
  if (!Outcome.Error_)
    return Outcome.Status_ >= StatusServerError ? LogEvent::RequestFailed
                                                : LogEvent::RequestAnswered;
  if (Outcome.Status_ == 404)
    return LogEvent::RequestNoRoute;
  if (Outcome.Run_ == wire::RUN_NOT_RUN)
    return LogEvent::RequestRefused;
  return Outcome.Status_ == StatusGatewayTimeout ? LogEvent::RequestTimedOut
                                                 : LogEvent::RequestUnknown;
}

void addOutcome(Json &Out, const Finish &Outcome) {
  Out["status"] = Outcome.Status_;
  Out["run"] = runName(Outcome.Run_);
  if (Outcome.Error_)
    Out["reason"] = Outcome.Error_->Message_;
  if (Outcome.RetryAfter_ > Duration(0))
    Out["retry_after_ms"] = toMilliseconds(Outcome.RetryAfter_);
}

Json fieldsOf(const LocalAttempt &Attempt, TimePoint Now) {
  Json Out = {{"id", Attempt.RequestId_},
              {"target", Attempt.Target_},
              {"entry", Attempt.Entry_},
              {"ticket", Attempt.Ticket_},
              {"priority", Attempt.Request_.Priority_},
              {"left_ms", toMilliseconds(Attempt.Request_.Deadline_ - Now)},
              {"expected_ms", toMilliseconds(Attempt.Request_.Expected_)},
              {"here_ms", toMilliseconds(Now - Attempt.ArrivedAt_)}};
  if (Attempt.Request_.Depth_ > 0)
    Out["depth"] = Attempt.Request_.Depth_;
  if (Attempt.Request_.TargetAt_)
    Out["target_left_ms"] = toMilliseconds(*Attempt.Request_.TargetAt_ - Now);
  return Out;
}

void addLoad(Json &Out, const Admission &Table) {
  AdmissionLoad Load = load(Table);
  Out["running"] = Load.Running_;
  Out["queued"] = Load.Queued_;
  Out["slots"] = Load.Slots_;
}

} // namespace

std::string_view attemptEndName(AttemptOutcome Outcome) {
  switch (Outcome) {
  case AttemptOutcome::Done:
    return "answered";
  case AttemptOutcome::NotRun:
    return "refused";
  case AttemptOutcome::ConnectionRefused:
    return "no-connection";
  case AttemptOutcome::Lost:
    return "target-lost";
  case AttemptOutcome::TimedOut:
    return "no-answer";
  case AttemptOutcome::Cancelled:
    return "cancelled";
  }
  return "";
}

void logAttempt(const CallTrail &Trail, const AttemptNote &Attempt) {
  LogEvent Line = Trail.Attempts_.size() > 1 ? LogEvent::AttemptRepeated
                                             : LogEvent::AttemptSent;
  if (!wantsEvent(Line, Trail.RequestId_))
    return;
  Json Out = fieldsOf(Trail);
  Out["attempt"] = Trail.Attempts_.size();
  Out["sent"] = describe(Trail, Attempt);
  writeEvent(Line, Out);
}

void logOutcome(const CallTrail &Trail, const Finish &Outcome, TimePoint Now) {
  LogEvent Line = lineOf(Outcome);
  if (!wantsEvent(Line, Trail.RequestId_))
    return;
  Json Out = fieldsOf(Trail);
  addOutcome(Out, Outcome);
  Out["took_ms"] = toMilliseconds(Now - Trail.StartedAt_);
  Out["had_ms"] = toMilliseconds(Trail.Deadline_ - Trail.StartedAt_);
  Json Attempts = Json::array();
  for (const AttemptNote &Attempt : Trail.Attempts_)
    Attempts.push_back(describe(Trail, Attempt));
  Out["attempts"] = std::move(Attempts);
  writeEvent(Line, Out);
}

void logRefusal(const CallTrail &Trail, const Finish &Outcome) {
  LogEvent Line = lineOf(Outcome);
  if (!wantsEvent(Line, Trail.RequestId_))
    return;
  Json Out = fieldsOf(Trail);
  addOutcome(Out, Outcome);
  writeEvent(Line, Out);
}

void logAbandoned(const CallTrail &Trail, TimePoint Now) {
  if (!wantsEvent(LogEvent::RequestAbandoned, Trail.RequestId_))
    return;
  Json Out = fieldsOf(Trail);
  Out["took_ms"] = toMilliseconds(Now - Trail.StartedAt_);
  Out["had_ms"] = toMilliseconds(Trail.Deadline_ - Trail.StartedAt_);
  writeEvent(LogEvent::RequestAbandoned, Out);
}

std::string_view refusalName(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::None:
    return "none";
  case RefusalReason::QueueFull:
    return "queue-full";
  case RefusalReason::TooLate:
    return "deadline-too-close";
  case RefusalReason::PastTarget:
    return "past-latency-target";
  case RefusalReason::NoSpareSlot:
    return "no-spare-slot";
  case RefusalReason::Leaving:
    return "leaving";
  case RefusalReason::NoSlots:
    return "no-slots";
  case RefusalReason::DepthConflict:
    return "circular-wait";
  case RefusalReason::Duplicate:
    return "duplicate";
  }
  return "";
}

void logAttemptRefused(const LocalAttempt &Attempt, const Admission &Table,
                       std::string_view Reason, TimePoint Now) {
  if (!wantsEvent(LogEvent::AttemptRefused, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  Out["reason"] = Reason;
  addLoad(Out, Table);
  writeEvent(LogEvent::AttemptRefused, Out);
}

void logAttemptRunning(const LocalAttempt &Attempt, const Admission &Table,
                       TimePoint Now) {
  if (!wantsEvent(LogEvent::AttemptRunning, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  addLoad(Out, Table);
  writeEvent(LogEvent::AttemptRunning, Out);
}

void logAttemptEnded(const LocalAttempt &Attempt, wire::RunOutcome Run,
                     int Status, std::string_view Why, TimePoint StartedAt,
                     TimePoint Now) {
  LogEvent Line =
      Why.empty() ? LogEvent::AttemptAnswered : LogEvent::AttemptFailed;
  if (!wantsEvent(Line, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  Out["run"] = runName(Run);
  Out["status"] = Status;
  Out["ran_ms"] = toMilliseconds(Now - StartedAt);
  if (!Why.empty())
    Out["reason"] = Why;
  writeEvent(Line, Out);
}

void logAttemptCancelled(const LocalAttempt &Attempt, bool WasRunning,
                         TimePoint Now) {
  if (!wantsEvent(LogEvent::AttemptCancelled, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  Out["was_running"] = WasRunning;
  writeEvent(LogEvent::AttemptCancelled, Out);
}

} // namespace sycamore
