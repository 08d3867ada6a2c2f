// Guards against one odd entry among the seeds that hides the others or keeps a
// starting daemon from its peers.
#include "Seeds.h"
#include "ControlPlane.h"
#include "FakeStore.h"
#include "sycamore/Clock.h"
#include "sycamore/Log.h"

#include <gtest/gtest.h>

using namespace sycamore;

namespace {

std::string seed(const std::string &Name, const std::string &Address) {
  return Json{{"name", Name}, {"data_centre", "z"}, {"peer_address", Address}}
      .dump();
}

/// Servers that a daemon knows after it has read these seeds.
std::vector<std::string> knownAfterReading(const std::string &Seeds) {
  configureLog(LogLevel::Error, "", "test");
  FakeStore Store;
  Store.overwrite(seedsKey("z"), Seeds);
  Settings Config;
  Config.Server_ = "s-1";
  Config.DataCentre_ = "z";
  Config.Timing_.StartJitter_ = milliseconds(0);
  Random Rng{1};
  LoopWork Work;
  Now Time = readClocks();
  ControlPlane Control(
      Config, "127.0.0.1:1", "", 1, Store, nullptr, Rng, Work,
      [](Outbox &Out) { Out.clear(); }, Time);
  for (int Tick = 0; Tick < 10; ++Tick) {
    Time.Monotonic_ += milliseconds(20);
    Time.Wall_ += milliseconds(20);
    Control.tick(Time);
  }
  return aliveServers(Control.members());
}

const std::vector<std::string> OddEntries = {
    std::string(100'000, '[') + std::string(100'000, ']'),
    "{\"name\":" + std::string(1000, '[') + std::string(1000, ']') + "}",
    "{\"name\":\"s-9\",\"data_centre\":\"z\",\"peer_address\":1e999}",
    "{\"name\":1e400}",
    "18446744073709551616",
    seed("s-9", "127.0.0.1:0"),
    seed("s-9", "127.0.0.1:65536"),
    seed("s-9", "127.0.0.1:99999"),
    seed("s-9", "127.0.0.1:-1"),
    seed("not a name", "127.0.0.1:9"),
    "null",
    "\"]\\\",[\"",
};

} // namespace

TEST(Seeds, AnOddEntryDoesNotHideTheOthers) {
  for (const std::string &Odd : OddEntries) {
    std::string Seeds = "[" + seed("s-2", "127.0.0.1:2") + "," + Odd + ", " +
                        seed("s-3", "127.0.0.1:3") + "]";
    EXPECT_EQ(knownAfterReading(Seeds),
              (std::vector<std::string>{"s-1", "s-2", "s-3"}))
        << Odd.substr(0, 80);
  }
}

TEST(Seeds, HoldTheRateOfALink) {
  wire::ServerRecord Seed;
  Seed.set_name("s-2");
  Seed.set_data_centre("z");
  Seed.set_peer_address("127.0.0.1:2");
  Seed.set_link_mbps(140);
  std::vector<std::string> Problems;
  auto Read = parseSeeds({"/seeds/z", encodeSeeds({{Seed}})}, Problems);
  ASSERT_EQ(Read.size(), 1U);
  EXPECT_EQ(Read.front().link_mbps(), 140U);
  EXPECT_TRUE(Problems.empty());
}

TEST(Seeds, ADocumentThatIsNoArrayIsNoSeed) {
  for (const char *Text : {"", "[", "]", "{}", "[}", "[[]", "[\"", "[]]"})
    EXPECT_EQ(knownAfterReading(Text), std::vector<std::string>{"s-1"}) << Text;
}
