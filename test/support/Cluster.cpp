// Starts and stops real processes for tests.
#include "Cluster.h"

#include "sycamore/Random.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

extern char **environ;

namespace sycamore::test {
namespace {

/// Time limit of the stand-ins, in case the test itself is killed.
constexpr std::string_view LifeSeconds = "200";

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string trimmed(std::string Text) {
  while (!Text.empty() && std::isspace(static_cast<unsigned char>(Text.back())))
    Text.pop_back();
  return Text;
}

} // namespace

Process::Process(const std::string &Program, std::vector<std::string> Arguments,
                 const std::string &LogFile) {
  std::string Path = std::string(SYCAMORE_BIN_DIR) + "/" + Program;
  Arguments.insert(Arguments.begin(), Program);
  std::vector<char *> Words;
  for (std::string &Word : Arguments)
    Words.push_back(Word.data());
  Words.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  int Status =
      posix_spawn(&Id_, Path.c_str(), &Actions, nullptr, Words.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  EXPECT_EQ(Status, 0) << "cannot start " << Path;
}

Process::~Process() { kill(); }

void Process::signal(int Number) const {
  if (Id_ > 0 && !Exit_)
    ::kill(Id_, Number);
}

void Process::kill() {
  signal(SIGKILL);
  wait(seconds(10));
}

std::optional<int> Process::wait(Duration Limit) {
  TimePoint End = monotonicNow() + Limit;
  while (Id_ > 0 && !Exit_) {
    int Status = 0;
    if (waitpid(Id_, &Status, WNOHANG) == Id_)
      Exit_ = WIFEXITED(Status) ? WEXITSTATUS(Status) : 128 + WTERMSIG(Status);
    else if (monotonicNow() >= End)
      return std::nullopt;
    else
      usleep(2000);
  }
  return Exit_;
}

bool Process::isRunning() { return !wait(Duration(0)); }

Cluster::Cluster() : Client_(HttpClient::create(Loop_.base()).value()) {
  std::string Template =
      (std::filesystem::temp_directory_path() / "sycamore-XXXXXX").string();
  Folder_ = mkdtemp(Template.data());
}

Cluster::~Cluster() {
  Servers_.clear();
  Store_.reset();
  Client_.reset();
  if (testing::Test::HasFailure())
    std::fprintf(stderr, "logs are kept in %s\n", Folder_.c_str());
  else
    std::filesystem::remove_all(Folder_);
}

std::string Cluster::readWhenThere(const std::string &Path) {
  waitUntil([&] {
    return std::filesystem::exists(Path) && !trimmed(readFile(Path)).empty();
  });
  return trimmed(readFile(Path));
}

void Cluster::startStore() {
  std::string PortFile = Folder_ + "/store.port";
  Store_ = std::make_unique<Process>(
      "standin-store",
      std::vector<std::string>{"--listen", "127.0.0.1:0", "--port-file",
                               PortFile, "--exit-after-s",
                               std::string(LifeSeconds)},
      Folder_ + "/store.log");
  StoreAddress_ = readWhenThere(PortFile);
}

Server &Cluster::addServer(const std::string &Service,
                           const std::string &DataCentre,
                           const std::vector<std::string> &TargetOptions,
                           const Json &ExtraSettings) {
  Servers_.push_back(std::make_unique<Server>());
  Server &Added = *Servers_.back();
  Added.Name_ = Service + "-" + std::to_string(Servers_.size());
  Added.Service_ = Service;
  Added.DataCentre_ = DataCentre;
  Added.Settings_ = Folder_ + "/" + Added.Name_ + ".json";
  Added.Ledger_ = Folder_ + "/" + Added.Name_ + ".ledger";
  Json Config = {
      {"server", Added.Name_},
      {"data_centre", DataCentre},
      {"caller_listen", "127.0.0.1:0"},
      {"admin_listen", "127.0.0.1:0"},
      {"peer_listen", "127.0.0.1:0"},
      {"store", {{"endpoints", {StoreAddress_}}}},
      {"timing", {{"start_jitter_ms", 200}, {"head_read_interval_ms", 1000}}}};
  Config.merge_patch(ExtraSettings);
  std::ofstream(Added.Settings_) << Config;
  startDaemon(Added);
  startTarget(Added, TargetOptions);
  return Added;
}

void Cluster::startDaemon(Server &Which) {
  std::string PortFile = Folder_ + "/" + Which.Name_ + ".port";
  std::filesystem::remove(PortFile);
  Which.Daemon_ = std::make_unique<Process>(
      "sycamored",
      std::vector<std::string>{"--settings", Which.Settings_, "--port-file",
                               PortFile},
      Folder_ + "/" + Which.Name_ + ".log");
  auto Ports = parseJson(readWhenThere(PortFile), PortFile);
  ASSERT_TRUE(Ports.has_value());
  Which.Caller_ = (*Ports)["caller"];
  Which.Admin_ = (*Ports)["admin"];
  Which.Peer_ = (*Ports)["peer"];
}

void Cluster::restartDaemon(Server &Which, const Json &ExtraSettings) {
  Which.Daemon_.reset();
  Json Config = Json::parse(readFile(Which.Settings_));
  Config.merge_patch(ExtraSettings);
  Config["caller_listen"] = Which.Caller_;
  Config["admin_listen"] = Which.Admin_;
  Config["peer_listen"] = Which.Peer_;
  std::ofstream(Which.Settings_) << Config;
  startDaemon(Which);
}

void Cluster::startTarget(Server &Which,
                          const std::vector<std::string> &Options) {
  std::string PortFile = Folder_ + "/" + Which.Name_ + ".target";
  std::filesystem::remove(PortFile);
  std::vector<std::string> Arguments = {
      "--listen",       Which.Target_.empty() ? "127.0.0.1:0" : Which.Target_,
      "--name",         Which.Name_,
      "--service",      Which.Service_,
      "--announce",     Which.Admin_,
      "--ledger",       Which.Ledger_,
      "--port-file",    PortFile,
      "--exit-after-s", std::string(LifeSeconds)};
  Arguments.insert(Arguments.end(), Options.begin(), Options.end());
  Which.TargetProcess_.reset();
  Which.TargetProcess_ = std::make_unique<Process>(
      "standin-target", Arguments, Folder_ + "/" + Which.Name_ + ".out");
  Which.Target_ = readWhenThere(PortFile);
}

int Cluster::control(const std::vector<std::string> &Arguments,
                     std::string *Output) {
  std::string Settings = Folder_ + "/operator.json";
  Json Config = {{"operator", "ana"},
                 {"store", {{"endpoints", {StoreAddress_}}}}};
  if (!Servers_.empty())
    Config["daemon"] = Servers_.back()->Admin_;
  std::ofstream(Settings) << Config;
  std::vector<std::string> All = {"--settings", Settings};
  All.insert(All.end(), Arguments.begin(), Arguments.end());
  std::string Log = Folder_ + "/control.log";
  std::filesystem::remove(Log);
  Process Running("sycamorectl", All, Log);
  std::optional<int> Exit = Running.wait(seconds(30));
  if (Output)
    *Output = readFile(Log);
  return Exit.value_or(-1);
}

std::uint64_t Cluster::acceptTicket(const Json &Extra) {
  Json Document = {{"author", "ana"},
                   {"routes", Json::object()},
                   {"services", Json::object()},
                   {"targets", Json::object()}};
  for (const auto &Entry : Servers_) {
    Document["services"][Entry->Service_] = {{"timeout_ms", 5000}};
    Document["routes"][Entry->Service_] = {
        {"path_prefix", "/" + Entry->Service_}, {"service", Entry->Service_}};
    Document["targets"][Entry->Name_] = {{"service", Entry->Service_}};
  }
  Document.merge_patch(Extra);
  std::string File = Folder_ + "/ticket.json";
  std::ofstream(File) << Document;
  std::string Output;
  int Filed = control({"--json", "ticket", "file", File}, &Output);
  auto Answer = parseJson(Output, "sycamorectl");
  EXPECT_EQ(Filed, 0) << Output;
  if (Filed != 0 || !Answer || !Answer->contains("number"))
    return 0;
  std::uint64_t Number = (*Answer)["number"];
  int Approved =
      control({"ticket", "approve", std::to_string(Number)}, &Output);
  EXPECT_EQ(Approved, 0) << Output;
  return Approved == 0 ? Number : 0;
}

std::uint64_t Cluster::tryTicket() {
  std::string Output;
  std::vector<std::string> Options = {"--timeout", "1"};
  auto Run = [&](std::vector<std::string> Words) {
    Words.insert(Words.begin(), Options.begin(), Options.end());
    return control(Words, &Output);
  };
  int Filed = Run({"--json", "ticket", "file", Folder_ + "/ticket.json"});
  auto Answer = parseJson(Output, "sycamorectl");
  if (Filed != 0 || !Answer || !Answer->contains("number"))
    return 0;
  std::uint64_t Number = (*Answer)["number"];
  return Run({"ticket", "approve", std::to_string(Number)}) == 0 ? Number : 0;
}

bool Cluster::waitUntil(const std::function<bool()> &Condition,
                        Duration Limit) {
  return Loop_.runUntil(Condition, Limit);
}

bool Cluster::waitForTicket(std::uint64_t Number) {
  return waitUntil([&] {
    for (const auto &Entry : Servers_)
      if (Entry->Daemon_->isRunning() &&
          admin(*Entry, "/status").value("ticket", 0U) != Number)
        return false;
    return true;
  });
}

bool Cluster::waitForTargets() {
  return waitUntil([&] {
    for (const auto &Entry : Servers_)
      for (const auto &Other : Servers_)
        if (Entry->Daemon_->isRunning() &&
            call(Entry->Caller_, "GET", "/" + Other->Service_ + "/echo")
                    .Status_ != 200)
          return false;
    return true;
  });
}

Answer Cluster::call(const std::string &Address, const std::string &Method,
                     const std::string &Path, const std::string &Body,
                     HttpHeaders Headers, Duration Limit) {
  HttpClientRequest Request;
  Request.Method_ = Method;
  Request.Path_ = Path;
  Request.Body_ = Body;
  Request.Headers_ = std::move(Headers);
  Request.Deadline_ = Limit;
  std::optional<HttpAnswer> Received;
  Client_->send(Address, Request,
                [&](HttpAnswer Whole) { Received = std::move(Whole); });
  Loop_.runUntil([&] { return Received.has_value(); }, Limit + seconds(5));
  Answer Out;
  if (!Received || Received->Outcome_ != HttpOutcome::Answered)
    return Out;
  Out.Status_ = Received->Status_;
  if (const std::string *Run = findHeader(Received->Headers_, "sycamore-run"))
    Out.Run_ = *Run;
  Out.Headers_ = std::move(Received->Headers_);
  Out.Body_ = std::move(Received->Body_);
  return Out;
}

Json Cluster::admin(const Server &Which, const std::string &Path) {
  Answer Found = call(Which.Admin_, "GET", Path);
  auto Document = parseJson(Found.Body_, Path);
  return Document ? *Document : Json::object();
}

void Cluster::fault(const std::string &Address, const Json &Switches) {
  Answer Done = call(Address, "POST", "/faults", Switches.dump());
  EXPECT_EQ(Done.Status_, 200) << Done.Body_;
}

double Cluster::metric(const Server &Which, const std::string &Name) {
  std::istringstream Lines(call(Which.Admin_, "GET", "/metrics").Body_);
  for (std::string Line; std::getline(Lines, Line);)
    if (Line.starts_with(Name + " "))
      return std::stod(Line.substr(Name.size() + 1));
  return -1;
}

std::size_t Cluster::countLedger(const std::string &Text,
                                 const std::string &Event) {
  std::size_t Count = 0;
  for (const auto &Entry : Servers_) {
    std::ifstream File(Entry->Ledger_);
    for (std::string Line; std::getline(File, Line);)
      if (Line.find(Text) != std::string::npos &&
          Line.find("\"" + Event + "\"") != std::string::npos)
        ++Count;
  }
  return Count;
}

std::string makeKey() {
  static Random Rng(std::random_device{}());
  auto Milliseconds = static_cast<unsigned long long>(
      std::chrono::duration_cast<milliseconds>(wallNow().time_since_epoch())
          .count());
  std::uint64_t High = Rng();
  std::uint64_t Low = Rng();
  std::array<char, 48> Text{};
  std::snprintf(
      Text.data(), Text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
      Milliseconds >> 16U, Milliseconds & 0xffffU,
      static_cast<unsigned long long>(High & 0xfffU),
      static_cast<unsigned long long>(0x8000U | (Low & 0x3fffU)),
      static_cast<unsigned long long>((High >> 12U) & 0xffffffffffffU));
  return Text.data();
}

} // namespace sycamore::test
