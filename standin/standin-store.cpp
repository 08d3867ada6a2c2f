// Stand-in for the configuration store; see StandinStore.h.
#include "Program.h"
#include "StandinStore.h"

#include <event2/event.h>

using namespace sycamore;
using namespace sycamore::standin;

int main(int Count, const char **Arguments) {
  // popt allocates the strings and leaves them to the program.
  static const char *Listen = "127.0.0.1:0";
  static const char *AdminListen = "";
  static const char *PortFile = "";
  static const char *AdminPortFile = "";
  int ProgressMs = 5000;
  int ExitAfterS = 600;
  const poptOption Options[] = {
      {"listen", 'l', POPT_ARG_STRING | POPT_ARGFLAG_SHOW_DEFAULT, &Listen, 0,
       "address to listen on", "IP:PORT"},
      {"port-file", 'p', POPT_ARG_STRING, &PortFile, 0,
       "file that receives the bound address", "FILE"},
      {"admin-listen", 0, POPT_ARG_STRING, &AdminListen, 0,
       "separate address for /faults and /counters", "IP:PORT"},
      {"admin-port-file", 0, POPT_ARG_STRING, &AdminPortFile, 0,
       "file that receives the bound admin address", "FILE"},
      {"progress-ms", 0, POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT, &ProgressMs,
       0, "time between progress notices of watches", "MS"},
      {"exit-after-s", 'x', POPT_ARG_INT | POPT_ARGFLAG_SHOW_DEFAULT,
       &ExitAfterS, 0, "exit after this time", "SECONDS"},
      POPT_AUTOHELP POPT_TABLEEND};
  if (!parseOptions(Count, Arguments, Options))
    return 2;

  event_base *Base = makePreciseEventLoop();
  auto Store = StandinStore::create(
      Base, {Listen, AdminListen, milliseconds(ProgressMs)});
  if (!Store) {
    printError(Store.error());
    return 1;
  }
  for (auto [Path, Address] :
       {std::pair(PortFile, (*Store)->address()),
        std::pair(AdminPortFile, (*Store)->adminAddress())})
    if (auto Written = writePortFile(Path, Address); !Written) {
      printError(Written.error());
      return 1;
    }
  runUntilTerminated(Base, ExitAfterS);
  Store->reset();
  freeLoop(Base);
  return 0;
}
