// Guards against exit codes, JSON documents and help pages that do not match
// what a command did. Runs complete command lines against a FakeStore.
#include "CliOutput.h"
#include "TicketFixture.h"

#include "sycamore/Signing.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/stat.h>

using namespace sycamore;

namespace {

class CliTest : public TicketFixture {
protected:
  CliTest() {
    std::filesystem::create_directory(Directory_);
    Settings_ = writeFile("operator.json",
                          R"({"operator":"ana","daemon":"127.0.0.1:1",)"
                          R"("store":{"endpoints":["127.0.0.1:1"]}})");
    Ticket_ = writeFile("ticket.json",
                        R"({"author":"ana","title":"a\u001b[2Jb",)"
                        R"("services":{"shelfview":{"queue_limit":9}}})");
  }
  ~CliTest() override { std::filesystem::remove_all(Directory_); }

  std::string writeFile(const std::string &Name, const std::string &Text) {
    std::string Path = Directory_ / Name;
    std::ofstream(Path) << Text;
    return Path;
  }

  /// Runs a command line and captures its output.
  int run(std::vector<std::string> Words) {
    Words.insert(Words.begin(), {"--settings", Settings_});
    Out_.str("");
    Err_.str("");
    CliEnvironment Environment{
        Out_, Err_, [this] { return Now_; },
        [this](const StoreSettings &) -> Result<CliStore> {
          return CliStore{Store_.session(), [this] { return Store_.now(); },
                          [this](Duration Span) { Store_.advance(Span); },
                          nullptr};
        },
        [this](const OperatorSettings &, std::string_view Method,
               const std::string &Path, Duration) -> Result<AdminResponse> {
          LastRequest_ = std::string(Method) + " " + Path;
          return Response_;
        }};
    return runCli(Words, Environment);
  }
  Json json() const { return Json::parse(Out_.str()); }

  std::filesystem::path Directory_ =
      std::filesystem::temp_directory_path() /
      ("sycamore-cli-" + std::to_string(getpid()));
  std::string Settings_;
  std::string Ticket_;
  std::ostringstream Out_;
  std::ostringstream Err_;
  Result<AdminResponse> Response_ = AdminResponse{200, "{}"};
  std::string LastRequest_;
};

std::vector<std::string> fieldsOf(const Json &Document) {
  std::vector<std::string> Out;
  for (const auto &[Name, Value] : Document.items())
    Out.push_back(Name);
  return Out;
}

} // namespace

TEST_F(CliTest, TicketLifeHasDocumentedExitCodes) {
  EXPECT_EQ(run({"ticket", "file", Ticket_}), 0) << Err_.str();
  EXPECT_EQ(Out_.str(), "ticket 1 filed\n");
  EXPECT_EQ(run({"ticket", "status", "1"}), 3);
  EXPECT_EQ(run({"ticket", "diff", "1"}), 0);
  EXPECT_NE(Out_.str().find("+ services.shelfview"), std::string::npos);
  EXPECT_EQ(run({"ticket", "approve", "1"}), 0);
  EXPECT_EQ(run({"ticket", "approve", "1"}), 3);
  EXPECT_NE(Err_.str().find("not accepted: ticket 1 was already accepted"),
            std::string::npos);
  EXPECT_EQ(run({"ticket", "status", "1"}), 0);
  EXPECT_NE(Out_.str().find("in force"), std::string::npos);
  EXPECT_EQ(run({"ticket", "withdraw", "1"}), 3);
  EXPECT_EQ(run({"ticket", "show", "9"}), 3);
  EXPECT_EQ(run({"ticket", "list"}), 0);
  EXPECT_EQ(Out_.str().find('\x1b'), std::string::npos)
      << "control characters of a title reach the terminal";
}

TEST_F(CliTest, LostAnswersExitWithTheCommandThatFindsOut) {
  run({"ticket", "file", Ticket_});
  Store_.resetFaults();
  Store_.DefaultFault_ = FakeStore::Fault::Down;
  Store_.Faults_[1] = FakeStore::Fault::None;
  Store_.Faults_[2] = FakeStore::Fault::LostApplied;
  EXPECT_EQ(run({"--json", "ticket", "approve", "1"}), 4);
  EXPECT_EQ(json()["outcome"], "unknown");
  EXPECT_EQ(json()["command"], "sycamorectl ticket status 1");
  Store_.resetFaults();
  EXPECT_EQ(run({"ticket", "status", "1"}), 0);
}

TEST_F(CliTest, UnreachableStoreExitsAsUnavailable) {
  Store_.DefaultFault_ = FakeStore::Fault::Down;
  for (const std::vector<std::string> &Words :
       std::vector<std::vector<std::string>>{{"ticket", "file", Ticket_},
                                             {"ticket", "approve", "1"},
                                             {"ticket", "withdraw", "1"},
                                             {"ticket", "show", "1"},
                                             {"ticket", "list"},
                                             {"ticket", "status", "1"},
                                             {"ticket", "diff", "1"}}) {
    TimePoint Start = Store_.now();
    std::vector<std::string> TimedWords = {"--timeout", "2"};
    TimedWords.insert(TimedWords.end(), Words.begin(), Words.end());
    EXPECT_EQ(run(TimedWords), 5) << Words[1];
    EXPECT_LE(Store_.now() - Start, seconds(3)) << Words[1];
  }
}

TEST_F(CliTest, JsonDocumentsHaveStableFields) {
  EXPECT_EQ(run({"--json", "ticket", "file", Ticket_}), 0);
  EXPECT_EQ(fieldsOf(json()),
            (std::vector<std::string>{"action", "found_by_reading", "number",
                                      "outcome"}));
  EXPECT_EQ(run({"-j", "ticket", "approve", "7"}), 3);
  EXPECT_EQ(json()["outcome"], "not accepted");
  EXPECT_EQ(json()["error"]["kind"], "not-found");
  EXPECT_EQ(run({"-j", "ticket", "list"}), 0);
  EXPECT_EQ(json()["tickets"][0]["state"], "filed");
  EXPECT_EQ(run({"-j", "ticket", "status", "1"}), 3);
  EXPECT_EQ(json()["standing"], "filed");
  EXPECT_EQ(run({"-j", "ticket", "frobnicate"}), 2);
  EXPECT_EQ(json()["error"]["kind"], "invalid-argument");
}

TEST_F(CliTest, BadInputExitsWithTwo) {
  std::string DeeplyNested = std::string(200'000, '[');
  std::string Oversized = "\"" + std::string(600'000, 'x') + "\"";
  for (const std::string &Text :
       {std::string("{\"author\":\"ana\",\"serv"), DeeplyNested, Oversized,
        std::string("{\"author\":7,\"services\":[]}"),
        std::string("{\"author\":\"a\",\"author\":\"b\"}"),
        std::string("{\"author\":\"\xff\xfe\"}"), std::string("\0\0\0", 3),
        std::string(),
        std::string(R"({"author":"a","services":{"s":null},)"
                    R"("targets":{"t":{"service":"s"}}})")}) {
    std::string Path = writeFile("bad.json", Text);
    EXPECT_EQ(run({"ticket", "lint", Path}), 2) << Text.substr(0, 60);
    EXPECT_EQ(run({"ticket", "file", Path}), 2) << Text.substr(0, 60);
    EXPECT_EQ(run({"settings", "check", Path}), 2) << Text.substr(0, 60);
    EXPECT_EQ(run({"settings", "check", "--operator", Path}), 2);
    EXPECT_FALSE(Err_.str().empty());
  }
  EXPECT_TRUE(Store_.values().empty());
  EXPECT_EQ(run({"ticket", "lint", Directory_ / "absent"}), 2);
  EXPECT_EQ(run({"ticket", "lint", Directory_}), 2);
  EXPECT_EQ(run({"settings", "check", Directory_}), 2);
  EXPECT_EQ(run({"ticket", "lint", Ticket_}), 0);
  EXPECT_EQ(run({"settings", "check", "--operator", Settings_}), 0);
  for (const char *Number : {"0", "x", "1x", "1000000000000", "", " 1"})
    EXPECT_EQ(run({"ticket", "approve", Number}), 2) << Number;
  EXPECT_EQ(run({"ticket", "approve"}), 2);
  EXPECT_EQ(run({"ticket", "approve", "1", "2"}), 2);
  EXPECT_EQ(run({"ticket", "approve", "--limit", "3", "1"}), 2);
  EXPECT_EQ(run({"--timeout", "0", "ticket", "list"}), 2);
  EXPECT_EQ(run({"ticket", "list", "--limit", "0"}), 2);
  Settings_ = "";
  EXPECT_EQ(run({"ticket", "list"}), 2);
}

TEST_F(CliTest, SignsWithTheOperatorsKey) {
  std::string Key = Directory_ / "ana.key";
  ASSERT_EQ(run({"--json", "key", "make", "--signing", Key}), 0);
  std::string Public = json()["public_key"];
  for (const std::string &File : {Key, Key + ".pub"}) {
    struct stat Status {};
    ASSERT_EQ(stat(File.c_str(), &Status), 0);
    EXPECT_EQ(Status.st_mode & 0777U, 0600U);
  }
  EXPECT_EQ(run({"key", "make", "--signing", Key}), 2)
      << "an existing key was overwritten";
  EXPECT_EQ(run({"key", "make", Directory_ / "k"}), 2);
  EXPECT_EQ(run({"key", "make", "--curve", Directory_ / "c"}), 0);
  EXPECT_EQ(readKeyFile(Directory_ / "c")->size(), 40U);
  Settings_ = writeFile(
      "signed.json",
      Json({{"operator", "ana"},
            {"signing_key_file", Key},
            {"operators", {{{"name", "ana"}, {"public_key", Public}}}},
            {"store", {{"endpoints", {"127.0.0.1:1"}}}}})
          .dump());
  run({"ticket", "file", Ticket_});
  EXPECT_EQ(run({"ticket", "approve", "1"}), 0) << Err_.str();
  AcceptedTicket Last = head().Recent_.back();
  EXPECT_TRUE(verifyHex(Public, Last.Digest_, Last.Signature_));
  chmod(Key.c_str(), 0644);
  EXPECT_EQ(run({"ticket", "list"}), 2);
  EXPECT_NE(Err_.str().find("chmod 600"), std::string::npos);
}

TEST_F(CliTest, FleetStatusShowsEveryServer) {
  Response_ = AdminResponse{
      200, R"({"servers":[{"server":"d-2","data_centre":"buk","state":"alive",
      "ticket":3,"digest":"x","rejected_ticket":4,"age_ms":120,
      "incarnation":1},{"server":"d-1","data_centre":"buk","state":"dead",
      "ticket":2,"digest":"x","rejected_ticket":0,"age_ms":90000,
      "incarnation":1}],"answered_by":"d-2","head_number":4})"};
  EXPECT_EQ(run({"fleet", "status"}), 0) << Err_.str();
  EXPECT_EQ(LastRequest_, "GET /fleet");
  for (const char *Text :
       {"d-1     buk          dead   2       -         90s",
        "d-2     buk          alive  3       4         120ms",
        "2 servers; head: ticket 4; answered by d-2", "ticket 3: 1 servers"})
    EXPECT_NE(Out_.str().find(Text), std::string::npos) << Out_.str();
  EXPECT_EQ(run({"--json", "fleet", "status"}), 0);
  EXPECT_EQ(json()["servers"].size(), 2U);
  run({"ticket", "file", Ticket_});
  run({"ticket", "approve", "1"});
  EXPECT_EQ(run({"ticket", "status", "1"}), 0);
  EXPECT_NE(Out_.str().find("2 of 2 servers"), std::string::npos);
}

TEST_F(CliTest, QuarantineIsListedAndCleared) {
  Response_ = AdminResponse{200, R"({"entries":[{"fingerprint":"9a","losses":2,
      "expires_unix_ms":1700000060000,"sample":"shelfview GET /stock"}]})"};
  EXPECT_EQ(run({"quarantine", "list"}), 0);
  EXPECT_NE(Out_.str().find("9a           2       2023-11-14T22:14:20Z"),
            std::string::npos)
      << Out_.str();
  Response_ = AdminResponse{204, ""};
  EXPECT_EQ(run({"quarantine", "clear", "9a"}), 0);
  EXPECT_EQ(LastRequest_, "DELETE /quarantine/9a");
  LastRequest_.clear();
  EXPECT_EQ(run({"quarantine", "clear", "../fleet"}), 2);
  EXPECT_EQ(LastRequest_, "");
}

