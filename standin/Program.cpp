// Shared by the stand-in programs.
#include "Program.h"

#include <csignal>
#include <cstdio>
#include <event2/event.h>
#include <fstream>
#include <memory>

namespace sycamore::standin {
namespace {

struct TerminationContext {
  event_base *Base_;
  std::function<void()> OnTerminate_;
};

using EventPointer = std::unique_ptr<event, decltype(&event_free)>;

void onSignal(evutil_socket_t /*Signal*/, short /*Events*/, void *Argument) {
  auto *State = static_cast<TerminationContext *>(Argument);
  if (State->OnTerminate_)
    State->OnTerminate_();
  else
    event_base_loopbreak(State->Base_);
}

void onTimeLimit(evutil_socket_t /*Signal*/, short /*Events*/, void *Argument) {
  event_base_loopbreak(static_cast<TerminationContext *>(Argument)->Base_);
}

} // namespace

bool parseOptions(int Count, const char **Arguments,
                  const poptOption *Options) {
  std::unique_ptr<std::remove_pointer_t<poptContext>,
                  decltype(&poptFreeContext)>
      Context(poptGetContext(nullptr, Count, Arguments, Options, 0),
              poptFreeContext);
  int OptionStatus = poptGetNextOpt(Context.get());
  if (OptionStatus < -1) {
    std::fprintf(stderr, "%s: %s; see --help\n",
                 poptBadOption(Context.get(), POPT_BADOPTION_NOALIAS),
                 poptStrerror(OptionStatus));
    return false;
  }
  if (const char *Unexpected = poptGetArg(Context.get())) {
    std::fprintf(stderr, "unexpected argument \"%s\"; see --help\n",
                 Unexpected);
    return false;
  }
  return true;
}

Result<void> writePortFile(const std::string &Path,
                           const std::string &Address) {
  if (Path.empty())
    return {};
  std::string Temporary = Path + ".part";
  std::ofstream(Temporary) << Address << "\n";
  if (std::rename(Temporary.c_str(), Path.c_str()) != 0)
    return fail(ErrorKind::InvalidArgument, Path + ": cannot be written",
                "check the folder and its permissions");
  return {};
}

event_base *makePreciseEventLoop() {
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base *Base = event_base_new_with_config(Config);
  event_config_free(Config);
  return Base;
}

void runUntilTerminated(event_base *Base, int ExitAfterSeconds,
                        std::function<void()> OnTerminate) {
  TerminationContext State{Base, std::move(OnTerminate)};
  EventPointer Terminate(evsignal_new(Base, SIGTERM, onSignal, &State),
                         event_free);
  EventPointer Interrupt(evsignal_new(Base, SIGINT, onSignal, &State),
                         event_free);
  EventPointer Limit(evtimer_new(Base, onTimeLimit, &State), event_free);
  timeval Wait{ExitAfterSeconds, 0};
  event_add(Terminate.get(), nullptr);
  event_add(Interrupt.get(), nullptr);
  evtimer_add(Limit.get(), &Wait);
  event_base_dispatch(Base);
}

void freeLoop(event_base *Base) {
  event_base_loop(Base, EVLOOP_NONBLOCK);
  event_base_free(Base);
}

void printError(const Error &Failure) {
  std::fprintf(stderr, "%s\n", describe(Failure).c_str());
}

} // namespace sycamore::standin
