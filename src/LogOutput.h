// Appender of log4cxx that never waits for the reader of its output.
#pragma once

#include <cstdint>
#include <log4cxx/appenderskeleton.h>
#include <string>

namespace sycamore {

/// Lines wait in memory up to this; more are dropped and counted.
inline constexpr std::size_t MaxPendingLogBytes = 256U << 10U;

class LogOutput : public log4cxx::AppenderSkeleton {
public:
  explicit LogOutput(int Descriptor);

  void append(const log4cxx::spi::LoggingEventPtr &Line,
              log4cxx::helpers::Pool &Memory) override;
  void close() override;
  bool requiresLayout() const override { return false; }

  /// Writes what the output takes without waiting.
  void flush();
  std::uint64_t dropped() const { return Dropped_; }

private:
  int Descriptor_;
  std::string Pending_;
  std::uint64_t Dropped_ = 0;
};

} // namespace sycamore
