// Property tests. Guards against parsers that crash on malformed input, accept
// it or read it in part, and against encodings that lose data.
// RC_PARAMS="seed=N" repeats a run; the seed is printed on failure.
#include "sycamore/Head.h"
#include "sycamore/Settings.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

std::string randomName() {
  return *rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab-_.9"))));
}

std::string randomText() {
  return *rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("ab \"\\\n\t{}")));
}

Ticket randomTicket() {
  Ticket Out;
  Out.Number_ = *rc::gen::inRange<std::uint64_t>(1, 1000);
  Out.Author_ = randomName();
  Out.Title_ = randomText();
  std::vector<std::string> Names = {"s1", "s2"};
  for (const std::string &Name : Names) {
    Service Entity;
    Entity.Timeout_ = milliseconds(*rc::gen::inRange(1, 600'001));
    Entity.QueueLimit_ = *rc::gen::inRange<std::uint32_t>(0, 100'001);
    Entity.Hedging_ = *rc::gen::arbitrary<bool>();
    Out.Services_[Name] = Entity;
    TargetSpec Spec{Name, *rc::gen::arbitrary<bool>() ? randomName() : "",
                    *rc::gen::inRange<std::uint32_t>(1, 10'001)};
    Out.Targets_[Name + "-1"] = Spec;
    Route Entry;
    Entry.Host_ = randomText();
    Entry.PathPrefix_ = "/" + Name + randomText();
    Entry.Service_ = Name;
    if (*rc::gen::arbitrary<bool>())
      Entry.Methods_ = {"GET", "POST"};
    if (*rc::gen::arbitrary<bool>())
      Entry.Targets_ = {Name + "-1"};
    if (*rc::gen::arbitrary<bool>())
      Entry.Idempotent_ = *rc::gen::arbitrary<bool>();
    Entry.Timeout_ = milliseconds(*rc::gen::inRange(0, 600'001));
    Out.Routes_["r-" + Name] = Entry;
  }
  return Out;
}

AcceptancePlan randomAcceptance() {
  TicketRecord Record;
  Record.Ticket_ = randomTicket();
  Record.Filer_ = randomName();
  AcceptanceRequest Request;
  Request.Approver_ = randomName();
  Request.AcceptanceId_ = randomName();
  Request.NowUnixUs_ = *rc::gen::inRange<std::int64_t>(0, INT64_MAX);
  return planAcceptance(Head{}, Snapshot{}, Record, Request).value();
}

/// A valid document of one kind and its parser, which returns the error, if
/// any.
struct DocumentKind {
  std::string Name_;
  std::string Valid_;
  std::function<std::optional<Error>(std::string_view)> Parse_;
};

template <typename T> std::optional<Error> errorOf(const Result<T> &Value) {
  return Value ? std::nullopt : std::optional<Error>(Value.error());
}

template <typename T>
auto parseAsJson(Result<T> (*Parse)(const Json &, std::string_view)) {
  return [Parse](std::string_view Text) {
    return errorOf(parseJson(Text, "x").and_then(
        [&](const Json &Value) { return Parse(Value, "x"); }));
  };
}

std::vector<DocumentKind> documentKinds() {
  AcceptancePlan Plan = randomAcceptance();
  Snapshot Current = applyTicket(Snapshot{}, Plan.Accepted_).value();
  std::string HexKey(64, 'a');
  Json Store = {{"endpoints", {"127.0.0.1:1"}}, {"timeout_ms", 100}};
  Json Operators = {
      {{"name", "ana"}, {"public_key", HexKey}, {"may", {"file"}}},
      {{"name", "bo"}, {"public_key", HexKey}}};
  Json Daemon = {{"server", "d"},
                 {"data_centre", "x"},
                 {"caller_listen", "127.0.0.1:0"},
                 {"admin_listen", "127.0.0.1:0"},
                 {"peer_listen", "[::1]:0"},
                 {"store", Store},
                 {"operators", Operators},
                 {"trace", {{"sample_ratio", 0.5}}}};
  Json Operator = {{"operator", "ana"},
                   {"store", Store},
                   {"signing_key_file", "k"},
                   {"operators", Operators}};
  return {{"ticket", toJson(Plan.Accepted_.Ticket_).dump(),
           [](std::string_view Text) {
             return errorOf(parseTicketText(Text, "x"));
           }},
          {"head", Plan.Puts_[0].Value_,
           [](std::string_view Text) { return errorOf(parseHead(Text)); }},
          {"record", Plan.Puts_[1].Value_,
           [](std::string_view Text) {
             return errorOf(parseTicketRecord(Text, "x"));
           }},
          {"snapshot", toJson(Current).dump(), parseAsJson(parseSnapshot)},
          {"settings", Daemon.dump(), parseAsJson(parseSettings)},
          {"operator settings", Operator.dump(),
           parseAsJson(parseOperatorSettings)}};
}

/// Checks that the error can be shown to an operator.
void checkError(const std::optional<Error> &Failure) {
  if (!Failure)
    return;
  RC_ASSERT(Failure->Kind_ != ErrorKind::Internal);
  RC_ASSERT(!Failure->Message_.empty());
  RC_ASSERT(!Failure->Remedy_.empty());
  RC_ASSERT(Failure->Message_.size() < 100'000U);
  Json(describe(*Failure)).dump(); // Throws for text that is not UTF-8.
}

std::string mutate(std::string Text) {
  int Count = *rc::gen::inRange(1, 4);
  for (int I = 0; I < Count && !Text.empty(); ++I) {
    auto At = *rc::gen::inRange<std::size_t>(0, Text.size());
    auto Byte = static_cast<char>(*rc::gen::inRange(0, 256));
    switch (*rc::gen::inRange(0, 6)) {
    case 0:
      Text[At] = Byte;
      break;
    case 1:
      Text.insert(At, 1, Byte);
      break;
    case 2:
      Text.erase(At, *rc::gen::inRange<std::size_t>(1, 9));
      break;
    case 3:
      Text.resize(At);
      break;
    case 4: // Repeats a part, which can duplicate keys and nest values.
      Text.insert(At, Text.substr(At, *rc::gen::inRange<std::size_t>(1, 60)));
      break;
    default: {
      static const std::vector<std::string> Tokens = {
          "null", "true",       "-1",   "1e999", "18446744073709551616",
          "[]",   "{}",         "\"\"", "0.5",   "\"\\ud800\"",
          "[[[[", "\"\\u0000\""};
      std::size_t End = Text.find_first_of(",}]", At);
      Text.replace(At, std::min(End, Text.size()) - At,
                   *rc::gen::elementOf(Tokens));
    }
    }
  }
  return Text;
}

} // namespace

RC_GTEST_PROP(ParserProperty, ArbitraryBytesGiveATypedError, ()) {
  auto Bytes = *rc::gen::arbitrary<std::string>();
  for (const DocumentKind &Entry : documentKinds()) {
    auto Failure = Entry.Parse_(Bytes);
    // The empty text is a valid head: that of a store without one.
    RC_ASSERT(Failure.has_value() || (Entry.Name_ == "head" && Bytes.empty()));
    checkError(Failure);
  }
}

RC_GTEST_PROP(ParserProperty, MutatedDocumentsNeverCrash, ()) {
  for (const DocumentKind &Entry : documentKinds()) {
    RC_ASSERT(!Entry.Parse_(Entry.Valid_).has_value());
    checkError(Entry.Parse_(mutate(Entry.Valid_)));
  }
}

RC_GTEST_PROP(ParserProperty, EveryTruncationIsRefused, ()) {
  for (const DocumentKind &Entry : documentKinds()) {
    auto Length = *rc::gen::inRange<std::size_t>(1, Entry.Valid_.size());
    auto Failure =
        Entry.Parse_(std::string_view(Entry.Valid_).substr(0, Length));
    RC_ASSERT(Failure.has_value());
    checkError(Failure);
  }
}

RC_GTEST_PROP(ParserProperty, WrongTypesAreProblemsOfThatField, ()) {
  for (const DocumentKind &Entry : documentKinds()) {
    Json Document = Json::parse(Entry.Valid_);
    auto Field = *rc::gen::elementOf([&] {
      std::vector<std::string> Names;
      for (const auto &[Name, Value] : Document.items())
        Names.push_back(Name);
      return Names;
    }());
    Document[Field] = Json::array({Json::object()});
    auto Failure = Entry.Parse_(Document.dump());
    RC_ASSERT(Failure.has_value());
    RC_ASSERT(Failure->Message_.find(Field) != std::string::npos);
  }
}

RC_GTEST_PROP(ParserProperty, DuplicateKeysAreRefusedAnywhere, ()) {
  for (const DocumentKind &Entry : documentKinds()) {
    std::vector<std::size_t> ObjectStarts;
    for (std::size_t At = 0; At < Entry.Valid_.size(); ++At)
      if (Entry.Valid_.compare(At, 2, "{\"") == 0)
        ObjectStarts.push_back(At);
    std::size_t At = *rc::gen::elementOf(ObjectStarts);
    // An opening brace may also be inside a string. The insertion then rarely
    // leaves valid JSON, and the parser must refuse the text in any case.
    std::size_t End = Entry.Valid_.find('"', At + 2);
    std::string Key = Entry.Valid_.substr(At + 1, End - At);
    std::string Text = Entry.Valid_;
    Text.insert(At + 1, Key + ":null,");
    RC_ASSERT(Entry.Parse_(Text).has_value());
  }
}

RC_GTEST_PROP(ParserProperty, TicketsSurviveEncoding, ()) {
  Ticket Value = randomTicket();
  auto Decoded = parseTicketText(toJson(Value).dump(), "x");
  RC_ASSERT(Decoded.has_value());
  RC_ASSERT(*Decoded == Value);
}

RC_GTEST_PROP(ParserProperty, HeadsRecordsAndSnapshotsSurviveEncoding, ()) {
  AcceptancePlan Plan = randomAcceptance();
  RC_ASSERT(parseHead(Plan.Puts_[0].Value_).value() == Plan.Head_);
  auto Record = parseTicketRecord(Plan.Puts_[1].Value_, "x").value();
  RC_ASSERT(parseTicketRecord(toJson(Record).dump(), "x").value() == Record);
  Snapshot Current = applyTicket(Snapshot{}, Plan.Accepted_).value();
  auto Decoded =
      parseSnapshot(Json::parse(toJson(Current).dump()), "x").value();
  RC_ASSERT(Decoded.State_ == Current.State_);
  RC_ASSERT(Decoded.LastAcceptance_ == Current.LastAcceptance_);
  RC_ASSERT(Decoded.RoutesByKey_ == Current.RoutesByKey_);
}

RC_GTEST_PROP(ParserProperty, ChangedAcceptancesDoNotApply, ()) {
  AcceptancePlan Plan = randomAcceptance();
  Json Document = toJson(Plan.Accepted_);
  auto Field = *rc::gen::elementOf(
      std::vector<std::string>{"filer", "approver", "acceptance_id",
                               "previous_digest", "state_digest", "digest"});
  Document[Field] = Document[Field].get<std::string>() + "x";
  auto Changed = parseAcceptedTicket(Document, "x");
  RC_ASSERT(Changed.has_value());
  RC_ASSERT(!applyTicket(Snapshot{}, *Changed).has_value());
}

TEST(Json, RefusesHugeDeepAndNonUtf8Input) {
  EXPECT_EQ(
      parseTicketText(std::string(MaxTicketBytes + 1, ' '), "x").error().Kind_,
      ErrorKind::TooLarge);
  EXPECT_FALSE(parseJson(std::string(1U << 20U, '['), "x").has_value());
  std::string Deep = std::string(33, '[') + std::string(33, ']');
  EXPECT_FALSE(parseJson(Deep, "x").has_value());
  EXPECT_TRUE(parseJson(std::string(32, '[') + std::string(32, ']'), "x"));
  for (const char *Text : {"\"\xff\"", "\"\xc0\x80\"", "\"\xed\xa0\x80\"",
                           "\"\\ud800\"", "1 2", "", " ", "\xef\xbb\xbf",
                           "{\"a\":1,\"\\u0061\":2}", "01", "NaN", "1e999"})
    EXPECT_FALSE(parseJson(Text, "x").has_value()) << Text;
}

TEST(Json, MessagesAboutHugeNamesStayShort) {
  std::string Name(300'000, 'n');
  Json Document = Json::object();
  Document[Name] = 1;
  for (int I = 0; I < 5000; ++I)
    Document["x" + std::to_string(I)] = 1;
  auto Parsed = parseSettings(Document, "x");
  ASSERT_FALSE(Parsed.has_value());
  EXPECT_LT(Parsed.error().Message_.size(), 60'000U);
  EXPECT_NE(Parsed.error().Message_.find("more problems"), std::string::npos);
  auto Broken = parseJson("\"" + Name, "x");
  ASSERT_FALSE(Broken.has_value());
  EXPECT_LT(Broken.error().Message_.size(), 500U);
}
