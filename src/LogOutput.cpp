// log4cxx appender that never blocks on a slow reader of its output.
#include "LogOutput.h"

#include <algorithm>
#include <climits>
#include <poll.h>
#include <unistd.h>

namespace sycamore {

LogOutput::LogOutput(int Descriptor) : Descriptor_(Descriptor) {}

void LogOutput::append(const log4cxx::spi::LoggingEventPtr &Event,
                       log4cxx::helpers::Pool & /*MemoryPool*/) {
  log4cxx::LogString Text = Event->getRenderedMessage() + "\n";
  if (Pending_.size() + Text.size() > MaxPendingLogBytes) {
    ++DroppedLines_;
    return;
  }
  Pending_ += Text;
  flush();
}

// A pipe that polls as writable accepts PIPE_BUF bytes without blocking. So the
// descriptor need not be set to O_NONBLOCK, which would also apply to other
// processes that share it.
void LogOutput::flush() {
  while (!Pending_.empty()) {
    pollfd Ready{Descriptor_, POLLOUT, 0};
    if (poll(&Ready, 1, 0) <= 0 || (Ready.revents & POLLOUT) == 0)
      return;
    ssize_t Written = write(Descriptor_, Pending_.data(),
                            std::min<std::size_t>(Pending_.size(), PIPE_BUF));
    if (Written <= 0)
      return;
    Pending_.erase(0, static_cast<std::size_t>(Written));
  }
}

void LogOutput::close() { flush(); }

} // namespace sycamore
