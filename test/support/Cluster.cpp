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
constexpr std::string_view StandinTimeLimitSeconds = "200";

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
  std::vector<char *> Argv;
  for (std::string &Argument : Arguments)
    Argv.push_back(Argument.data());
  Argv.push_back(nullptr);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogFile.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&Actions, STDOUT_FILENO, STDERR_FILENO);
  // Sockets of earlier tests in this process are not the program's own.
  posix_spawn_file_actions_addclosefrom_np(&Actions, STDERR_FILENO + 1);
  int Status =
      posix_spawn(&Id_, Path.c_str(), &Actions, nullptr, Argv.data(), environ);
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

std::size_t Process::statusBytes(std::string_view Field) const {
  std::string Status = readFile("/proc/" + std::to_string(Id_) + "/status");
  std::size_t At = Status.find(Field);
  constexpr std::size_t Kibibyte = 1024;
  return At == std::string::npos
             ? 0
             : std::stoul(Status.substr(At + Field.size())) * Kibibyte;
}

std::size_t Process::peakMemoryBytes() const { return statusBytes("VmHWM:"); }

std::size_t Process::memoryBytes() const { return statusBytes("VmRSS:"); }

std::size_t Process::openDescriptors() const {
  std::error_code Failure;
  std::filesystem::directory_iterator Open(
      "/proc/" + std::to_string(Id_) + "/fd", Failure);
  return static_cast<std::size_t>(std::distance(begin(Open), end(Open)));
}

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

std::string Cluster::waitForFile(const std::string &Path) {
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
                               std::string(StandinTimeLimitSeconds)},
      Folder_ + "/store.log");
  StoreAddress_ = waitForFile(PortFile);
}

Server &Cluster::addServer(const std::string &Service,
                           const std::string &DataCentre,
                           const std::vector<std::string> &TargetOptions,
                           const Json &ExtraSettings) {
  Servers_.push_back(std::make_unique<Server>());
  Server &NewServer = *Servers_.back();
  NewServer.Name_ = Service + "-" + std::to_string(Servers_.size());
  NewServer.Service_ = Service;
  NewServer.DataCentre_ = DataCentre;
  NewServer.Settings_ = Folder_ + "/" + NewServer.Name_ + ".json";
  NewServer.Ledger_ = Folder_ + "/" + NewServer.Name_ + ".ledger";
  Json Config = {
      {"server", NewServer.Name_},
      {"data_centre", DataCentre},
      {"caller_listen", "127.0.0.1:0"},
      {"admin_listen", "127.0.0.1:0"},
      {"peer_listen", "127.0.0.1:0"},
      {"store", {{"endpoints", {StoreAddress_}}}},
      {"timing", {{"start_jitter_ms", 200}, {"head_read_interval_ms", 1000}}}};
  Config.merge_patch(ExtraSettings);
  std::ofstream(NewServer.Settings_) << Config;
  startDaemon(NewServer);
  startTarget(NewServer, TargetOptions);
  return NewServer;
}

void Cluster::startDaemon(Server &TestServer) {
  std::string PortFile = Folder_ + "/" + TestServer.Name_ + ".port";
  std::filesystem::remove(PortFile);
  TestServer.Daemon_ = std::make_unique<Process>(
      "sycamored",
      std::vector<std::string>{"--settings", TestServer.Settings_,
                               "--port-file", PortFile},
      Folder_ + "/" + TestServer.Name_ + ".log");
  auto Ports = parseJson(waitForFile(PortFile), PortFile);
  ASSERT_TRUE(Ports.has_value());
  TestServer.Caller_ = (*Ports)["caller"];
  TestServer.Admin_ = (*Ports)["admin"];
  TestServer.Peer_ = (*Ports)["peer"];
  TestServer.Ready_ = Ports->value("ready", "");
}

void Cluster::restartDaemon(Server &TestServer, const Json &ExtraSettings) {
  TestServer.Daemon_.reset();
  Json Config = Json::parse(readFile(TestServer.Settings_));
  Config.merge_patch(ExtraSettings);
  Config["caller_listen"] = TestServer.Caller_;
  Config["admin_listen"] = TestServer.Admin_;
  Config["peer_listen"] = TestServer.Peer_;
  std::ofstream(TestServer.Settings_) << Config;
  startDaemon(TestServer);
}

