// Connects the quota decisions to callers' requests and to peers.
#include "QuotaControl.h"

#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <algorithm>

namespace sycamore {
namespace {

constexpr Duration RefreshInterval = milliseconds(250);

/// Longest time for which an owner may send this daemon away.
constexpr std::uint32_t MaxRetryAfterMs = 2000;

QuotaServerState stateOf(const wire::ServerRecord &Record) {
  switch (Record.state()) {
  case wire::SERVER_ALIVE:
  case wire::SERVER_SUSPECT:
    return QuotaServerState::Alive;
  case wire::SERVER_LEAVING:
  case wire::SERVER_LEFT:
    return QuotaServerState::Left;
  default:
    return QuotaServerState::Dead;
  }
}

/// Whether the server was alive within QuotaHeardAge, by its heartbeat or by a
/// record of its own. A record from the seeds carries no incarnation.
bool isHeard(const ServerRow &Row, TimePoint Now) {
  TimePoint Last = Row.LastHeartbeat_.value_or(TimePoint{});
  if (Row.Record_.incarnation() > 0 &&
      Row.Record_.state() == wire::SERVER_ALIVE)
    Last = std::max(Last, Row.StateSince_);
  return Last != TimePoint{} && Now - Last < QuotaHeardAge;
}

std::vector<QuotaGroup> groupsOf(const Membership &Members,
                                 const std::string &Self, TimePoint Now) {
  std::map<std::string, QuotaGroup> Groups;
  for (const auto &[Name, Row] : Members.Servers_) {
    QuotaGroup &Group = Groups[Row.Record_.data_centre()];
    Group.DataCentre_ = Row.Record_.data_centre();
    Group.Servers_.push_back({Name, stateOf(Row.Record_), Row.StateSince_,
                              Name == Self || isHeard(Row, Now)});
  }
  std::vector<QuotaGroup> Out;
  Out.reserve(Groups.size());
  for (auto &[DataCentre, Group] : Groups)
    Out.push_back(std::move(Group));
  return Out;
}

CallResult overQuota(const std::string &Tenant, Duration RetryAfter) {
  CallResult Out;
  Out.Run_ = wire::RUN_NOT_RUN;
  Out.Status_ = 429;
  Out.Error_ = {ErrorKind::Unavailable,
                "tenant \"" + Tenant + "\" has used up its quota",
                "wait for the time in Retry-After, or ask an operator to raise "
                "the quota"};
  Out.RetryAfter_ = RetryAfter;
  return Out;
}

} // namespace

QuotaControl::QuotaControl(const Settings &Config, ControlPlane &Control,
                           EntryProxy &Entry, QuotaSender Send, Now Time)
    : Settings_(Config), Control_(Control), Proxy_(Entry),
      Send_(std::move(Send)), StartedAt_(Time.Monotonic_) {
  Fleet_.Self_ = Config.Server_;
  Fleet_.DataCentre_ = Config.DataCentre_;
}

bool QuotaControl::isInUse(Now Time) {
  SnapshotPointer Current = Control_.snapshot();
  if (Checked_ == Current)
    return InUse_;
  Checked_ = Current;
  const auto &Tenants = Current->State_.Tenants_;
  bool InUse =
      std::any_of(Tenants.begin(), Tenants.end(), [](const auto &Each) {
        return Each.second.RequestsPerSecond_ > 0;
      });
  if (InUse && !InUse_) {
    NextRefresh_ = Time.Monotonic_;
    observeTime(Owner_, Time.Monotonic_);
  }
  InUse_ = InUse;
  return InUse_;
}

void QuotaControl::refreshFleet(Now Time) {
  if (Time.Monotonic_ < NextRefresh_)
    return;
  NextRefresh_ = Time.Monotonic_ + RefreshInterval;
  // Nobody has lent anything before quotas came into use, so that the wait for
  // the gossip need not begin then.
  bool First = Fleet_.Groups_.empty();
  updateFleet(Fleet_,
              groupsOf(Control_.members(), Settings_.Server_, Time.Monotonic_),
              First ? std::max(StartedAt_, Time.Monotonic_ - QuotaGossipWait)
                    : Time.Monotonic_);
}

void QuotaControl::receive(AcceptedRequest Request,
                           const HttpExchangePointer &Exchange, Now Time) {
  const EntryCall &Call = Request.Call_;
  const auto &Tenants = Call.Snapshot_->State_.Tenants_;
  auto Found = Tenants.find(Call.Tenant_);
  if (Call.Nested_ || Found == Tenants.end() ||
      Found->second.RequestsPerSecond_ == 0 || !isInUse(Time)) {
    Proxy_.dispatch(std::move(Request), Exchange, Time);
    return;
  }
  refreshFleet(Time);
  QuotaWaiterId Id = NextId_++;
  QuotaDecision Decision =
      decideQuota(Entry_, Fleet_, Call.Tenant_, quotaOf(Found->second), Id,
                  Time.Monotonic_);
  if (Decision.Verdict_ != QuotaVerdict::Wait) {
    resolve(std::move(Request), Exchange, Decision, Time);
  } else {
    hold(Id, std::move(Request), Exchange);
    sendAsks(Time);
  }
  logEvents();
}

void QuotaControl::hold(QuotaWaiterId Id, AcceptedRequest Request,
                        const HttpExchangePointer &Exchange) {
  Held_.emplace(Id, HeldRequest{std::move(Request), Exchange});
  Exchange->onClosed([this, Id] {
    auto Found = Held_.find(Id);
    if (Found == Held_.end())
      return;
    HeldRequest Closed = std::move(Found->second);
    Held_.erase(Found);
    cancelWait(Entry_, Closed.Request_.Call_.Tenant_, Id);
    Proxy_.abandon(Closed.Request_, Closed.Exchange_, readClocks());
  });
}

void QuotaControl::finish(const std::vector<QuotaOutcome> &Outcomes, Now Time) {
  for (const QuotaOutcome &Each : Outcomes) {
    auto Found = Held_.find(Each.Id_);
    if (Found == Held_.end())
      continue;
    HeldRequest Waiting = std::move(Found->second);
    Held_.erase(Found);
    resolve(std::move(Waiting.Request_), Waiting.Exchange_, Each.Decision_,
            Time);
  }
}

void QuotaControl::resolve(AcceptedRequest Request,
                           const HttpExchangePointer &Exchange,
                           const QuotaDecision &Decision, Now Time) {
  const std::string Tenant = Request.Call_.Tenant_;
  if (Decision.Verdict_ == QuotaVerdict::Refuse) {
    Proxy_.refuse(Exchange, Request, overQuota(Tenant, Decision.RetryAfter_),
                  Time);
    return;
  }
  Request.OnNotRun_ = [this, Tenant, Token = Decision.Token_] {
    returnToken(Entry_, Tenant, Token, monotonicNow());
  };
  Proxy_.dispatch(std::move(Request), Exchange, Time);
}

void QuotaControl::sendAsks(Now Time) {
  for (const QuotaAsk &Ask : takeAsks(Entry_, Fleet_, Time.Monotonic_)) {
    wire::PeerMessage Message;
    wire::QuotaRequest &Request = *Message.mutable_quota_request();
    Request.set_number(Ask.Number_);
    Request.set_ticket(Control_.snapshot()->Number_);
    for (const QuotaDemandRow &Each : Ask.Demands_) {
      wire::QuotaDemand &Demand = *Request.add_demands();
      Demand.set_tenant(Each.Tenant_);
      Demand.set_wanted(Each.Wanted_);
      Demand.set_arrived(Each.Arrived_);
    }
    if (Ask.Server_ == Settings_.Server_)
      receiveGrant(Ask.Server_, receiveRequest(Request, Time), Time);
    else
      Send_(Ask.Server_, Message);
  }
}

wire::QuotaGrant QuotaControl::receiveRequest(const wire::QuotaRequest &Request,
                                              Now Time) {
  wire::QuotaGrant Out;
  Out.set_number(Request.number());
  Out.set_refused(true);
  if (!isInUse(Time))
    return Out;
  observeTime(Owner_, Time.Monotonic_);
  refreshFleet(Time);
  const auto &Tenants = Control_.snapshot()->State_.Tenants_;
  for (const wire::QuotaDemand &Each : Request.demands()) {
    auto Found = Tenants.find(Each.tenant());
    if (Found == Tenants.end() || Found->second.RequestsPerSecond_ == 0)
      continue;
    QuotaOffer Offer =
        lend(Owner_, Fleet_, Each.tenant(), quotaOf(Found->second),
             Each.wanted(), Time.Monotonic_);
    if (Offer.Refused_)
      continue;
    Out.set_refused(false);
    wire::QuotaAllowance &Row = *Out.add_allowances();
    Row.set_tenant(Each.tenant());
    Row.set_granted(Offer.Granted_);
    // Rounded up: 0 would mean that all that was wanted is granted.
    Row.set_retry_after_ms(static_cast<std::uint32_t>(
        (Offer.RetryAfter_ + microseconds(999)) / milliseconds(1)));
  }
  return Out;
}

void QuotaControl::receiveGrant(const std::string &Server,
                                const wire::QuotaGrant &Grant, Now Time) {
  std::vector<QuotaAnswerRow> Rows;
  for (const wire::QuotaAllowance &Each : Grant.allowances())
    Rows.push_back(
        {Each.tenant(), Each.granted(),
         milliseconds(std::min(Each.retry_after_ms(), MaxRetryAfterMs))});
  finish(onGrant(Entry_, Fleet_, Server, Grant.number(), Grant.refused(), Rows,
                 Time.Monotonic_),
         Time);
  if (!Entry_.ToAsk_.empty())
    sendAsks(Time);
  logEvents();
}

void QuotaControl::tick(Now Time) {
  if (!isInUse(Time) && Held_.empty()) {
    if (!Entry_.Ledgers_.empty() || !Fleet_.Groups_.empty()) {
      Entry_.Ledgers_.clear();
      Entry_.Peers_.clear();
      Entry_.ToAsk_.clear();
      Owner_ = {};
      Fleet_.Groups_.clear();
    }
    return;
  }
  observeTime(Owner_, Time.Monotonic_);
  refreshFleet(Time);
  finish(tickQuota(Entry_, Fleet_, Time.Monotonic_), Time);
  expireShares(Owner_, Time.Monotonic_);
  sendAsks(Time);
  logEvents();
}

void QuotaControl::logEvents() {
  for (const QuotaEvent &Event : std::exchange(Entry_.Events_, {}))
    logEvent(Event.Kind_ == QuotaEventKind::Exceeded ? LogEvent::QuotaExceeded
                                                     : LogEvent::QuotaKept,
             {{"tenant", Event.Tenant_}});
}

} // namespace sycamore
