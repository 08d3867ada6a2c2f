// Stand-in for a target; see StandinTarget.h.
#include "Program.h"
#include "StandinTarget.h"

#include <event2/event.h>

using namespace sycamore;
using namespace sycamore::standin;

namespace {

struct Arguments {
  const char *Listen_ = "127.0.0.1:0";
  const char *PortFile_ = "";
  const char *Name_ = "target-1";
  const char *Service_ = "service";
  const char *Announce_ = "";
  const char *Ledger_ = "";
  const char *NestedPath_ = "";
  const char *NestedVia_ = "";
  int Slots_ = 6;
  int ColdStartMs_ = 0;
  double ServiceMs_ = 1;
  double StragglerRatio_ = 0;
  double StragglerFactor_ = 50;
  double SlowFactor_ = 1;
  int NestedLevels_ = 1;
  int Seed_ = 1;
  int ExitAfterS_ = 600;
};

bool parseArguments(int Count, const char **Values, Arguments &Out) {
  constexpr unsigned StringOption = POPT_ARG_STRING;
  constexpr unsigned IntegerOption = POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT;
  constexpr unsigned DoubleOption = POPT_ARG_DOUBLE | POPT_ARGFLAG_SHOW_DEFAULT;
  const poptOption Options[] = {
      {"listen", 'l', StringOption | POPT_ARGFLAG_SHOW_DEFAULT, &Out.Listen_, 0,
       "address to listen on", "IP:PORT"},
      {"port-file", 'p', StringOption, &Out.PortFile_, 0,
       "file that receives the bound address", "FILE"},
      {"name", 'n', StringOption, &Out.Name_, 0, "name of this target", "NAME"},
      {"service", 's', StringOption, &Out.Service_, 0, "service of this target",
       "NAME"},
      {"slots", 0, IntegerOption, &Out.Slots_, 0,
       "maximum number of concurrent requests", "N"},
      {"announce", 'a', StringOption, &Out.Announce_, 0,
       "admin address of the daemon beside it", "IP:PORT"},
      {"cold-start-ms", 0, IntegerOption, &Out.ColdStartMs_, 0,
       "time after the start during which requests wait", "MS"},
      {"service-ms", 0, DoubleOption, &Out.ServiceMs_, 0,
       "work time of a request", "MS"},
      {"straggler-ratio", 0, DoubleOption, &Out.StragglerRatio_, 0,
       "share of requests that are stragglers", "0..1"},
      {"straggler-factor", 0, DoubleOption, &Out.StragglerFactor_, 0,
       "multiplies the work time of stragglers", "FACTOR"},
      {"slow-factor", 0, DoubleOption, &Out.SlowFactor_, 0,
       "multiplies every work time", "FACTOR"},
      {"ledger", 0, StringOption, &Out.Ledger_, 0,
       "file that receives a JSON line for each request", "FILE"},
      {"nested", 0, StringOption, &Out.NestedPath_, 0,
       "path of the nested call that follows the work", "PATH"},
      {"nested-via", 0, StringOption, &Out.NestedVia_, 0,
       "caller address of the daemon beside it", "IP:PORT"},
      {"nested-levels", 0, IntegerOption, &Out.NestedLevels_, 0,
       "length of the chain of nested calls", "N"},
      {"seed", 0, IntegerOption, &Out.Seed_, 0, "seed of the random choices",
       "N"},
      {"exit-after-s", 'x', IntegerOption, &Out.ExitAfterS_, 0,
       "exit after this time", "SECONDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  return parseOptions(Count, Values, Options);
}

StandinTargetConfig configOf(const Arguments &From) {
  StandinTargetConfig Out;
  Out.Listen_ = From.Listen_;
  Out.Name_ = From.Name_;
  Out.Service_ = From.Service_;
  Out.Slots_ = static_cast<std::size_t>(From.Slots_);
  Out.Announce_ = From.Announce_;
  Out.ColdStart_ = milliseconds(From.ColdStartMs_);
  Out.WorkTime_ = Duration(static_cast<std::int64_t>(From.ServiceMs_ * 1000));
  Out.StragglerRatio_ = From.StragglerRatio_;
  Out.StragglerFactor_ = From.StragglerFactor_;
  Out.SlowFactor_ = From.SlowFactor_;
  Out.Ledger_ = From.Ledger_;
  Out.NestedPath_ = From.NestedPath_;
  Out.NestedVia_ = From.NestedVia_;
  Out.NestedLevels_ = static_cast<std::uint64_t>(From.NestedLevels_);
  Out.Seed_ = static_cast<std::uint64_t>(From.Seed_);
  return Out;
}

} // namespace

int main(int Count, const char **Values) {
  // popt allocates the strings and leaves them to the program.
  static Arguments Parsed;
  if (!parseArguments(Count, Values, Parsed))
    return 2;
  event_base *Base = makePreciseEventLoop();
  auto Target = StandinTarget::create(Base, configOf(Parsed));
  if (!Target) {
    printError(Target.error());
    return 1;
  }
  if (auto Written = writePortFile(Parsed.PortFile_, (*Target)->address());
      !Written) {
    printError(Written.error());
    return 1;
  }
  runUntilTerminated(Base, Parsed.ExitAfterS_, [&] {
    (*Target)->drain([Base] { event_base_loopbreak(Base); });
  });
  Target->reset();
  freeLoop(Base);
  return 0;
}
