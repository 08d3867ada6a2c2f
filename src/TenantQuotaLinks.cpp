// Requests for tokens to owners, and what comes of them, at the entry daemon.
#include "TenantQuotaDetail.h"

#include <algorithm>

namespace sycamore {

using namespace quota;

namespace {

/// Between two messages to one owner.
constexpr Duration AskInterval = milliseconds(20);

/// An owner that has not answered in this time is passed over. A machine that
/// has used its share of the processor answers up to 100 ms late.
constexpr Duration AnswerTimeout = milliseconds(120);

/// For which another owner is preferred to one that did not answer.
constexpr Duration SilentTime = seconds(1);

/// Until a server that does not lend is asked again.
constexpr Duration NotLendingRetry = milliseconds(500);

/// Tokens are asked for in advance from this many expected requests in the life
/// of a token; with fewer, too many would lapse.
constexpr double MinPrefetch = 2;
/// Part of the expected requests for which tokens are asked in advance.
constexpr double PrefetchPart = 0.8;

/// A tenant without requests for this long is forgotten.
constexpr Duration LedgerRetention = seconds(30);
constexpr Duration ExpiryInterval = seconds(1);

constexpr std::size_t MaxTenantsPerAsk = 200;

std::uint32_t wantedTokens(const QuotaLedger &Ledger) {
  auto Wanted = static_cast<std::uint32_t>(Ledger.Waiting_.size());
  double Expected = Ledger.Demand_ * secondsOf(QuotaTokenLife);
  if (Expected >= MinPrefetch)
    Wanted += static_cast<std::uint32_t>(Expected * PrefetchPart);
  return Wanted;
}

QuotaDemandRow makeDemand(const std::string &Tenant, QuotaLedger &Ledger) {
  QuotaDemandRow Out{Tenant, wantedTokens(Ledger), Ledger.Arrived_};
  Ledger.Arrived_ = 0;
  Ledger.AskedTokens_ = Out.Wanted_;
  return Out;
}

void denyUntil(QuotaLedger &Ledger, const std::string &Server,
               TimePoint Until) {
  for (QuotaSource &Each : Ledger.Sources_)
    if (Each.Owner_ == Server)
      Each.DeniedUntil_ = Until;
}

/// Leaves the tenants of a question free to ask again.
void closeQuestion(QuotaEntry &Entry, const std::string &Server,
                   const QuotaQuestion &Question, TimePoint Now,
                   std::vector<QuotaOutcome> &Out) {
  for (const std::string &Tenant : Question.Tenants_) {
    auto Found = Entry.Ledgers_.find(Tenant);
    if (Found == Entry.Ledgers_.end())
      continue;
    if (Found->second.Asked_ == Server)
      Found->second.Asked_.clear();
    settle(Entry, Tenant, Found->second, Now, Out);
  }
}

void addAnswer(QuotaLedger &Ledger, const std::string &Server,
               const QuotaAnswerRow &Row, TimePoint SentAt, TimePoint Now) {
  Ledger.UnansweredSince_.reset();
  std::uint32_t Granted = std::min(Row.Granted_, Ledger.AskedTokens_);
  for (std::uint32_t I = 0; I < Granted; ++I)
    Ledger.Tokens_.push_back({SentAt + QuotaTokenLife});
  if (Row.RetryAfter_ > Duration(0))
    denyUntil(Ledger, Server, Now + Row.RetryAfter_);
}

void noteUnanswered(QuotaLedger &Ledger, TimePoint Now) {
  if (!Ledger.UnansweredSince_)
    Ledger.UnansweredSince_ = Now;
}

void markSilent(QuotaEntry &Entry, const std::string &Server, QuotaPeer &Peer,
                TimePoint Now, std::vector<QuotaOutcome> &Out) {
  ++Entry.Counters_.Unanswered_;
  Peer.Open_->Overdue_ = true;
  Peer.SilentUntil_ = Now + SilentTime;
  for (const std::string &Tenant : Peer.Open_->Tenants_)
    if (auto Found = Entry.Ledgers_.find(Tenant); Found != Entry.Ledgers_.end())
      noteUnanswered(Found->second, Now);
  closeQuestion(Entry, Server, *Peer.Open_, Now, Out);
}

/// Ends the waits of a tenant that have lasted too long.
void endWaits(QuotaEntry &Entry, const QuotaFleet &Fleet,
              const std::string &Tenant, QuotaLedger &Ledger, TimePoint Now,
              std::vector<QuotaOutcome> &Out) {
  while (!Ledger.Waiting_.empty() &&
         Ledger.Waiting_.front().WaitsUntil_ <= Now) {
    auto Run = useFallback(Entry, Fleet, Tenant, Ledger, Now);
    Out.push_back({Ledger.Waiting_.front().Id_,
                   Run ? *Run : refuse(Entry, Tenant, Ledger, Now)});
    Ledger.Waiting_.pop_front();
    --Entry.Waiting_;
  }
  if (Ledger.Waiting_.empty())
    Entry.ToAsk_.erase(Tenant);
}

void expire(QuotaEntry &Entry, TimePoint Now) {
  for (auto Item = Entry.Ledgers_.begin(); Item != Entry.Ledgers_.end();) {
    QuotaLedger &Ledger = Item->second;
    dropLapsed(Entry, Ledger, Now);
    endExcess(Entry, Item->first, Ledger, Now);
    bool Idle = Ledger.Waiting_.empty() && Ledger.Tokens_.empty() &&
                Ledger.Asked_.empty() && !Ledger.Exceeding_ &&
                Now - Ledger.UsedAt_ > LedgerRetention;
    Item = Idle ? Entry.Ledgers_.erase(Item) : std::next(Item);
  }
  std::erase_if(Entry.Peers_, [&](const auto &Item) {
    return !Item.second.Open_ && Now >= Item.second.SilentUntil_ &&
           Now - Item.second.NextSend_ > LedgerRetention;
  });
}

} // namespace

std::vector<QuotaAsk> takeAsks(QuotaEntry &Entry, const QuotaFleet &Fleet,
                               TimePoint Now) {
  std::map<std::string, QuotaAsk> Asks;
  for (auto Item = Entry.ToAsk_.begin(); Item != Entry.ToAsk_.end();) {
    QuotaLedger &Ledger = Entry.Ledgers_[*Item];
    refreshSources(Ledger, Fleet, *Item);
    const QuotaSource *Source = chooseSource(Entry, Ledger, Now);
    QuotaPeer *Peer = Source ? &Entry.Peers_[Source->Owner_] : nullptr;
    // A tick later, or when the open question has been answered.
    bool Held = !Peer || Now < Peer->NextSend_ ||
                (Peer->Open_ && !Peer->Open_->Overdue_);
    QuotaAsk *Ask = Held ? nullptr : &Asks[Source->Owner_];
    if (!Ask || Ask->Demands_.size() >= MaxTenantsPerAsk) {
      ++Item;
      continue;
    }
    Ask->Demands_.push_back(makeDemand(*Item, Ledger));
    Ledger.Asked_ = Source->Owner_;
    Item = Entry.ToAsk_.erase(Item);
  }
  std::vector<QuotaAsk> Out;
  for (auto &[Server, Ask] : Asks) {
    Ask.Server_ = Server;
    Ask.Number_ = Entry.NextNumber_++;
    QuotaQuestion Question{Ask.Number_, Now, false, {}};
    for (const QuotaDemandRow &Each : Ask.Demands_)
      Question.Tenants_.push_back(Each.Tenant_);
    QuotaPeer &Peer = Entry.Peers_[Server];
    Peer.Open_ = std::move(Question);
    Peer.NextSend_ = Now + AskInterval;
    ++Entry.Counters_.QuestionsSent_;
    Out.push_back(std::move(Ask));
  }
  return Out;
}

std::vector<QuotaOutcome> onGrant(QuotaEntry &Entry, const QuotaFleet &Fleet,
                                  const std::string &Server,
                                  std::uint64_t Number, bool Refused,
                                  const std::vector<QuotaAnswerRow> &Rows,
                                  TimePoint Now) {
  std::vector<QuotaOutcome> Out;
  auto Peer = Entry.Peers_.find(Server);
  if (Peer == Entry.Peers_.end() || !Peer->second.Open_ ||
      Peer->second.Open_->Number_ != Number)
    return Out;
  QuotaQuestion Question = std::move(*Peer->second.Open_);
  Peer->second.Open_.reset();
  Peer->second.SilentUntil_ = {};
  for (const std::string &Tenant : Question.Tenants_) {
    auto Ledger = Entry.Ledgers_.find(Tenant);
    if (Ledger == Entry.Ledgers_.end())
      continue;
    refreshSources(Ledger->second, Fleet, Tenant);
    auto Row = std::find_if(Rows.begin(), Rows.end(), [&](const auto &Each) {
      return Each.Tenant_ == Tenant;
    });
    if (!Refused && Row != Rows.end()) {
      addAnswer(Ledger->second, Server, *Row, Question.SentAt_, Now);
      continue;
    }
    denyUntil(Ledger->second, Server, Now + NotLendingRetry);
    noteUnanswered(Ledger->second, Now);
  }
  closeQuestion(Entry, Server, Question, Now, Out);
  return Out;
}

std::vector<QuotaOutcome> tickQuota(QuotaEntry &Entry, const QuotaFleet &Fleet,
                                    TimePoint Now) {
  std::vector<QuotaOutcome> Out;
  for (auto &[Server, Peer] : Entry.Peers_)
    if (Peer.Open_ && !Peer.Open_->Overdue_ &&
        Now - Peer.Open_->SentAt_ >= AnswerTimeout)
      markSilent(Entry, Server, Peer, Now, Out);
  if (Entry.Waiting_ > 0)
    for (auto &[Tenant, Ledger] : Entry.Ledgers_)
      endWaits(Entry, Fleet, Tenant, Ledger, Now, Out);
  if (Now >= Entry.NextExpiry_) {
    Entry.NextExpiry_ = Now + ExpiryInterval;
    expire(Entry, Now);
  }
  return Out;
}

} // namespace sycamore
