// Guards against a division of a JSON array that separates inside an element.
#include "sycamore/Json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace sycamore;

namespace {

rc::Gen<Json> elements() {
  return rc::gen::apply(
      [](const std::string &Key, const std::vector<std::string> &Texts,
         int Number) {
        return Json{Number, Json{{Key, Texts}}, Texts, Key, nullptr};
      },
      rc::gen::string<std::string>(),
      rc::gen::container<std::vector<std::string>>(
          rc::gen::string<std::string>()),
      rc::gen::arbitrary<int>());
}

} // namespace

RC_GTEST_PROP(JsonElements, AreThoseOfTheParsedArray, ()) {
  // The generated text need not be valid UTF-8, which a dump replaces.
  constexpr auto Replace = Json::error_handler_t::replace;
  std::string Text = (*elements())
                         .dump(*rc::gen::element(-1, 2), ' ',
                               *rc::gen::arbitrary<bool>(), Replace);
  Json Expected = Json::parse(Text);
  auto Parts = arrayElements(Text);
  RC_ASSERT(Parts.has_value());
  RC_ASSERT(Parts->size() == Expected.size());
  for (std::size_t I = 0; I < Parts->size(); ++I)
    RC_ASSERT(Json::parse((*Parts)[I]) == Expected[I]);
}

TEST(JsonElements, AreNoneInAnEmptyArray) {
  EXPECT_TRUE(arrayElements(" [ ] ")->empty());
  EXPECT_EQ(arrayElements("[1,]")->size(), 2U);
  EXPECT_FALSE(arrayElements("[1").has_value());
}
