// Guards against log events that docs/OPERATIONS.md does not explain, log lines
// without a rate limit, and forged log lines in text received from outside.
#include "sycamore/Log.h"

#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace sycamore;

namespace {

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Directs the log to a temporary file, which is deleted at the end of the
/// test.
struct LogFile {
  LogFile() {
    char Name[] = "/tmp/sycamore-events-XXXXXX";
    close(mkstemp(Name));
    Path_ = Name;
    configureLog(LogLevel::Info, Path_, "server");
  }
  ~LogFile() { unlink(Path_.c_str()); }

  std::vector<Json> lines() const {
    std::stringstream Text(readFile(Path_));
    std::vector<Json> Out;
    for (std::string Line; std::getline(Text, Line);)
      Out.push_back(Json::parse(Line));
    return Out;
  }

  std::string Path_;
};

} // namespace

TEST(Events, OperationsPageExplainsEachEvent) {
  std::string Page = readFile(SYCAMORE_SOURCE_DIR "/docs/OPERATIONS.md");
  for (const EventType &Type : eventTypes())
    EXPECT_NE(Page.find("| `" + std::string(Type.Name_) + "` | " +
                        std::string(Type.Doc_)),
              std::string::npos)
        << Type.Name_ << ": " << Type.Doc_;
}

TEST(Events, NamesAreDistinct) {
  std::set<std::string_view> Names;
  for (const EventType &Type : eventTypes())
    EXPECT_TRUE(Names.insert(Type.Name_).second) << Type.Name_;
}

TEST(Events, LinesOverTheLimitAreCountedAndReported) {
  LogFile Log;
  std::uint32_t Limit =
      eventTypeOf(LogEvent::RequestAbandoned).MaxLinesPerSecond_;
  for (std::uint32_t I = 0; I < 10 * Limit; ++I)
    logEvent(LogEvent::RequestAbandoned, {{"id", I}});
  reportDroppedLines();
  auto Lines = Log.lines();
  // The loop may run across two seconds.
  EXPECT_LE(Lines.size(), 2 * Limit + 1);
  ASSERT_EQ(Lines.back()["event"], "lines-dropped");
  EXPECT_GE(Lines.back()["lines"]["request-abandoned"], 8 * Limit);
}

TEST(Events, UntrustedTextCannotForgeALine) {
  LogFile Log;
  std::string Forged =
      "x\"}\n{\"event\":\"started\"\x01\xff" + std::string(5000, 'y');
  logEvent(LogEvent::NoticeRejected, {{"path", Forged}});
  auto Lines = Log.lines();
  ASSERT_EQ(Lines.size(), 1U);
  EXPECT_EQ(Lines[0]["event"], "notice-rejected");
  EXPECT_LE(Lines[0]["path"].get<std::string>().size(), MaxLoggedText + 16);
}

TEST(Events, SamplesAboutOneRequestIn64) {
  int Sampled = 0;
  for (int I = 0; I < 64 * 64; ++I)
    Sampled += isSampled("request-" + std::to_string(I)) ? 1 : 0;
  EXPECT_GT(Sampled, 20);
  EXPECT_LT(Sampled, 160);
  EXPECT_FALSE(isSampled(""));
}

// A process that stopped reading the log output must not block the daemon.
TEST(Events, FullPipeDropsLinesInsteadOfBlocking) {
  int Pipe[2];
  ASSERT_EQ(pipe(Pipe), 0);
  int SavedStdout = dup(STDOUT_FILENO);
  dup2(Pipe[1], STDOUT_FILENO);
  configureLog(LogLevel::Info, "-", "server");
  Json Fields = {{"text", std::string(MaxLoggedText, 'z')}};
  for (int I = 0; I < 5000; ++I)
    writeEvent(LogEvent::Started, Fields);
  configureLog(LogLevel::Info, "", "server");
  dup2(SavedStdout, STDOUT_FILENO);
  close(SavedStdout);
  close(Pipe[0]);
  close(Pipe[1]);
}
