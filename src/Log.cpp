// Structured logging with log4cxx.
#include "sycamore/Log.h"

#include "LogOutput.h"
#include "sycamore/Clock.h"

#include <array>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <unistd.h>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warn",
                                                        "error"};

/// Lines of one kind of event: those written in the current second, and those
/// dropped since the last report.
struct LineBudget {
  std::int64_t Second_ = 0;
  std::uint32_t Written_ = 0;
  std::uint64_t Dropped_ = 0;
};

struct LogState {
  std::string Server_;
  LogLevel Level_ = LogLevel::Info;
  std::array<LineBudget, static_cast<std::size_t>(LogEvent::Count)>
      LineBudgets_;
  std::shared_ptr<LogOutput> Output_; ///< Null when the log goes to a file.
  /// Lines that Output_ had dropped at the last report.
  std::uint64_t ReportedOutputDrops_ = 0;
};

LogState &logState() {
  // Never destroyed: log4cxx may still hold the output when static objects are
  // destroyed.
  static auto *State = new LogState;
  return *State;
}

log4cxx::LevelPtr toLog4cxxLevel(LogLevel Level) {
  static const std::array<log4cxx::LevelPtr, 4> Levels = {
      log4cxx::Level::getDebug(), log4cxx::Level::getInfo(),
      log4cxx::Level::getWarn(), log4cxx::Level::getError()};
  return Levels[static_cast<std::size_t>(Level)];
}

std::string formatTime(WallTime Time) {
  std::time_t Seconds = std::chrono::system_clock::to_time_t(Time);
  auto Fraction = Time.time_since_epoch() % seconds(1);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 64> Buffer{};
  std::snprintf(Buffer.data(), Buffer.size(),
                "%04d-%02d-%02dT%02d:%02d:%02d.%06dZ", Parts.tm_year + 1900,
                Parts.tm_mon + 1, Parts.tm_mday, Parts.tm_hour, Parts.tm_min,
                Parts.tm_sec, static_cast<int>(Fraction.count()));
  return Buffer.data();
}

/// Consumes one line of the rate limit of the kind, or counts the line as
/// dropped and returns false.
bool tryConsumeLine(LogEvent Kind) {
  LineBudget &Usage = logState().LineBudgets_[static_cast<std::size_t>(Kind)];
  std::int64_t Second =
      std::chrono::floor<seconds>(monotonicNow().time_since_epoch()).count();
  if (Second != Usage.Second_) {
    Usage.Second_ = Second;
    Usage.Written_ = 0;
  }
  if (Usage.Written_ < eventTypeOf(Kind).MaxLinesPerSecond_) {
    ++Usage.Written_;
    return true;
  }
  ++Usage.Dropped_;
  return false;
}

Json truncateString(const Json &Value) {
  if (!Value.is_string() ||
      Value.get_ref<const std::string &>().size() <= MaxLoggedText)
    return Value;
  return Value.get_ref<const std::string &>().substr(0, MaxLoggedText) + "...";
}

} // namespace

Result<LogLevel> parseLogLevel(std::string_view Name) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Name)
      return static_cast<LogLevel>(I);
  return fail(ErrorKind::InvalidSettings,
              "log.level: \"" + std::string(Name) + "\" is not a log level",
              "use debug, info, warn or error");
}

void configureLog(LogLevel Level, const std::string &File,
                  std::string_view Server) {
  logState().Server_ = Server;
  logState().Level_ = Level;
  log4cxx::AppenderPtr Appender;
  logState().Output_.reset();
  if (File.empty() || File == "-") {
    logState().Output_ = std::make_shared<LogOutput>(
        File.empty() ? STDERR_FILENO : STDOUT_FILENO);
    Appender = logState().Output_;
  } else {
    auto Layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    Appender = std::make_shared<log4cxx::FileAppender>(Layout, File, true);
  }
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  log4cxx::Logger::getRootLogger()->setLevel(toLog4cxxLevel(Level));
}

bool shouldLogEvent(LogEvent Kind, std::string_view RequestId) {
  const EventType &Type = eventTypeOf(Kind);
  if (Type.Level_ < logState().Level_)
    return false;
  if (Type.SampledOnly_ && !isSampled(RequestId))
    return false;
  return tryConsumeLine(Kind);
}

void writeEvent(LogEvent Kind, const Json &Fields) {
  const EventType &Type = eventTypeOf(Kind);
  nlohmann::ordered_json Line;
  Line["time"] = formatTime(wallNow());
  Line["level"] = LevelNames[static_cast<std::size_t>(Type.Level_)];
  Line["server"] = logState().Server_;
  Line["event"] = Type.Name_;
  for (const auto &[Name, Value] : Fields.items())
    Line[Name] = truncateString(Value);
  std::string Text = Line.dump(-1, ' ', false, Json::error_handler_t::replace);
  log4cxx::LoggerPtr Logger = log4cxx::Logger::getRootLogger();
  LOG4CXX_LOG(Logger, toLog4cxxLevel(Type.Level_), Text);
}

void logEvent(LogEvent Kind, const Json &Fields) {
  if (shouldLogEvent(Kind))
    writeEvent(Kind, Fields);
}

void reportDroppedLines() {
  Json Dropped = Json::object();
  for (const EventType &Type : eventTypes()) {
    LineBudget &Usage =
        logState().LineBudgets_[static_cast<std::size_t>(Type.Event_)];
    if (std::uint64_t Count = std::exchange(Usage.Dropped_, 0))
      Dropped[std::string(Type.Name_)] = Count;
  }
  if (logState().Output_) {
    logState().Output_->flush();
    std::uint64_t Total = logState().Output_->droppedLines();
    if (std::uint64_t Count =
            Total - std::exchange(logState().ReportedOutputDrops_, Total))
      Dropped["output_full"] = Count;
  }
  if (!Dropped.empty())
    writeEvent(LogEvent::LinesDropped, {{"lines", Dropped}});
}

} // namespace sycamore