void Cluster::startTarget(Server &TestServer,
                          const std::vector<std::string> &Options) {
  std::string PortFile = Folder_ + "/" + TestServer.Name_ + ".target";
  std::filesystem::remove(PortFile);
  std::vector<std::string> Arguments = {
      "--listen",
      TestServer.Target_.empty() ? "127.0.0.1:0" : TestServer.Target_,
      "--name",
      TestServer.Name_,
      "--service",
      TestServer.Service_,
      "--announce",
      TestServer.Admin_,
      "--ledger",
      TestServer.Ledger_,
      "--port-file",
      PortFile,
      "--exit-after-s",
      std::string(StandinTimeLimitSeconds)};
  Arguments.insert(Arguments.end(), Options.begin(), Options.end());
  TestServer.TargetProcess_.reset();
  TestServer.TargetProcess_ = std::make_unique<Process>(
      "standin-target", Arguments, Folder_ + "/" + TestServer.Name_ + ".out");
  TestServer.Target_ = waitForFile(PortFile);
}

int Cluster::runSycamorectl(const std::vector<std::string> &Arguments,
                            std::string *Output) {
  std::string Settings = Folder_ + "/operator.json";
  Json Config = {{"operator", "ana"},
                 {"store", {{"endpoints", {StoreAddress_}}}}};
  if (!Servers_.empty())
    Config["daemon"] = Servers_.back()->Admin_;
  std::ofstream(Settings) << Config;
  std::vector<std::string> AllArguments = {"--settings", Settings};
  AllArguments.insert(AllArguments.end(), Arguments.begin(), Arguments.end());
  std::string Log = Folder_ + "/control.log";
  std::filesystem::remove(Log);
  Process Tool("sycamorectl", AllArguments, Log);
  // The proxies between the daemons run in this loop.
  Loop_.runUntil([&] { return !Tool.isRunning(); }, seconds(30));
  std::optional<int> Exit = Tool.wait(Duration(0));
  if (Output)
    *Output = readFile(Log);
  return Exit.value_or(-1);
}

std::uint64_t Cluster::fileAndApproveTicket(const Json &Extra) {
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
  int FileStatus = runSycamorectl({"--json", "ticket", "file", File}, &Output);
  auto Response = parseJson(Output, "sycamorectl");
  EXPECT_EQ(FileStatus, 0) << Output;
  if (FileStatus != 0 || !Response || !Response->contains("number"))
    return 0;
  std::uint64_t Number = (*Response)["number"];
  int ApproveStatus =
      runSycamorectl({"ticket", "approve", std::to_string(Number)}, &Output);
  EXPECT_EQ(ApproveStatus, 0) << Output;
  return ApproveStatus == 0 ? Number : 0;
}

std::uint64_t Cluster::tryFileAndApproveTicket() {
  std::string Output;
  std::vector<std::string> Options = {"--timeout", "1"};
  auto Run = [&](std::vector<std::string> Argv) {
    Argv.insert(Argv.begin(), Options.begin(), Options.end());
    return runSycamorectl(Argv, &Output);
  };
  int FileStatus = Run({"--json", "ticket", "file", Folder_ + "/ticket.json"});
  auto Response = parseJson(Output, "sycamorectl");
  if (FileStatus != 0 || !Response || !Response->contains("number"))
    return 0;
  std::uint64_t Number = (*Response)["number"];
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

CallResponse Cluster::call(const std::string &Address,
                           const std::string &Method, const std::string &Path,
                           const std::string &Body, HttpHeaders Headers,
                           Duration Limit) {
  HttpClientRequest Request;
  Request.Method_ = Method;
  Request.Path_ = Path;
  Request.Body_ = Body;
  Request.Headers_ = std::move(Headers);
  Request.Deadline_ = Limit;
  std::optional<HttpResponse> Received;
  Client_->send(Address, Request,
                [&](HttpResponse Value) { Received = std::move(Value); });
  Loop_.runUntil([&] { return Received.has_value(); }, Limit + seconds(5));
  CallResponse Out;
  if (!Received || Received->Outcome_ != HttpOutcome::Answered)
    return Out;
  Out.Status_ = Received->Status_;
  if (const std::string *Run = findHeader(Received->Headers_, "sycamore-run"))
    Out.Run_ = *Run;
  Out.Headers_ = std::move(Received->Headers_);
  Out.Body_ = std::move(Received->Body_);
  return Out;
}

Json Cluster::admin(const Server &TestServer, const std::string &Path) {
  CallResponse Response = call(TestServer.Admin_, "GET", Path);
  auto Document = parseJson(Response.Body_, Path);
  return Document ? *Document : Json::object();
}

void Cluster::fault(const std::string &Address, const Json &Switches) {
  CallResponse Response = call(Address, "POST", "/faults", Switches.dump());
  EXPECT_EQ(Response.Status_, 200) << Response.Body_;
}

void Cluster::copyStore() {
  EXPECT_EQ(call(StoreAddress_, "POST", "/copy").Status_, 200);
}

void Cluster::restoreStore() {
  EXPECT_EQ(call(StoreAddress_, "POST", "/restore").Status_, 200);
}

double Cluster::metric(const Server &TestServer, const std::string &Name) {
  std::istringstream Lines(call(TestServer.Admin_, "GET", "/metrics").Body_);
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
