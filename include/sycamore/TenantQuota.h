// Quotas of tenants over all daemons. The rate of a tenant is split into
// shares, each lent in tokens by one daemon, its owner. An entry daemon runs a
// request of the tenant for a token. No I/O here; see QuotaControl.
#pragma once

#include "sycamore/Tenant.h"
#include "sycamore/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sycamore {

/// Parts of a tenant's rate, each with its own owner. With three, the quota
/// without one owner is still above the usual demand of a tenant whose quota is
/// 1.6 times that.
inline constexpr std::size_t QuotaShares = 3;

/// Tokens lapse this long after the request for them was sent. Requests that
/// run in 5 s spend the tokens of 5 s and this time; the permitted excess of
/// 10% would be used up at 500 ms.
inline constexpr Duration QuotaTokenLife = milliseconds(250);

/// A server counts as heard while its last heartbeat is younger than this.
inline constexpr Duration QuotaHeardAge = seconds(10);

/// An owner may go on lending for QuotaHeardAge after it was cut off, and its
/// tokens live on; its successor waits longer than that.
inline constexpr Duration QuotaTakeoverWait = seconds(12);

/// Time in which the return or the planned leaving of a server reaches the
/// servers of its data centre.
inline constexpr Duration QuotaGossipWait = seconds(2);

/// An entry daemon that no owner answered for this long uses its own part of
/// the rate. All owners have ceased to lend that part by then.
inline constexpr Duration QuotaFallbackWait = QuotaTakeoverWait;

struct QuotaLimit {
  double Rate_ = 0; ///< Requests per second over all daemons; 0: no limit.
  double Burst_ = 0;
};

QuotaLimit quotaOf(const Tenant &Value);

enum class QuotaServerState {
  Alive, ///< Or suspect.
  Left,  ///< Has left, or is leaving, as planned.
  Dead,
};

struct QuotaServer {
  std::string Name_;
  QuotaServerState State_ = QuotaServerState::Alive;
  TimePoint Since_;    ///< When this daemon learned the state.
  bool Heard_ = false; ///< See QuotaHeardAge.
};

/// The known servers of one data centre.
struct QuotaGroup {
  std::string DataCentre_;
  std::vector<QuotaServer> Servers_; ///< Alive and dead ones.
  TimePoint QuorumSince_; ///< Start of the time in which over half are heard.
  bool Quorum_ = false;
};

/// Membership as the quotas need it.
struct QuotaFleet {
  std::string Self_;
  std::string DataCentre_;         ///< Of this daemon.
  std::vector<QuotaGroup> Groups_; ///< By name of the data centre.
  /// When a data centre appeared or disappeared, which moves shares.
  TimePoint GroupsSince_;
  std::uint64_t Version_ = 0; ///< Rises when an owner may have changed.
};

/// Servers that may run requests, reachable or not.
std::size_t knownServers(const QuotaGroup &Group);

/// Part of the known servers that are heard.
double heardPart(const QuotaGroup &Group);

/// Takes the groups of Next over. QuorumSince_ and Version_ are kept up to date
/// here; Next needs neither.
void updateFleet(QuotaFleet &Fleet, std::vector<QuotaGroup> Next,
                 TimePoint Now);

/// Group whose servers lend the share.
const QuotaGroup *groupOfShare(const QuotaFleet &Fleet, std::string_view Tenant,
                               std::size_t Share);

/// The server that lends the share; empty if none can.
std::string ownerOfShare(const QuotaFleet &Fleet, std::string_view Tenant,
                         std::size_t Share);

/// Time from which this daemon may lend the share; unset if another daemon
/// owns it or too few servers of the group are heard.
std::optional<TimePoint> lendsFrom(const QuotaFleet &Fleet,
                                   std::string_view Tenant, std::size_t Share);

// --- Owner ---

struct LentShare {
  double Tokens_ = 0;
  TimePoint FilledAt_;
  /// Refused askers are told to return one after the other, when there will be
  /// tokens for them.
  TimePoint NextRoom_;
};

/// The shares of one tenant, as far as this daemon lends them.
struct LentShares {
  std::array<LentShare, QuotaShares> Shares_;
  /// Cached results of lendsFrom() and of the part of the group that is heard.
  std::array<std::optional<TimePoint>, QuotaShares> LendsFrom_;
  std::array<double, QuotaShares> HeardPart_{};
  std::uint64_t FleetVersion_ = 0; ///< For which they hold.
  TimePoint FullAt_; ///< When all its shares are full, if not asked again.
};

struct QuotaOwner {
  std::unordered_map<std::string, LentShares> Tenants_;
  /// End of the last pause of this process. Others may have taken its shares
  /// meanwhile.
  TimePoint ResumedAt_;
  TimePoint LastSeen_;
};

struct QuotaOffer {
  std::uint32_t Granted_ = 0;
  Duration RetryAfter_{}; ///< Positive if fewer than wanted were granted.
  bool Refused_ = false;  ///< This daemon does not lend these tokens now.
};

/// To be called on each tick and before each message is handled, so that a
/// pause is noticed before anything is lent.
void observeTime(QuotaOwner &Owner, TimePoint Now);

/// Lends tokens of all shares that this daemon owns.
QuotaOffer lend(QuotaOwner &Owner, const QuotaFleet &Fleet,
                const std::string &Tenant, const QuotaLimit &Limit,
                std::uint32_t Wanted, TimePoint Now);

/// Forgets tenants whose shares have been full for a while.
void expireShares(QuotaOwner &Owner, TimePoint Now);

// --- Entry daemon ---

