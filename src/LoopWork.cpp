// Accounts for the time that the event loop spends in each kind of work.
#include "LoopWork.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <algorithm>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, LoopTaskCount> TaskNames = {
    "tick",          "caller-request", "call",         "control",
    "ticket-bodies", "ticket-pull",    "store-answer", "target-response"};

} // namespace

std::string_view loopTaskName(LoopTask Task) {
  return TaskNames[static_cast<std::size_t>(Task)];
}

void recordTask(LoopWork &Work, LoopTask Task, Duration Span) {
  LoopTaskStats &Stats = Work.Tasks_[static_cast<std::size_t>(Task)];
  ++Stats.Count_;
  Stats.Total_ += Span;
  Stats.Longest_ = std::max(Stats.Longest_, Span);
  if (Span >= SlowTaskTime)
    logEvent(LogEvent::TaskSlow,
             {{"task", loopTaskName(Task)}, {"took_ms", toMilliseconds(Span)}});
}

void recordTickDelay(LoopWork &Work, Duration Delay) {
  Work.TickDelay_ = std::max(Work.TickDelay_, Delay);
}

LoopWork takeLongest(LoopWork &Work) {
  LoopWork Out = Work;
  Work.TickDelay_ = Duration(0);
  for (LoopTaskStats &Stats : Work.Tasks_)
    Stats.Longest_ = Duration(0);
  return Out;
}

LoopTaskTimer::LoopTaskTimer(LoopWork &Work, LoopTask Task)
    : Work_(Work), Task_(Task), StartedAt_(monotonicNow()) {}

LoopTaskTimer::~LoopTaskTimer() {
  recordTask(Work_, Task_, monotonicNow() - StartedAt_);
}

} // namespace sycamore
