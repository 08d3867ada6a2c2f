// Randomized soak of the real programs under injected faults, and the check of
// the answers to callers and of the requests that the targets ran.
#pragma once

#include "Cluster.h"
#include "FaultProxy.h"
#include "History.h"
#include "sycamore/Random.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sycamore::test {

struct SoakConfig {
  std::uint64_t Seed_ = 1;
  std::size_t Servers_ = 6;
  /// Time during which faults are injected; the recovery follows.
  Duration FaultDuration_ = seconds(12);
  /// Between two restorations of the store from a copy, beside those among the
  /// random faults; none if 0.
  Duration RestoreInterval_{0};
  /// Between two stops of all daemons of a random data centre, or of all
  /// daemons, at the same moment; none if 0.
  Duration StopInterval_{0};
  /// Only for the test of the check itself: "done" answers are recorded as
  /// "not-run".
  bool RecordDoneAsNotRun_ = false;
};

struct SoakReport {
  std::vector<history::Violation> Violations_;
  std::vector<std::string> Faults_; ///< In order, with their times.
  std::size_t Sent_ = 0;
  std::size_t Done_ = 0;
  std::size_t NotRun_ = 0;
  std::size_t Unknown_ = 0;
};

class Soak {
public:
  explicit Soak(const SoakConfig &Config);

  SoakReport run();

private:
  /// A daemon with its target and the proxies on its connections.
  struct Member {
    Server *Server_ = nullptr;
    std::unique_ptr<FaultProxy> PeerProxy_; ///< From other daemons to this one.
    std::unique_ptr<FaultProxy> StoreProxy_; ///< From this daemon to the store.
    TimePoint FaultedUntil_; ///< No process fault or status query until then.
    bool Stopping_ = false;  ///< SIGTERM was sent.
    std::uint64_t HighestTicket_ = 0; ///< Highest reported by this process.
  };
  using Action = std::function<void()>;

  bool start();
  void sendRequests();
  void sendRequest(std::size_t EntryIndex);
  void onResponse(const history::Event &Sent, const std::string &Proxy,
                  const HttpResponse &Response);
  void injectFault();
  void injectProcessFault(Member &Victim);
  void stopDaemon(Member &Victim);
  /// Waits for the end of a stopped daemon, at most until Deadline.
  void restartOnceStopped(Member &Victim, TimePoint Deadline);
  void stopDataCentres();
  void injectLinkFault(Member &Victim);
  void injectStoreFault();
  void restoreStoreLater();
  void issueTicket();
  void restart(Member &Victim);
  void sampleTickets();
  void logEvent(const std::string &Text);
  void schedule(Duration Delay, Action Callback);
  void runDueActions();
  void endFaults();
  void checkRecovery();
  void readLedgers();
  void addViolation(const std::string &Rule, const std::string &Description);
  history::Event makeEvent(history::EventKind Kind) const;

  SoakConfig Config_;
  Random Rng_;
  Cluster Cluster_;
  std::vector<Member> Members_;
  std::unique_ptr<HttpClient> Client_;
  std::vector<std::pair<TimePoint, Action>> Scheduled_;
  history::Recorder Recorder_;
  std::map<std::string, history::Event> SentByCall_;
  SoakReport Report_;
  TimePoint StartedAt_;
  TimePoint NextFaultAt_;
  TimePoint NextTicketAt_;
  TimePoint NextRestoreAt_;
  TimePoint NextStopAt_;
  TimePoint NextSampleAt_;
  std::size_t OpenRequests_ = 0;   ///< Requests without an answer.
  std::size_t WaitingCallers_ = 0; ///< Told to come back later.
  std::uint64_t AcceptedTicket_ = 0;
};

} // namespace sycamore::test
