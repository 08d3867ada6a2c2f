#include "History.h"

#include "sycamore/Json.h"

#include <algorithm>
#include <map>
#include <set>

namespace sycamore::history {
namespace {

constexpr std::string_view KindNames[] = {"sent", "answered", "ran", "ticket",
                                          "accepted"};

template <typename T> struct Field {
  const char *Name_;
  T Event::*Value_;
};

constexpr Field<std::string> TextFields[] = {
    {"call", &Event::Call_},       {"key", &Event::Key_},
    {"request", &Event::Request_}, {"run", &Event::Run_},
    {"body", &Event::Body_},       {"target", &Event::Target_},
    {"proxy", &Event::Proxy_}};
constexpr Field<bool> BoolFields[] = {{"idempotent", &Event::Idempotent_},
                                      {"settled", &Event::NoEarlierRun_}};

/// Events of one history, indexed for the rules.
struct Index {
  std::map<std::string, const Event *> SentByCall_;
  std::map<std::string, std::vector<const Event *>> RunsByCall_;
  std::map<std::string, std::vector<const Event *>> RunsByKey_;
  std::map<std::string, std::vector<const Event *>> AnswersByCall_;
  std::map<std::uint64_t, std::int64_t> AcceptedAt_;
  std::vector<const Event *> TicketsInOrder_;
};

Index makeIndex(const std::vector<Event> &Events) {
  Index Out;
  for (const Event &Entry : Events) {
    switch (Entry.Kind_) {
    case EventKind::Sent:
      Out.SentByCall_[Entry.Call_] = &Entry;
      break;
    case EventKind::Answered:
      Out.AnswersByCall_[Entry.Call_].push_back(&Entry);
      break;
    case EventKind::Ran:
      Out.RunsByCall_[Entry.Call_].push_back(&Entry);
      if (!Entry.Key_.empty())
        Out.RunsByKey_[Entry.Key_].push_back(&Entry);
      break;
    case EventKind::Ticket:
      Out.TicketsInOrder_.push_back(&Entry);
      break;
    case EventKind::Accepted:
      Out.AcceptedAt_.emplace(Entry.Ticket_, Entry.At_);
      break;
    }
  }
  std::stable_sort(Out.TicketsInOrder_.begin(), Out.TicketsInOrder_.end(),
                   [](auto *A, auto *B) { return A->At_ < B->At_; });
  return Out;
}

using Violations = std::vector<Violation>;

void checkRuns(const Index &Idx, Violations &Out) {
  for (const auto &[Key, Runs] : Idx.RunsByKey_)
    if (Runs.size() > 1)
      Out.push_back({"at-most-once-key", "key " + Key + " ran " +
                                             std::to_string(Runs.size()) +
                                             " times, on " + Runs[0]->Target_ +
                                             " and " + Runs[1]->Target_});
  for (const auto &[Call, Runs] : Idx.RunsByCall_)
    if (Runs.size() > 1 && !Runs[0]->Idempotent_)
      Out.push_back(
          {"at-most-once-call",
           "call " + Call + " ran " + std::to_string(Runs.size()) + " times"});
}

void checkNotRun(const Index &Idx, const Event &Answer, Violations &Out) {
  if (auto Runs = Idx.RunsByCall_.find(Answer.Call_);
      Runs != Idx.RunsByCall_.end())
    Out.push_back({"not-run", "call " + Answer.Call_ + " ran on " +
                                  Runs->second[0]->Target_});
  auto Sent = Idx.SentByCall_.find(Answer.Call_);
  if (!Answer.NoEarlierRun_ || Answer.Key_.empty() ||
      Sent == Idx.SentByCall_.end())
    return;
  auto Runs = Idx.RunsByKey_.find(Answer.Key_);
  if (Runs == Idx.RunsByKey_.end())
    return;
  // Runs of later transmissions are allowed: a concurrent resend may start
  // after the refusal was decided.
  for (const Event *Run : Runs->second)
    if (Run->At_ < Sent->second->At_)
      Out.push_back({"not-run-settled",
                     "key " + Answer.Key_ + " of call " + Answer.Call_ +
                         " had run before the call was sent"});
}

void checkDone(const Index &Idx, const Event &Answer, Violations &Out) {
  // The request may have run for another transmission of the same key. Status
  // 502 means that it ran but its answer was lost.
  std::vector<const Event *> Runs;
  for (const auto *Table : {&Idx.RunsByCall_, &Idx.RunsByKey_}) {
    auto Found =
        Table->find(Table == &Idx.RunsByCall_ ? Answer.Call_ : Answer.Key_);
    if (Found != Table->end())
      Runs.insert(Runs.end(), Found->second.begin(), Found->second.end());
  }
  if (Runs.empty()) {
    Out.push_back({"done-ran", "call " + Answer.Call_ + " never ran"});
    return;
  }
  if (Answer.Status_ == 502)
    return;
  bool BodyMatches =
      std::any_of(Runs.begin(), Runs.end(),
                  [&](const Event *Run) { return Run->Body_ == Answer.Body_; });
  if (!BodyMatches)
    Out.push_back({"whole-answer", "call " + Answer.Call_ + " got \"" +
                                       Answer.Body_ + "\", not \"" +
                                       Runs[0]->Body_ + "\""});
  auto Sent = Idx.SentByCall_.find(Answer.Call_);
  bool RequestMatches =
      Sent != Idx.SentByCall_.end() &&
      std::any_of(Runs.begin(), Runs.end(), [&](const Event *Run) {
        return Run->Request_ == Sent->second->Request_ &&
               Run->Body_ == Answer.Body_;
      });
  if (!RequestMatches)
    Out.push_back({"right-request", "call " + Answer.Call_ +
                                        " got the answer to another request"});
}

/// Callers that read only the status take 503 for "not-run".
void checkRefusalStatus(const Index &Idx, const Event &Answer,
                        Violations &Out) {
  constexpr std::uint32_t RefusalStatus = 503;
  auto Runs = Idx.RunsByCall_.find(Answer.Call_);
  if (Answer.Status_ == RefusalStatus && Runs != Idx.RunsByCall_.end() &&
      !Runs->second[0]->Idempotent_)
    Out.push_back({"refusal-status", "call " + Answer.Call_ +
                                         " got 503 and ran on " +
                                         Runs->second[0]->Target_});
}

void checkAnswers(const Index &Idx, Violations &Out) {
  for (const auto &[Call, Answers] : Idx.AnswersByCall_) {
    if (Answers.size() > 1)
      Out.push_back({"one-answer", "call " + Call + " was answered " +
                                       std::to_string(Answers.size()) +
                                       " times"});
    for (const Event *Answer : Answers) {
      checkRefusalStatus(Idx, *Answer, Out);
      if (Answer->Run_ == "not-run")
        checkNotRun(Idx, *Answer, Out);
      if (Answer->Run_ == "done")
        checkDone(Idx, *Answer, Out);
      auto Accepted = Idx.AcceptedAt_.find(Answer->Ticket_);
      bool TicketAccepted =
          Answer->Ticket_ == 0 || (Accepted != Idx.AcceptedAt_.end() &&
                                   Accepted->second <= Answer->At_);
      if (!TicketAccepted)
        Out.push_back({"ticket-not-accepted",
                       "call " + Call + " was answered under ticket " +
                           std::to_string(Answer->Ticket_)});
    }
  }
}

void checkTickets(const Index &Idx, Violations &Out) {
  std::map<std::string, std::uint64_t> Highest;
  for (const Event *Entry : Idx.TicketsInOrder_) {
    std::uint64_t &Previous = Highest[Entry->Proxy_];
    if (Entry->Ticket_ < Previous)
      Out.push_back({"older-ticket", "proxy " + Entry->Proxy_ +
                                         " went from ticket " +
                                         std::to_string(Previous) + " to " +
                                         std::to_string(Entry->Ticket_)});
    Previous = std::max(Previous, Entry->Ticket_);
    auto Accepted = Idx.AcceptedAt_.find(Entry->Ticket_);
    if (Entry->Ticket_ != 0 &&
        (Accepted == Idx.AcceptedAt_.end() || Accepted->second > Entry->At_))
      Out.push_back(
          {"ticket-not-accepted", "proxy " + Entry->Proxy_ + " ran ticket " +
                                      std::to_string(Entry->Ticket_)});
  }
}

} // namespace

std::string toJsonLine(const Event &Entry) {
  Json Out{{"event", KindNames[static_cast<int>(Entry.Kind_)]},
           {"at", Entry.At_},
           {"until", Entry.Until_},
           {"status", Entry.Status_},
           {"ticket", Entry.Ticket_}};
  for (const auto &[Name, Value] : TextFields)
    Out[Name] = Entry.*Value;
  for (const auto &[Name, Value] : BoolFields)
    Out[Name] = Entry.*Value;
  return Out.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<Event> parseJsonLine(std::string_view Line) {
  auto Document = parseJson(Line, "history");
  if (!Document)
    return tl::unexpected(Document.error());
  try {
    Event Out;
    auto Name = Document->at("event").get<std::string>();
    auto Kind = std::find(std::begin(KindNames), std::end(KindNames), Name);
    if (Kind == std::end(KindNames))
      return fail(ErrorKind::InvalidData, "unknown event \"" + Name + "\"",
                  "use sent, answered, ran, ticket or accepted");
    Out.Kind_ = static_cast<EventKind>(Kind - std::begin(KindNames));
    Out.At_ = Document->at("at");
    Out.Until_ = Document->value("until", std::int64_t{0});
    Out.Status_ = Document->value("status", 0U);
    Out.Ticket_ = Document->value("ticket", std::uint64_t{0});
    for (const auto &[Name, Value] : TextFields)
      Out.*Value = Document->value(Name, "");
    for (const auto &[Name, Value] : BoolFields)
      Out.*Value = Document->value(Name, false);
    return Out;
  } catch (const Json::exception &Failure) {
    return fail(ErrorKind::InvalidData, Failure.what(),
                "write events with toJsonLine()");
  }
}

std::string toJsonLines(const std::vector<Event> &Events) {
  std::string Out;
  for (const Event &Entry : Events)
    Out += toJsonLine(Entry) + "\n";
  return Out;
}

Result<std::vector<Event>> parseJsonLines(std::string_view Text) {
  std::vector<Event> Out;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('\n'), Text.size());
    std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(std::min(End + 1, Text.size()));
    if (Line.empty())
      continue;
    auto Entry = parseJsonLine(Line);
    if (!Entry)
      return tl::unexpected(Entry.error());
    Out.push_back(std::move(*Entry));
  }
  return Out;
}

std::vector<Violation> check(const std::vector<Event> &Events) {
  Violations Out;
  Index Idx = makeIndex(Events);
  checkRuns(Idx, Out);
  checkAnswers(Idx, Out);
  checkTickets(Idx, Out);
  return Out;
}

std::string describe(const std::vector<Violation> &Violations) {
  std::string Out;
  for (const Violation &Each : Violations)
    Out += Each.Rule_ + ": " + Each.Description_ + "\n";
  return Out;
}

} // namespace sycamore::history
