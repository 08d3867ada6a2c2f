// Stand-in for a target: handling of requests.
#include "StandinTarget.h"

#include "HttpSupport.h"
#include "TargetAnswers.h"
#include "sycamore/Clock.h"

#include <charconv>
#include <cmath>
#include <event2/event.h>
#include <unistd.h>

namespace sycamore::standin {
namespace {

constexpr std::string_view NestedLevelsHeader = "x-nested-levels";
constexpr std::string_view DeadlineHeader = "sycamore-deadline-ms";

/// Time limit of requests without a deadline header.
constexpr Duration DefaultDeadline = std::chrono::minutes(10);

/// Delay before the connection of a cut response is closed, so that its first
/// half reaches the caller.
constexpr Duration CutDelay = milliseconds(20);

constexpr int CrashExitStatus = 70;

std::optional<std::int64_t> headerNumber(const HttpRequest &Request,
                                         std::string_view Name) {
  const std::string *Text = findHeader(Request.Headers_, Name);
  if (!Text)
    return std::nullopt;
  std::int64_t Out = 0;
  std::from_chars(Text->data(), Text->data() + Text->size(), Out);
  return Out;
}

bool containsMarker(const HttpRequest &Request, const std::string &Marker) {
  return !Marker.empty() && (Request.Path_.find(Marker) != std::string::npos ||
                             Request.Body_.find(Marker) != std::string::npos);
}

/// Headers of a request that its nested calls carry as well.
HttpHeaders forwardedHeaders(const HttpRequest &Request) {
  constexpr std::string_view Prefix = "sycamore-";
  HttpHeaders Out;
  for (const HttpMessageHeader &Item : Request.Headers_) {
    std::string_view Start =
        std::string_view(Item.Name_)
            .substr(0, std::min(Prefix.size(), Item.Name_.size()));
    if (equalHeaderNames(Item.Name_, DeadlineHeader))
      continue;
    if (equalHeaderNames(Start, Prefix) ||
        equalHeaderNames(Item.Name_, "traceparent"))
      Out.push_back(Item);
  }
  return Out;
}

} // namespace

void StandinTarget::handle(const HttpExchangePointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  std::string_view Path = pathOnly(Request.Path_);
  bool IsReportRequest = Request.Method_ == "GET" && !Faults_.Silent_;
  if (Request.Method_ == "POST" && Path == "/faults")
    handleFaults(Exchange);
  else if (IsReportRequest && Path == "/health")
    answerHealth(Exchange);
  else if (IsReportRequest && Path == "/load")
    answerLoad(Exchange);
  else
    handleWork(Exchange);
}

void StandinTarget::handleWork(const HttpExchangePointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  if (Faults_.Silent_) {
    Ledger_.write("silent", ++LastSequence_, Request);
    SilentExchanges_.push_back(Exchange);
    return;
  }
  auto DeadlineMs = headerNumber(Request, DeadlineHeader);
  std::string_view Refusal;
  if (draining())
    Refusal = "draining";
  else if (Jobs_.size() >= Config_.Slots_)
    Refusal = "all slots are in use";
  else if (DeadlineMs && *DeadlineMs <= 0)
    Refusal = "the deadline has passed";
  if (!Refusal.empty()) {
    Ledger_.write("refused", ++LastSequence_, Request);
    refuse(Exchange, Config_.Name_, Refusal);
    return;
  }
  startJob(Exchange);
}

void StandinTarget::startJob(const HttpExchangePointer &Exchange) {
  const HttpRequest &Request = Exchange->request();
  std::uint64_t Sequence = ++LastSequence_;
  Ledger_.write("started", Sequence, Request);
  if (containsMarker(Request, Faults_.CrashMarker_)) {
    if (!Config_.Crash_)
      _exit(CrashExitStatus);
    Config_.Crash_();
    return;
  }
  TimePoint Now = monotonicNow();
  auto DeadlineMs = headerNumber(Request, DeadlineHeader);
  Job &Item = Jobs_[Sequence];
  Item.Owner_ = this;
  Item.Sequence_ = Sequence;
  Item.Exchange_ = Exchange;
  Item.Timer_ = evtimer_new(Base_, onJobTimer, &Item);
  Item.FinishAt_ = std::max(Now, ColdStartEnd_) + workTime(Request);
  Item.DeadlineAt_ = Now + (DeadlineMs ? Duration(milliseconds(*DeadlineMs))
                                       : DefaultDeadline);
  Exchange->onClosed([this, Sequence] {
    if (auto Found = Jobs_.find(Sequence); Found != Jobs_.end())
      removeJob(Found->second, "cancelled");
  });
  recordLoad();
  armTimer(Item);
}

Duration StandinTarget::workTime(const HttpRequest &Request) {
  double WorkUs = static_cast<double>(Config_.WorkTime_.count());
  if (auto RequestedMs = queryValue(Request.Path_, "ms"))
    WorkUs = std::strtod(RequestedMs->c_str(), nullptr) * 1000;
  WorkUs *= Config_.SlowFactor_ * Faults_.SlowFactor_;
  if (randomUnit(Rng_) < Config_.StragglerRatio_)
    WorkUs *= Config_.StragglerFactor_;
  return Duration(std::llround(WorkUs));
}

void StandinTarget::armTimer(Job &Item) const {
  timeval Wait =
      toTimeval(std::min(Item.FinishAt_, Item.DeadlineAt_) - monotonicNow());
  evtimer_add(Item.Timer_, &Wait);
}

void StandinTarget::onJobTimer(int /*Socket*/, short /*Events*/, void *Self) {
  Job &Item = *static_cast<Job *>(Self);
  StandinTarget &Owner = *Item.Owner_;
  TimePoint Now = monotonicNow();
  if (Now >= Item.FinishAt_) {
    Owner.onWorkDone(Item);
    return;
  }
  if (Now < Item.DeadlineAt_) {
    Owner.armTimer(Item);
    return;
  }
  Owner.removeJob(Item, "expired")
      ->reply(504,
              {{"x-target", Owner.Config_.Name_}, {"sycamore-run", "unknown"}},
              "the deadline passed during the work");
}

void StandinTarget::onWorkDone(Job &Item) {
  if (!startNestedCall(Item))
    finish(Item);
}

bool StandinTarget::startNestedCall(Job &Item) {
  const HttpRequest &Request = Item.Exchange_->request();
  auto RequestedLevels = headerNumber(Request, NestedLevelsHeader);
  std::int64_t Levels = RequestedLevels.value_or(
      static_cast<std::int64_t>(Config_.NestedLevels_));
  if (Config_.NestedPath_.empty() || Levels <= 0)
    return false;
  Duration Remaining = Item.DeadlineAt_ - monotonicNow();
  HttpClientRequest NestedRequest;
  NestedRequest.Method_ = Request.Method_;
  NestedRequest.Path_ = Config_.NestedPath_;
  NestedRequest.Headers_ = forwardedHeaders(Request);
  NestedRequest.Headers_.push_back(
      {std::string(NestedLevelsHeader), std::to_string(Levels - 1)});
  if (findHeader(Request.Headers_, DeadlineHeader))
    NestedRequest.Headers_.push_back(
        {std::string(DeadlineHeader),
         std::to_string(toMilliseconds(Remaining))});
  NestedRequest.Deadline_ = Remaining;
  Item.Nested_ = Client_->send(
      Config_.NestedVia_, std::move(NestedRequest),
      [this, Sequence = Item.Sequence_](const HttpResponse &Response) {
        onNestedResponse(Sequence, Response);
      });
  return true;
}

void StandinTarget::onNestedResponse(std::uint64_t Sequence,
                                     const HttpResponse &Response) {
  auto Found = Jobs_.find(Sequence);
  if (Found == Jobs_.end())
    return;
  if (Response.Outcome_ == HttpOutcome::Answered && Response.Status_ < 400) {
    finish(Found->second);
    return;
  }
  Json Body{{"error", "the nested call failed"},
            {"outcome", httpOutcomeName(Response.Outcome_)},
            {"status", Response.Status_}};
  removeJob(Found->second, "failed")
      ->reply(
          502,
          {{"x-target", Config_.Name_}, {"Content-Type", "application/json"}},
          Body.dump());
}

void StandinTarget::finish(Job &Item) {
  HttpExchangePointer Exchange = removeJob(Item, "finished");
  if (Faults_.CutResponses_ > 0) {
    if (Faults_.CutResponses_ != UINT64_MAX)
      --Faults_.CutResponses_;
    sendCutResponse(Exchange);
    return;
  }
  sendResponse(Exchange, responseTo(Exchange->request(), Config_.Name_));
}

HttpExchangePointer StandinTarget::removeJob(Job &Item,
                                             std::string_view Event) {
  HttpExchangePointer Exchange = std::move(Item.Exchange_);
  Ledger_.write(Event, Item.Sequence_, Exchange->request());
  event_free(Item.Timer_);
  if (Item.Nested_)
    Item.Nested_->cancel();
  Jobs_.erase(Item.Sequence_);
  recordLoad();
  return Exchange;
}

void StandinTarget::sendCutResponse(const HttpExchangePointer &Exchange) {
  sendFirstHalf(Exchange, responseTo(Exchange->request(), Config_.Name_));
  timeval Wait = toTimeval(CutDelay);
  event_base_once(
      Base_, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void *Argument) {
        std::unique_ptr<HttpExchangePointer> Held(
            static_cast<HttpExchangePointer *>(Argument));
        (*Held)->abort();
      },
      new HttpExchangePointer(Exchange), &Wait);
}

} // namespace sycamore::standin
