// Guards against a docs/settings.md that lacks a field, or whose defaults and
// ranges differ from those of the parsers.
#include "sycamore/Settings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

using namespace sycamore;

namespace {

/// A row of a table in docs/settings.md.
struct Row {
  std::string Field_;
  std::string Type_;
  std::string Default_;
  std::string Range_;
  std::string Meaning_;
  std::string Example_;
};

std::string readPage() {
  std::ifstream File(SYCAMORE_SOURCE_DIR "/docs/settings.md");
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// The part of docs/settings.md under a heading of level 2.
std::string sectionOf(const std::string &Heading) {
  std::string Page = readPage();
  std::size_t Start = Page.find("## " + Heading + "\n");
  EXPECT_NE(Start, std::string::npos);
  return Page.substr(Start, Page.find("\n## ", Start + 1) - Start);
}

std::string trim(const std::string &Text) {
  std::size_t Start = Text.find_first_not_of(" `");
  std::size_t End = Text.find_last_not_of(" `");
  return Start == std::string::npos ? "" : Text.substr(Start, End - Start + 1);
}

std::vector<Row> rowsOf(const std::string &Heading) {
  std::stringstream Lines(sectionOf(Heading));
  std::vector<Row> Out;
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("| `"))
      continue;
    std::stringstream Cells(Line.substr(1));
    std::vector<std::string> Parts;
    for (std::string Cell; std::getline(Cells, Cell, '|');)
      Parts.push_back(trim(Cell));
    EXPECT_EQ(Parts.size(), 6U) << Line;
    if (Parts.size() == 6)
      Out.push_back(
          {Parts[0], Parts[1], Parts[2], Parts[3], Parts[4], Parts[5]});
  }
  return Out;
}

std::vector<Json> examplesOf(const std::string &Heading) {
  std::string Text = sectionOf(Heading);
  std::vector<Json> Out;
  constexpr std::string_view FenceStart = "```json\n";
  for (std::size_t Position = Text.find(FenceStart);
       Position != std::string::npos;
       Position = Text.find(FenceStart, Position + 1)) {
    std::size_t Start = Position + FenceStart.size();
    auto Document =
        parseJson(Text.substr(Start, Text.find("```", Start) - Start), "page");
    EXPECT_TRUE(Document.has_value());
    Out.push_back(Document.value_or(Json()));
  }
  return Out;
}

/// Converts a field path to a JSON pointer; "[]" becomes the first item of the
/// array.
Json::json_pointer pointerOf(const std::string &Path) {
  std::string Pointer = "/" + Path;
  for (std::size_t Position = 0;
       (Position = Pointer.find('.', Position)) != std::string::npos;)
    Pointer[Position] = '/';
  for (std::size_t Position = 0;
       (Position = Pointer.find("[]", Position)) != std::string::npos;)
    Pointer.replace(Position, 2, "/0");
  return Json::json_pointer(Pointer);
}

Json withField(Json Document, const std::string &Path, const Json &Value) {
  Document[pointerOf(Path)] = Value;
  return Document;
}

void expectRowsMatch(const std::string &Heading,
                     const std::vector<std::string> &Fields) {
  std::vector<std::string> Listed;
  for (const Row &Entry : rowsOf(Heading)) {
    Listed.push_back(Entry.Field_);
    EXPECT_FALSE(Entry.Type_.empty() || Entry.Default_.empty() ||
                 Entry.Meaning_.empty() || Entry.Example_.empty())
        << Entry.Field_ << " lacks type, default, meaning or example";
  }
  for (const std::string &Field : Fields)
    EXPECT_EQ(std::count(Listed.begin(), Listed.end(), Field), 1)
        << Field << " is not in docs/settings.md";
  for (const std::string &Field : Listed)
    EXPECT_EQ(std::count(Fields.begin(), Fields.end(), Field), 1)
        << Field << " is in docs/settings.md but the parser does not know it";
}

template <typename T>
void expectRanges(const std::string &Heading, const Json &Example,
                  Result<T> (*Parse)(const Json &, std::string_view)) {
  for (const Row &Entry : rowsOf(Heading)) {
    if (Entry.Type_ != "integer" && Entry.Type_ != "number")
      continue;
    SCOPED_TRACE(Entry.Field_);
    std::size_t Separator = Entry.Range_.find(" to ");
    ASSERT_NE(Separator, std::string::npos);
    std::int64_t Min = std::stoll(Entry.Range_.substr(0, Separator));
    std::int64_t Max = std::stoll(Entry.Range_.substr(Separator + 4));
    auto Accepts = [&](const Json &Value) {
      auto Parsed = Parse(withField(Example, Entry.Field_, Value), "page");
      // Ignores violated rules between fields: only messages about a range
      // contain " from ".
      return Parsed ||
             Parsed.error().Message_.find(" from ") == std::string::npos;
    };
    EXPECT_TRUE(Accepts(Min));
    EXPECT_TRUE(Accepts(Max));
    EXPECT_FALSE(Accepts(Min - 1));
    EXPECT_FALSE(Accepts(Max + 1));
    EXPECT_FALSE(Accepts("1"));
    auto Default = Parse(
        withField(Example, Entry.Field_, Json::parse(Entry.Default_)), "page");
    ASSERT_TRUE(Default.has_value()) << describe(Default.error());
    EXPECT_EQ(*Default, *Parse(Example, "page"))
        << "the default in the page is not the parser's";
  }
}

} // namespace

TEST(SettingsPage, ListsEveryFieldOfTheDaemon) {
  expectRowsMatch("Daemon", settingsFields());
}

TEST(SettingsPage, ListsEveryFieldOfOperators) {
  expectRowsMatch("Operator", operatorSettingsFields());
}

TEST(SettingsPage, DaemonRangesAndDefaultsAreTheParsers) {
  expectRanges("Daemon", examplesOf("Daemon").at(0), parseSettings);
}

TEST(SettingsPage, OperatorRangesAndDefaultsAreTheParsers) {
  Json Minimal = examplesOf("Operator").at(0);
  expectRanges("Operator", Minimal, parseOperatorSettings);
}

TEST(SettingsPage, FullExampleHasEveryField) {
  Json Example = examplesOf("Daemon").at(1);
  auto Parsed = parseSettings(Example, "page");
  ASSERT_TRUE(Parsed.has_value()) << describe(Parsed.error());
  auto Operator = parseOperatorSettings(examplesOf("Operator").at(0), "page");
  ASSERT_TRUE(Operator.has_value()) << describe(Operator.error());
  for (const std::string &Field : settingsFields())
    EXPECT_TRUE(Example.contains(pointerOf(Field)))
        << Field << " is not in the example";
}
