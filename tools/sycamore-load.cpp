// Open-loop load generator; see docs/tutorial/load.md.
#include "LoadReport.h"
#include "LoadRunner.h"

#include <cstdio>
#include <event2/event.h>
#include <filesystem>
#include <fstream>
#include <memory>
#include <popt.h>
#include <sstream>

using namespace sycamore;

namespace {

struct Arguments {
  const char *Report_ = "";
  const char *History_ = "";
  const char *Addresses_ = "";
  std::vector<std::string> Scenarios_;
};

int reportFailure(const Error &Failure) {
  std::fprintf(stderr, "sycamore-load: %s\n", describe(Failure).c_str());
  return 2;
}

Result<void> parseCommandLine(int Count, const char **Values, Arguments &Out) {
  const poptOption Options[] = {
      {"report", 'r', POPT_ARG_STRING, &Out.Report_, 0,
       "Markdown report, with SVG plots beside it (default: tables to "
       "standard output)",
       "FILE"},
      {"history", 0, POPT_ARG_STRING, &Out.History_, 0,
       "file that receives a JSON line for each request", "FILE"},
      {"address", 'a', POPT_ARG_STRING, &Out.Addresses_, 0,
       "addresses to call instead of the scenarios' own", "IP:PORT,..."},
      POPT_AUTOHELP POPT_TABLEEND};
  std::unique_ptr<std::remove_pointer_t<poptContext>,
                  decltype(&poptFreeContext)>
      Context(poptGetContext(nullptr, Count, Values, Options, 0),
              poptFreeContext);
  poptSetOtherOptionHelp(Context.get(), "[OPTION...] SCENARIO.json...");
  if (int Read = poptGetNextOpt(Context.get()); Read < -1)
    return fail(ErrorKind::InvalidArgument,
                std::string(poptBadOption(Context.get(), 0)) + ": " +
                    poptStrerror(Read),
                "see --help");
  while (const char *Path = poptGetArg(Context.get()))
    Out.Scenarios_.emplace_back(Path);
  if (Out.Scenarios_.empty())
    return fail(ErrorKind::InvalidArgument, "no scenario file is given",
                "give the path of at least one scenario; see --help");
  return {};
}

Result<LoadScenario> readScenario(const std::string &Path,
                                  const std::string &Addresses) {
  auto Document = parseJsonFile(Path);
  if (!Document)
    return tl::unexpected(Document.error());
  auto Scenario = parseLoadScenario(*Document, Path);
  if (!Scenario || Addresses.empty())
    return Scenario;
  Scenario->Addresses_.clear();
  std::istringstream List(Addresses);
  for (std::string Address; std::getline(List, Address, ',');) {
    if (auto Problem = loadAddressProblem(Address))
      return fail(ErrorKind::InvalidArgument, "--address: " + *Problem,
                  "give loopback addresses as IP:PORT");
    Scenario->Addresses_.push_back(Address);
  }
  return Scenario;
}

/// An event loop with microsecond timers. By default libevent rounds timers to
/// milliseconds, which would count as latency.
event_base *makePreciseEventBase() {
  event_config *Config = event_config_new();
  event_config_set_flag(Config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base *Base = event_base_new_with_config(Config);
  event_config_free(Config);
  return Base;
}

Result<std::vector<LoadResult>> runAll(const Arguments &CommandLine) {
  std::vector<LoadScenario> Scenarios;
  for (const std::string &Path : CommandLine.Scenarios_) {
    auto Scenario = readScenario(Path, CommandLine.Addresses_);
    if (!Scenario)
      return tl::unexpected(Scenario.error());
    Scenarios.push_back(std::move(*Scenario));
  }
  std::ofstream History;
  if (*CommandLine.History_)
    History.open(CommandLine.History_);
  std::vector<LoadResult> Out;
  for (const LoadScenario &Scenario : Scenarios) {
    event_base *Base = makePreciseEventBase();
    auto Result =
        runLoad(Base, Scenario, *CommandLine.History_ ? &History : nullptr);
    // Runs the pending events in which the client frees its connections.
    event_base_loop(Base, EVLOOP_NONBLOCK);
    event_base_free(Base);
    if (!Result)
      return tl::unexpected(Result.error());
    Out.push_back(std::move(*Result));
  }
  return Out;
}

Result<void> writeReport(const std::vector<LoadResult> &Results,
                         const std::string &Path) {
  std::filesystem::path ReportPath(Path);
  LoadReport Report = makeLoadReport(Results, ReportPath.stem().string());
  if (Path.empty()) {
    std::fputs(Report.Markdown_.c_str(), stdout);
    return {};
  }
  Report.Files_.emplace_back(ReportPath.filename().string(), Report.Markdown_);
  for (const auto &[Name, Content] : Report.Files_) {
    std::filesystem::path File = ReportPath.parent_path() / Name;
    if (!(std::ofstream(File) << Content))
      return fail(ErrorKind::InvalidArgument,
                  File.string() + ": cannot be written",
                  "check the directory and its permissions");
  }
  return {};
}

/// Checks before a long run that its output file can be written.
Result<void> checkWritable(const std::string &Path) {
  if (Path.empty() || std::ofstream(Path, std::ios::app))
    return {};
  return fail(ErrorKind::InvalidArgument, Path + ": cannot be written",
              "check the directory and its permissions");
}

} // namespace

int main(int Count, const char **Values) {
  // popt allocates the strings and does not free them; static storage keeps
  // them reachable until the program ends.
  static Arguments CommandLine;
  if (auto Read = parseCommandLine(Count, Values, CommandLine); !Read)
    return reportFailure(Read.error());
  for (const char *Path : {CommandLine.Report_, CommandLine.History_})
    if (auto Checked = checkWritable(Path); !Checked)
      return reportFailure(Checked.error());
  auto Results = runAll(CommandLine);
  if (!Results)
    return reportFailure(Results.error());
  if (auto Written = writeReport(*Results, CommandLine.Report_); !Written)
    return reportFailure(Written.error());
  return 0;
}
