// Log lines about single requests.
#include "RequestLog.h"

#include "CallMessages.h"
#include "sycamore/Log.h"

namespace sycamore {
namespace {

constexpr std::uint32_t StatusBadGateway = 502;
constexpr std::uint32_t StatusGatewayTimeout = 504;
constexpr std::uint32_t StatusServerError = 500;

Json describe(const TargetStatus &View) {
  Json Out = {{"own_in_flight", View.InFlight_}, {"others", View.OthersLoad_}};
  if (View.ReportAge_)
    Out["report_age_ms"] = toMilliseconds(*View.ReportAge_);
  if (View.MeanService_ > Duration(0))
    Out["mean_service_ms"] = toMilliseconds(View.MeanService_);
  if (View.Ejected_)
    Out["ejected"] = true;
  if (View.Slow_)
    Out["slow"] = true;
  return Out;
}

Json describe(const RequestHistory &History, const AttemptRecord &Attempt) {
  Json Out = {
      {"target", Attempt.Target_},
      {"at", Attempt.Server_},
      {"after_ms", toMilliseconds(Attempt.SentAt_ - History.StartedAt_)},
      {"known", describe(Attempt.TargetStatus_)},
      {"end", Attempt.OutcomeName_}};
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

Json fieldsOf(const RequestHistory &History) {
  Json Out = {{"id", History.RequestId_},
              {"route", History.Route_},
              {"service", History.Service_},
              {"ticket", History.Ticket_}};
  if (History.Depth_ > 0)
    Out["depth"] = History.Depth_;
  return Out;
}

LogEvent logEventFor(const CallResult &Outcome) {
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

void addOutcome(Json &Out, const CallResult &Outcome) {
  Out["status"] = Outcome.Status_;
  Out["run"] = runOutcomeName(Outcome.Run_);
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
  if (Attempt.Request_.LatencyTargetAt_)
    Out["target_left_ms"] =
        toMilliseconds(*Attempt.Request_.LatencyTargetAt_ - Now);
  return Out;
}

void addLoad(Json &Out, const Admission &Table) {
  AdmissionLoad Load = load(Table);
  Out["running"] = Load.Running_;
  Out["queued"] = Load.Queued_;
  Out["slots"] = Load.Slots_;
}

} // namespace

std::string_view attemptOutcomeName(AttemptOutcome Outcome) {
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

void logAttempt(const RequestHistory &History, const AttemptRecord &Attempt) {
  LogEvent Event = History.Attempts_.size() > 1 ? LogEvent::AttemptRepeated
                                                : LogEvent::AttemptSent;
  if (!shouldLogEvent(Event, History.RequestId_))
    return;
  Json Out = fieldsOf(History);
  Out["attempt"] = History.Attempts_.size();
  Out["sent"] = describe(History, Attempt);
  writeEvent(Event, Out);
}

void logOutcome(const RequestHistory &History, const CallResult &Outcome,
                TimePoint Now) {
  LogEvent Event = logEventFor(Outcome);
  if (!shouldLogEvent(Event, History.RequestId_))
    return;
  Json Out = fieldsOf(History);
  addOutcome(Out, Outcome);
  Out["took_ms"] = toMilliseconds(Now - History.StartedAt_);
  Out["had_ms"] = toMilliseconds(History.Deadline_ - History.StartedAt_);
  Json Attempts = Json::array();
  for (const AttemptRecord &Attempt : History.Attempts_)
    Attempts.push_back(describe(History, Attempt));
  Out["attempts"] = std::move(Attempts);
  writeEvent(Event, Out);
}

void logRefusal(const RequestHistory &History, const CallResult &Outcome) {
  LogEvent Event = logEventFor(Outcome);
  if (!shouldLogEvent(Event, History.RequestId_))
    return;
  Json Out = fieldsOf(History);
  addOutcome(Out, Outcome);
  writeEvent(Event, Out);
}

void logAbandoned(const RequestHistory &History, TimePoint Now) {
  if (!shouldLogEvent(LogEvent::RequestAbandoned, History.RequestId_))
    return;
  Json Out = fieldsOf(History);
  Out["took_ms"] = toMilliseconds(Now - History.StartedAt_);
  Out["had_ms"] = toMilliseconds(History.Deadline_ - History.StartedAt_);
  Out["closed_when_read"] = false;
  Out["attempts"] = History.Attempts_.size();
  writeEvent(LogEvent::RequestAbandoned, Out);
}

void logClosedUnread(const RequestHistory &History) {
  if (!shouldLogEvent(LogEvent::RequestAbandoned, History.RequestId_))
    return;
  writeEvent(LogEvent::RequestAbandoned,
             {{"id", History.RequestId_}, {"closed_when_read", true}});
}

std::string_view refusalName(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::None:
    return "none";
  case RefusalReason::QueueFull:
    return "queue-full";
  case RefusalReason::TooLate:
    return "deadline-too-close";
  case RefusalReason::MissesLatencyTarget:
    return "past-latency-target";
  case RefusalReason::NoFreeSlot:
    return "no-spare-slot";
  case RefusalReason::WaitLimit:
    return "wait-limit";
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
  if (!shouldLogEvent(LogEvent::AttemptRefused, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  Out["reason"] = Reason;
  addLoad(Out, Table);
  writeEvent(LogEvent::AttemptRefused, Out);
}

void logAttemptRunning(const LocalAttempt &Attempt, const Admission &Table,
                       TimePoint Now) {
  if (!shouldLogEvent(LogEvent::AttemptRunning, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  addLoad(Out, Table);
  writeEvent(LogEvent::AttemptRunning, Out);
}

void logAttemptEnded(const LocalAttempt &Attempt, wire::RunOutcome Run,
                     int Status, std::string_view FailureReason,
                     TimePoint StartedAt, TimePoint Now) {
  LogEvent Event = FailureReason.empty() ? LogEvent::AttemptAnswered
                                         : LogEvent::AttemptFailed;
  if (!shouldLogEvent(Event, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  Out["run"] = runOutcomeName(Run);
  Out["status"] = Status;
  Out["ran_ms"] = toMilliseconds(Now - StartedAt);
  if (!FailureReason.empty())
    Out["reason"] = FailureReason;
  writeEvent(Event, Out);
}

void logAttemptCancelled(const LocalAttempt &Attempt, bool WasRunning,
                         TimePoint Now) {
  if (!shouldLogEvent(LogEvent::AttemptCancelled, Attempt.RequestId_))
    return;
  Json Out = fieldsOf(Attempt, Now);
  Out["was_running"] = WasRunning;
  writeEvent(LogEvent::AttemptCancelled, Out);
}

} // namespace sycamore
