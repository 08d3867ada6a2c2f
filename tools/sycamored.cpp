// Entry point of sycamored, the daemon beside each target.
#include "KvPlatform.h"
#include "sycamore/Daemon.h"
#include "sycamore/Log.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <event2/event.h>
#include <fstream>
#include <popt.h>

using namespace sycamore;

namespace {

constexpr int ExitSuccess = 0;
constexpr int ExitInternal = 1;
constexpr int ExitBadInput = 2;
constexpr int ExitUnavailable = 5;
constexpr int ExitStopLimitPassed = 6;

constexpr std::string_view Description = R"(
Runs the proxy of one server: carries calls between callers and targets, keeps
the configuration of the last accepted ticket, and reports which ticket runs.

Signals:
  SIGTERM, SIGINT  leave: accept no new requests, finish those in flight, exit
  SIGHUP           read certificates, allowed keys and admin tokens again

Exit codes:
  0  a planned stop after everything in flight had ended
  2  the command line or the settings are wrong
  5  an address cannot be bound, or a file cannot be used
  6  stop_limit_ms passed before everything in flight had ended

Files:
  the settings file is described in docs/settings.md

Example:
  sycamored --settings /etc/sycamore/daemon.json
)";

struct Options {
  std::string SettingsFile_;
  std::string PortFile_;
};

void printError(const Error &Failure) {
  std::fprintf(stderr, "sycamored: %s\n", describe(Failure).c_str());
}

/// Fills Out; returns an exit code if the program should exit at once.
std::optional<int> parseCommandLine(int Count, const char **Arguments,
                                    Options &Out) {
  char *SettingsFile = nullptr;
  char *PortFile = nullptr;
  int Version = 0;
  int Help = 0;
  std::array<poptOption, 5> Table = {{
      {"settings", 's', POPT_ARG_STRING, &SettingsFile, 0, "settings file",
       "FILE"},
      {"port-file", 0, POPT_ARG_STRING, &PortFile, 0,
       "write the bound addresses as JSON to FILE", "FILE"},
      {"version", 'v', POPT_ARG_NONE, &Version, 0, "print the version",
       nullptr},
      {"help", 'h', POPT_ARG_NONE, &Help, 0, "print this text", nullptr},
      POPT_TABLEEND,
  }};
  poptContext Context =
      poptGetContext("sycamored", Count, Arguments, Table.data(), 0);
  int Status = poptGetNextOpt(Context);
  std::optional<int> Exit;
  if (Status < -1) {
    std::fprintf(stderr, "sycamored: %s: %s; see sycamored --help\n",
                 poptBadOption(Context, 0), poptStrerror(Status));
    Exit = ExitBadInput;
  } else if (Help) {
    poptPrintHelp(Context, stdout, 0);
    std::fputs(Description.data(), stdout);
    Exit = ExitSuccess;
  } else if (Version) {
    std::puts("sycamored " SYCAMORE_VERSION);
    Exit = ExitSuccess;
  } else if (!SettingsFile) {
    std::fputs("sycamored: --settings is missing; give a settings file, see "
               "docs/settings.md\n",
               stderr);
    Exit = ExitBadInput;
  }
  Out.SettingsFile_ = SettingsFile ? SettingsFile : "";
  Out.PortFile_ = PortFile ? PortFile : "";
  std::free(SettingsFile);
  std::free(PortFile);
  poptFreeContext(Context);
  return Exit;
}

void writePortFile(const std::string &Path, const DaemonAddresses &Addresses) {
  // Readers wait for the file to exist, so it is renamed into place when
  // complete.
  std::string TemporaryPath = Path + ".partial";
  {
    std::ofstream File(TemporaryPath);
    Json Ports{{"caller", Addresses.Caller_},
               {"admin", Addresses.Admin_},
               {"peer", Addresses.Peer_}};
    if (!Addresses.Ready_.empty())
      Ports["ready"] = Addresses.Ready_;
    File << Ports << "\n";
  }
  std::rename(TemporaryPath.c_str(), Path.c_str());
}

void onStopSignal(evutil_socket_t /*Signal*/, short /*Events*/,
                  void *Instance) {
  static_cast<Daemon *>(Instance)->stop();
}

void onReloadSignal(evutil_socket_t /*Signal*/, short /*Events*/,
                    void *Instance) {
  auto Reloaded = static_cast<Daemon *>(Instance)->reload();
  if (Reloaded)
    logEvent(LogEvent::SettingsReloaded);
  else
    logEvent(LogEvent::SettingsNotReloaded,
             {{"error", describe(Reloaded.error())}});
}

/// Null for the built-in adapters. Errors: InvalidSettings.
Result<const Integration *> findIntegration(const std::string &Name) {
  if (Name.empty())
    return nullptr;
  if (Name == platform::KvPlatformName)
    return &platform::kvPlatform();
  return fail(ErrorKind::InvalidSettings,
              "integration: \"" + Name + "\" is not known",
              "use \"" + std::string(platform::KvPlatformName) +
                  "\" or leave the field out");
}

int runDaemon(event_base *Base, const Settings &Config,
              const Integration *Adapter, const Options &CommandLine) {
  auto Instance = Daemon::create(Base, Config, Adapter);
  if (!Instance) {
    printError(Instance.error());
    bool BadInput = Instance.error().Kind_ == ErrorKind::InvalidSettings ||
                    Instance.error().Kind_ == ErrorKind::PermissionDenied;
    return BadInput ? ExitBadInput : ExitUnavailable;
  }
  std::array<event *, 3> Signals = {
      evsignal_new(Base, SIGTERM, onStopSignal, Instance->get()),
      evsignal_new(Base, SIGINT, onStopSignal, Instance->get()),
      evsignal_new(Base, SIGHUP, onReloadSignal, Instance->get())};
  for (event *Signal : Signals)
    event_add(Signal, nullptr);
  if (!CommandLine.PortFile_.empty())
    writePortFile(CommandLine.PortFile_, (*Instance)->addresses());
  event_base_dispatch(Base);
  for (event *Signal : Signals)
    event_free(Signal);
  return (*Instance)->stopLimitPassed() ? ExitStopLimitPassed : ExitSuccess;
}

} // namespace

int main(int Count, const char **Arguments) {
  Options CommandLine;
  if (auto Exit = parseCommandLine(Count, Arguments, CommandLine))
    return *Exit;
  auto Config = loadSettings(CommandLine.SettingsFile_);
  if (!Config) {
    printError(Config.error());
    return ExitBadInput;
  }
  auto Adapter = findIntegration(Config->Integration_);
  if (!Adapter) {
    printError(Adapter.error());
    return ExitBadInput;
  }
  auto Level = parseLogLevel(Config->Log_.Level_);
  if (!Level) {
    printError(Level.error());
    return ExitBadInput;
  }
  configureLog(*Level, Config->Log_.File_, Config->Server_);
  std::signal(SIGPIPE, SIG_IGN);
  event_base *Base = event_base_new();
  if (!Base)
    return ExitInternal;
  int Exit = runDaemon(Base, *Config, *Adapter, CommandLine);
  event_base_free(Base);
  return Exit;
}
