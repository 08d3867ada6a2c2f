// Structured logs by log4cxx.
#include "sycamore/Log.h"

#include "sycamore/Clock.h"

#include <array>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace sycamore {
namespace {

constexpr std::array<std::string_view, 4> LevelNames = {"debug", "info", "warn",
                                                        "error"};

std::string &serverName() {
  static std::string Name;
  return Name;
}

log4cxx::LevelPtr libraryLevel(LogLevel Level) {
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

} // namespace

Result<LogLevel> parseLogLevel(std::string_view Name) {
  for (std::size_t I = 0; I < LevelNames.size(); ++I)
    if (LevelNames[I] == Name)
      return static_cast<LogLevel>(I);
  return fail(ErrorKind::InvalidSettings,
              "log.level: \"" + std::string(Name) + "\" is not a level",
              "use debug, info, warn or error");
}

void configureLog(LogLevel Level, const std::string &File,
                  std::string_view Server) {
  serverName() = Server;
  auto Layout = std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
  log4cxx::AppenderPtr Appender;
  if (File.empty() || File == "-")
    Appender = std::make_shared<log4cxx::ConsoleAppender>(
        Layout, File.empty() ? log4cxx::ConsoleAppender::getSystemErr()
                             : log4cxx::ConsoleAppender::getSystemOut());
  else
    Appender = std::make_shared<log4cxx::FileAppender>(Layout, File, true);
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  log4cxx::Logger::getRootLogger()->setLevel(libraryLevel(Level));
}

void logEvent(LogLevel Level, std::string_view Event, const Json &Fields) {
  log4cxx::LoggerPtr Logger = log4cxx::Logger::getRootLogger();
  if (!Logger->isEnabledFor(libraryLevel(Level)))
    return;
  nlohmann::ordered_json Line;
  Line["time"] = formatTime(wallNow());
  Line["level"] = LevelNames[static_cast<std::size_t>(Level)];
  Line["server"] = serverName();
  Line["event"] = Event;
  for (const auto &[Name, Value] : Fields.items())
    Line[Name] = Value;
  std::string Text = Line.dump(-1, ' ', false, Json::error_handler_t::replace);
  LOG4CXX_LOG(Logger, libraryLevel(Level), Text);
}

} // namespace sycamore
