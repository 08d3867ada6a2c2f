// A program of the build folder that a test starts, and kills by its process
// id.
#pragma once

#include "EventLoop.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sycamore {

class ChildProcess {
public:
  /// Starts a program with a time limit of 120 s and waits until it has written
  /// its address.
  ChildProcess(EventLoop &Loop, const std::string &Program,
               std::vector<std::string> Options) {
    std::string Pattern =
        (std::filesystem::temp_directory_path() / "sycamore-XXXXXX").string();
    Folder_ = mkdtemp(Pattern.data());
    std::string PortFile = Folder_ + "/port";
    Options.insert(Options.begin(),
                   std::string(SYCAMORE_BIN_DIR) + "/" + Program);
    Options.insert(Options.end(),
                   {"--port-file", PortFile, "--exit-after-s", "120"});
    std::vector<char *> Arguments;
    for (std::string &Item : Options)
      Arguments.push_back(Item.data());
    Arguments.push_back(nullptr);
    if (posix_spawn(&Id_, Arguments[0], nullptr, nullptr, Arguments.data(),
                    environ) != 0)
      return;
    Loop.runUntil([&] {
      std::ifstream(PortFile) >> Address_;
      return !Address_.empty();
    });
  }
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;
  ~ChildProcess() {
    if (!ended() && Id_ > 0) {
      kill(Id_, SIGKILL);
      waitpid(Id_, &Status_, 0);
    }
    std::filesystem::remove_all(Folder_);
  }

  void terminate() const { kill(Id_, SIGTERM); }

  bool ended() {
    if (!Ended_ && Id_ > 0 && waitpid(Id_, &Status_, WNOHANG) == Id_)
      Ended_ = true;
    return Ended_;
  }

  /// Exit status, or -1 if a signal ended the program.
  int exitStatus() const {
    return WIFEXITED(Status_) ? WEXITSTATUS(Status_) : -1;
  }

  const std::string &address() const { return Address_; }
  std::string file(const std::string &Name) const {
    return Folder_ + "/" + Name;
  }

private:
  std::string Folder_;
  std::string Address_;
  pid_t Id_ = -1;
  int Status_ = 0;
  bool Ended_ = false;
};

} // namespace sycamore