using QuotaWaiterId = std::uint64_t;

struct QuotaToken {
  TimePoint ValidUntil_;
};

struct QuotaWaiter {
  QuotaWaiterId Id_ = 0;
  TimePoint WaitsUntil_;
};

/// What an entry daemon knows of the lender of a share.
struct QuotaSource {
  std::string Owner_;
  /// No tokens until then: the owner said so.
  TimePoint DeniedUntil_;
};

struct QuotaLedger {
  QuotaLimit Limit_;
  std::deque<QuotaToken> Tokens_; ///< The oldest first.
  std::deque<QuotaWaiter> Waiting_;
  /// Those in the own data centre first.
  std::array<QuotaSource, QuotaShares> Sources_;
  std::uint64_t FleetVersion_ = 0;
  std::string Asked_; ///< Owner with an open question; empty for none.
  std::uint32_t AskedTokens_ = 0; ///< Wanted by the last question.
  std::uint32_t Arrived_ = 0;     ///< Since the last request for tokens.
  double Demand_ = 0;             ///< Requests per second, smoothed.
  TimePoint DemandAt_;
  TimePoint UsedAt_;
  /// First question without an answer, or to a server that does not lend,
  /// since the last answer.
  std::optional<TimePoint> UnansweredSince_;
  std::optional<TimePoint> NextFallback_; ///< Set while it is in use.
  bool Exceeding_ = false;
  TimePoint RefusedAt_; ///< Of the last request over the quota.
};

/// A request for tokens to one owner that has not been answered.
struct QuotaQuestion {
  std::uint64_t Number_ = 0;
  TimePoint SentAt_;
  bool Overdue_ = false; ///< A late answer is still used.
  std::vector<std::string> Tenants_;
};

struct QuotaPeer {
  std::optional<QuotaQuestion> Open_;
  TimePoint NextSend_;    ///< At most one message a tick.
  TimePoint SilentUntil_; ///< It left a question without an answer.
};

struct QuotaCounters {
  std::uint64_t Granted_ = 0; ///< Requests run for a token.
  std::uint64_t Denied_ = 0;
  std::uint64_t Lapsed_ = 0; ///< Tokens that were not used in time.
  std::uint64_t Returned_ = 0;
  std::uint64_t Fallback_ = 0; ///< Requests run for this daemon's own part.
  std::uint64_t Waited_ = 0;
  std::uint64_t Unanswered_ = 0; ///< Questions to owners.
  std::uint64_t QuestionsSent_ = 0;
};

enum class QuotaEventKind { Exceeded, Ended };

struct QuotaEvent {
  QuotaEventKind Kind_ = QuotaEventKind::Exceeded;
  std::string Tenant_;
};

struct QuotaEntry {
  std::unordered_map<std::string, QuotaLedger> Ledgers_; ///< By tenant.
  std::map<std::string, QuotaPeer> Peers_;               ///< By server.
  /// Tenants with waiting requests and no open question.
  std::set<std::string> ToAsk_;
  std::size_t Waiting_ = 0;
  std::uint64_t NextNumber_ = 1;
  TimePoint NextExpiry_;
  QuotaCounters Counters_;
  std::vector<QuotaEvent> Events_;
};

enum class QuotaVerdict { Run, Wait, Refuse };

struct QuotaDecision {
  QuotaVerdict Verdict_ = QuotaVerdict::Refuse;
  QuotaToken Token_;      ///< If Run.
  Duration RetryAfter_{}; ///< If Refuse.
};

/// The end of a wait.
struct QuotaOutcome {
  QuotaWaiterId Id_ = 0;
  QuotaDecision Decision_; ///< Run or Refuse.
};

struct QuotaDemandRow {
  std::string Tenant_;
  std::uint32_t Wanted_ = 0;
  std::uint32_t Arrived_ = 0;
};

struct QuotaAsk {
  std::string Server_;
  std::uint64_t Number_ = 0;
  std::vector<QuotaDemandRow> Demands_;
};

struct QuotaAnswerRow {
  std::string Tenant_;
  std::uint32_t Granted_ = 0;
  Duration RetryAfter_{};
};

/// Decides on a request of a tenant with a limit. After Wait, the request ends
/// by an outcome of one of the functions below, or by cancelWait().
QuotaDecision decideQuota(QuotaEntry &Entry, const QuotaFleet &Fleet,
                          const std::string &Tenant, const QuotaLimit &Limit,
                          QuotaWaiterId Id, TimePoint Now);

/// Requests for tokens that are due, at most one to each owner in a tick.
std::vector<QuotaAsk> takeAsks(QuotaEntry &Entry, const QuotaFleet &Fleet,
                               TimePoint Now);

/// Handles the answer of an owner; Refused as in wire::QuotaGrant.
std::vector<QuotaOutcome> onGrant(QuotaEntry &Entry, const QuotaFleet &Fleet,
                                  const std::string &Server,
                                  std::uint64_t Number, bool Refused,
                                  const std::vector<QuotaAnswerRow> &Rows,
                                  TimePoint Now);

/// Ends waits and questions whose time has passed; forgets idle tenants.
std::vector<QuotaOutcome> tickQuota(QuotaEntry &Entry, const QuotaFleet &Fleet,
                                    TimePoint Now);

void cancelWait(QuotaEntry &Entry, const std::string &Tenant, QuotaWaiterId Id);

/// Returns the token of a request that was not run. Another request can use it
/// until it lapses.
void returnToken(QuotaEntry &Entry, const std::string &Tenant,
                 const QuotaToken &Token, TimePoint Now);

} // namespace sycamore
