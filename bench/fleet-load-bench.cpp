// Runs the scenario of a large fleet with each way to choose a target, and
// prints the results as a Markdown table.
#include "FleetLoadRun.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace sycamore::bench;

namespace {

const char *nameOf(FleetChoice Choice) {
  switch (Choice) {
  case FleetChoice::Requests:
    return "requests per slot";
  case FleetChoice::Work:
    return "remaining work";
  case FleetChoice::Limited:
    return "remaining work, wait limit";
  case FleetChoice::Oracle:
    break;
  }
  return "oracle";
}

void print(FleetChoice Choice, double Load, const FleetLoadResult &Result) {
  std::printf("| %.1f | %s | %.4f | %.4f | %.1f | %.3f |", Load, nameOf(Choice),
              inTimeShare(Result), answeredShare(Result), meanWaitMs(Result),
              static_cast<double>(Result.Attempts_) /
                  static_cast<double>(Result.Calls_));
  for (const FleetRouteResult &Each : Result.Routes_)
    std::printf(
        " %.3f / %.3f |",
        static_cast<double>(Each.InTime_) / static_cast<double>(Each.Sent_),
        static_cast<double>(Each.Answered_) / static_cast<double>(Each.Sent_));
  std::puts("");
  std::fflush(stdout);
}

/// Sets an option of the choice, for trials of other values.
void set(FleetLoadConfig &Config, std::string_view Text) {
  std::size_t Equals = Text.find('=');
  std::string_view Name = Text.substr(0, Equals);
  double Value = Equals == std::string_view::npos
                     ? 0
                     : std::strtod(Text.data() + Equals + 1, nullptr);
  auto Ms = sycamore::Duration(static_cast<std::int64_t>(Value * 1000));
  if (Name == "choices")
    Config.Placement_.WorkChoices_ = static_cast<std::uint32_t>(Value);
  else if (Name == "half_life_ms")
    Config.Placement_.WorkHalfLife_ = Ms;
  else if (Name == "slack_share")
    Config.Placement_.SlackShare_ = Value;
  else if (Name == "limited_attempts")
    Config.WaitLimits_.MaxAttempts_ = static_cast<std::uint32_t>(Value);
  else if (Name == "cost_share")
    Config.WaitLimits_.CostShare_ = Value;
  else if (Name == "busy_share")
    Config.WaitLimits_.BusyShare_ = Value;
  else if (Name == "late_wait_share")
    Config.Admission_.LateWaitShare_ = Value;
  else if (Name == "late_refusal_ms")
    Config.Admission_.LateRefusalTime_ = Ms;
  else if (Name == "on_time_attempts")
    Config.Limits_.OnTimeAttempts_ = static_cast<std::uint32_t>(Value);
  else
    std::fprintf(stderr, "unknown option %s\n", std::string(Name).c_str());
}

} // namespace

/// Usage: fleet-load-bench [SEED [FLUCTUATION [NAME=VALUE]...]]
int main(int Count, const char **Arguments) {
  std::puts("| load | choice | in time | answered | mean wait in ms | attempts "
            "per call | first | second | third | fourth (in time / answered) "
            "|\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
  for (double Load : {0.6, 0.9, 1.2})
    for (FleetChoice Choice : {FleetChoice::Requests, FleetChoice::Work,
                               FleetChoice::Limited, FleetChoice::Oracle}) {
      FleetLoadConfig Config = largeFleet(Choice, Load);
      if (Count > 1)
        Config.Seed_ = std::strtoull(Arguments[1], nullptr, 10);
      if (Count > 2)
        Config.Fluctuation_ = std::strtod(Arguments[2], nullptr);
      for (int I = 3; I < Count; ++I)
        set(Config, Arguments[I]);
      print(Choice, Load, run(Config));
    }
  return 0;
}