TEST_F(CliTest, DaemonFailuresMapToExitCodes) {
  const std::vector<std::pair<int, int>> Codes = {
      {401, 3}, {403, 3}, {404, 3}, {503, 5}, {500, 1}};
  for (const auto &[Status, Code] : Codes) {
    Response_ = AdminResponse{Status, R"({"error":{"message":7}})"};
    EXPECT_EQ(run({"fleet", "status"}), Code) << Status;
    EXPECT_EQ(run({"quarantine", "clear", "9a"}), Code) << Status;
  }
  for (const char *Body :
       {"", "[]", "{}", "{\"servers\":7}", "{\"servers\":[{\"ticket\":-1}]}",
        "{\"servers\":[7]}"}) {
    Response_ = AdminResponse{200, Body};
    EXPECT_EQ(run({"fleet", "status"}), 1) << Body;
  }
  Response_ = fail(ErrorKind::OutcomeUnknown, "no answer", "look");
  EXPECT_EQ(run({"fleet", "status"}), 5);
  EXPECT_EQ(run({"--json", "quarantine", "clear", "9a"}), 4);
}

TEST_F(CliTest, EveryCommandHasACompleteHelpPage) {
  std::string Overview = cliHelp("", "");
  std::stringstream Page;
  Page << std::ifstream(SYCAMORE_SOURCE_DIR "/docs/sycamorectl.md").rdbuf();
  std::string Completion = bashCompletion();
  for (const CliCommand &Command : cliCommands()) {
    SCOPED_TRACE(Command.Name_);
    std::string Group(Command.Group_);
    std::string Name(Command.Name_);
    EXPECT_EQ(run({Group, Name, "--help"}), 0);
    EXPECT_NE(cliHelp(Group, "").find(Name), std::string::npos);
    EXPECT_NE(Overview.find(Group + " " + Name), std::string::npos);
    EXPECT_NE(Page.str().find("| `" + Group + " " + Name), std::string::npos);
    EXPECT_NE(Completion.find(Name), std::string::npos);
    for (const char *Section :
         {"NAME", "SYNOPSIS", "DESCRIPTION", "OPTIONS", "EXAMPLES",
          "EXIT STATUS", "ENVIRONMENT", "FILES"})
      EXPECT_NE(Out_.str().find(Section), std::string::npos) << Section;
    for (std::string_view Option : Command.Options_)
      EXPECT_NE(Out_.str().find("--" + std::string(Option)), std::string::npos);
    for (const CliExample &Example : Command.Examples_)
      EXPECT_NE(Example.Command_.find(Group + " " + Name), std::string::npos);
  }
  EXPECT_EQ(run({"--version"}), 0);
  EXPECT_EQ(Out_.str(), "sycamorectl " SYCAMORE_VERSION "\n");
  EXPECT_EQ(run({"ticket", "nothing", "--help"}), 2);
}
