// log4cxx appender that never blocks on a slow reader of its output.
#pragma once

#include <cstdint>
#include <log4cxx/appenderskeleton.h>
#include <string>

namespace sycamore {

/// Size of the buffer for lines that the output does not accept yet. Lines
/// beyond it are dropped and counted.
inline constexpr std::size_t MaxPendingLogBytes = 256U << 10U;

class LogOutput : public log4cxx::AppenderSkeleton {
public:
  explicit LogOutput(int Descriptor);

  void append(const log4cxx::spi::LoggingEventPtr &Event,
              log4cxx::helpers::Pool &MemoryPool) override;
  void close() override;
  bool requiresLayout() const override { return false; }

  /// Writes as much of the buffer as the output accepts without blocking.
  void flush();
  std::uint64_t droppedLines() const { return DroppedLines_; }

private:
  int Descriptor_;
  std::string Pending_;
  std::uint64_t DroppedLines_ = 0;
};

} // namespace sycamore
