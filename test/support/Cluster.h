// A small deployment of real processes on loopback for tests: one store
// stand-in, daemons and target stand-ins. All processes are killed with the
// deployment. The stand-ins also have a time limit, in case the test itself is
// killed.
#pragma once

#include "EventLoop.h"
#include "sycamore/Json.h"

#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sycamore::test {

/// A process started by the test; the destructor kills it.
class Process {
public:
  /// Program is looked up in the build's bin folder. Output goes to LogFile.
  Process(const std::string &Program, std::vector<std::string> Arguments,
          const std::string &LogFile);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int Number) const;
  void kill();
  /// Waits for the process to end and returns its exit status, or 128 plus the
  /// signal number if a signal ended it. Returns nothing if it still runs after
  /// Limit.
  std::optional<int> wait(Duration Limit);
  bool isRunning();
  /// Most memory that the process has had in RAM; 0 when it cannot be read.
  std::size_t peakMemoryBytes() const;
  /// Memory that the process has in RAM now; 0 when it cannot be read.
  std::size_t memoryBytes() const;
  std::size_t openDescriptors() const;

private:
  std::size_t statusBytes(std::string_view Field) const;

  pid_t Id_ = -1;
  std::optional<int> Exit_;
};

/// A daemon and the target beside it.
struct Server {
  std::string Name_;
  std::string Service_;
  std::string DataCentre_;
  std::string Caller_; ///< Address for callers.
  std::string Admin_;
  std::string Peer_;
  std::string Ready_;  ///< Empty without ready_listen.
  std::string Target_; ///< Address of the target.
  std::string Settings_;
  std::string Ledger_;
  std::unique_ptr<Process> Daemon_;
  std::unique_ptr<Process> TargetProcess_;
};

struct CallResponse {
  int Status_ = 0;  ///< 0 if there was no response.
  std::string Run_; ///< The sycamore-run header.
  HttpHeaders Headers_;
  std::string Body_;
};

class Cluster {
public:
  Cluster();
  ~Cluster();

  /// Starts the store stand-in.
  void startStore();

  /// Starts a daemon and a target of the service. ExtraSettings are merged into
  /// the daemon's settings; TargetOptions are passed to the target.
  Server &addServer(const std::string &Service, const std::string &DataCentre,
                    const std::vector<std::string> &TargetOptions = {},
                    const Json &ExtraSettings = Json::object());

  /// Restarts the daemon on its previous addresses. ExtraSettings are merged
  /// into its settings.
  void restartDaemon(Server &TestServer,
                     const Json &ExtraSettings = Json::object());
  void startTarget(Server &TestServer, const std::vector<std::string> &Options);

  /// Runs sycamorectl and returns its exit status, or -1 after 30 s; Output
  /// receives what it printed.
  int runSycamorectl(const std::vector<std::string> &Arguments,
                     std::string *Output = nullptr);

  /// Files and approves a ticket with a route "/SERVICE" for each service and
  /// all servers as targets. Returns its number, 0 on failure.
  std::uint64_t fileAndApproveTicket(const Json &Extra = Json::object());

  /// Files and approves the ticket of fileAndApproveTicket again. Returns 0,
  /// without failing the test, if the store or sycamorectl refuses it.
  std::uint64_t tryFileAndApproveTicket();

  bool waitUntil(const std::function<bool()> &Condition,
                 Duration Limit = seconds(30));
  bool waitForTicket(std::uint64_t Number);
  /// Waits until a call to every service succeeds through every daemon.
  bool waitForTargets();

  CallResponse call(const std::string &Address, const std::string &Method,
                    const std::string &Path, const std::string &Body = {},
                    HttpHeaders Headers = {}, Duration Limit = seconds(10));
  Json admin(const Server &TestServer, const std::string &Path);
  void fault(const std::string &Address, const Json &Switches);
  /// Lets the store keep a copy, or go back to it.
  void copyStore();
  void restoreStore();
  /// Value of a metric without labels; -1 if absent.
  double metric(const Server &TestServer, const std::string &Name);

  /// Number of lines in all ledgers that contain this text and event.
  std::size_t countLedger(const std::string &Text, const std::string &Event);

  const std::string &storeAddress() const { return StoreAddress_; }
  std::vector<std::unique_ptr<Server>> Servers_;
  EventLoop Loop_;

private:
  void startDaemon(Server &TestServer);
  std::string waitForFile(const std::string &Path);

  std::string Folder_;
  std::string StoreAddress_;
  std::unique_ptr<Process> Store_;
  std::unique_ptr<HttpClient> Client_;
  std::string OperatorSettings_;
};

/// An idempotency key with its creation time: a version 7 UUID (RFC 9562).
std::string makeKey();

} // namespace sycamore::test
