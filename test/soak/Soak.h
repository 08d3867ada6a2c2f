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
  Duration Length_ = seconds(12); ///< Of the faults, without the recovery.
  /// Only for the test of the check itself: "done" answers are recorded as
  /// "not-run".
  bool LieForTest_ = false;
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
    std::unique_ptr<FaultProxy> Peers_; ///< From other daemons to this one.
    std::unique_ptr<FaultProxy> Store_; ///< From this daemon to the store.
    TimePoint BusyUntil_;      ///< No process fault or status query until then.
    bool Stopping_ = false;    ///< SIGTERM was sent.
    std::uint64_t Ticket_ = 0; ///< Highest reported by this process.
  };
  using Action = std::function<void()>;

  bool start();
  void sendSome();
  void sendOne(std::size_t Entry);
  void onAnswer(const history::Event &Sent, const std::string &Proxy,
                const HttpAnswer &Answer);
  void disturb();
  void disturbProcess(Member &Which);
  void disturbLink(Member &Which);
  void disturbStore();
  void changeTicket();
  void restart(Member &Which);
  void sampleTickets();
  void note(const std::string &What);
  void later(Duration Wait, Action What);
  void runDue();
  void heal();
  void checkRecovery();
  void readLedgers();
  void fail(const std::string &Rule, const std::string &What);
  history::Event makeEvent(history::EventKind Kind) const;

  SoakConfig Config_;
  Random Rng_;
  Cluster Running_;
  std::vector<Member> Members_;
  std::unique_ptr<HttpClient> Client_;
  std::vector<std::pair<TimePoint, Action>> Later_;
  history::Recorder Recorder_;
  std::map<std::string, history::Event> SentByCall_;
  SoakReport Report_;
  TimePoint Started_;
  TimePoint NextDisturbance_;
  TimePoint NextTicket_;
  TimePoint NextSample_;
  std::size_t Open_ = 0; ///< Requests without an answer.
  std::uint64_t Accepted_ = 0;
};

} // namespace sycamore::test
