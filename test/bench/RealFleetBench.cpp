// Measures real daemons on loopback: time from the acceptance of a ticket until
// every daemon has applied it, control bytes, processor time and memory by
// fleet size, and the time that two daemons add to a call. Prints Markdown
// tables; checks no bounds.
#include "Cluster.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <gtest/gtest.h>

using namespace sycamore;
using namespace sycamore::test;

namespace {

bool isQuick() { return std::getenv("SYCAMORE_BENCH_QUICK") != nullptr; }

double quantile(std::vector<double> Values, double Quantile) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto Index = static_cast<std::size_t>(
      Quantile * static_cast<double>(Values.size() - 1) + 0.5);
  return Values[Index];
}

double sumOf(Cluster &Running, const std::string &Metric) {
  double Out = 0;
  for (const auto &Entry : Running.Servers_)
    Out += Running.metric(*Entry, Metric);
  return Out;
}

/// For each server that has applied the ticket: the time at which it did so, by
/// its own clock, less the time of acceptance, in milliseconds.
std::vector<double> spreadTimes(Cluster &Running, std::uint64_t Number,
                                double AcceptedMs) {
  std::vector<double> Out;
  for (const auto &Entry : Running.Servers_) {
    Json Status = Running.admin(*Entry, "/status");
    if (Status.value("ticket", 0U) >= Number)
      Out.push_back(Status.value("ticket_applied_unix_ms", 0.0) - AcceptedMs);
  }
  return Out;
}

void measureFleet(std::size_t Size) {
  Cluster Running;
  Running.startStore();
  const std::array<std::string, 3> DataCentres = {"dalseo", "suseong", "buk"};
  for (std::size_t I = 0; I < Size; ++I)
    Running.addServer("shelfview", DataCentres[I % 3], {"--service-ms", "2"});
  ASSERT_TRUE(Running.waitUntil([&] {
    return Running.metric(*Running.Servers_[0], "sycamore_servers_known") >=
           static_cast<double>(Size);
  }));
  ASSERT_NE(Running.acceptTicket(), 0U);
  Running.Loop_.runFor(seconds(10));

  Duration Span = isQuick() ? seconds(5) : seconds(20);
  double BytesBefore = sumOf(Running, "sycamore_control_bytes_sent_total");
  double ProcessorBefore = sumOf(Running, "process_cpu_seconds_total");
  double StoreBefore = sumOf(Running, "sycamore_head_reads_total");
  TimePoint Start = monotonicNow();
  Running.Loop_.runFor(Span);
  double Seconds =
      std::chrono::duration<double>(monotonicNow() - Start).count();
  double PerServer = 1.0 / (static_cast<double>(Size) * Seconds);
  double Bytes =
      (sumOf(Running, "sycamore_control_bytes_sent_total") - BytesBefore) *
      PerServer;
  double Processor =
      (sumOf(Running, "process_cpu_seconds_total") - ProcessorBefore) *
      PerServer * 100;
  double HeadReads =
      (sumOf(Running, "sycamore_head_reads_total") - StoreBefore) / Seconds;
  double Memory = 0;
  double Links = 0;
  for (const auto &Entry : Running.Servers_) {
    Memory = std::max(Memory,
                      Running.metric(*Entry, "process_resident_memory_bytes"));
    Links = std::max(Links, Running.metric(*Entry, "sycamore_links"));
  }

  std::vector<double> Last;
  std::size_t Tickets = isQuick() ? 5 : 20;
  for (std::size_t I = 0; I < Tickets; ++I) {
    std::uint64_t Number = Running.acceptTicket();
    Running.waitForTicket(Number);
    Json Record = Running.admin(*Running.Servers_[0], "/status");
    double Accepted = Record.value("ticket_accepted_unix_ms", 0.0);
    std::vector<double> Times = spreadTimes(Running, Number, Accepted);
    Last.push_back(*std::max_element(Times.begin(), Times.end()));
  }
  std::printf("| %zu | %.0f | %.2f | %.0f | %.0f | %.1f | %.0f | %.0f |\n",
              Size, Bytes, Processor, Memory / (1U << 20U), Links, HeadReads,
              quantile(Last, 0.5), quantile(Last, 0.99));
  std::fflush(stdout);
}

/// Latencies in microseconds of calls made with a fixed number in flight.
std::vector<double> measureCalls(Cluster &Running, const std::string &Address,
                                 const std::string &Path,
                                 std::size_t InFlight) {
  auto Client = HttpClient::create(Running.Loop_.base()).value();
  std::vector<double> Out;
  std::size_t Wanted = isQuick() ? 1000 : 5000;
  std::size_t Open = 0;
  std::function<void()> Next = [&] {
    TimePoint Start = monotonicNow();
    HttpClientRequest Request;
    Request.Path_ = Path;
    ++Open;
    Client->send(Address, Request, [&, Start](const HttpAnswer &Answer) {
      --Open;
      if (Answer.Status_ == 200)
        Out.push_back(
            std::chrono::duration<double, std::micro>(monotonicNow() - Start)
                .count());
      if (Out.size() + Open < Wanted)
        Next();
    });
  };
  for (std::size_t I = 0; I < InFlight; ++I)
    Next();
  Running.Loop_.runUntil([&] { return Open == 0; }, seconds(60));
  return Out;
}

} // namespace

TEST(RealFleetBench, FleetSizes) {
  std::printf("| daemons | control bytes/s sent per daemon | %% of a core per "
              "daemon | MiB at most | links at most | head reads/s, fleet | "
              "ticket everywhere p50 ms | p99 ms |\n"
              "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  std::vector<std::size_t> Sizes = {15, 30, 60};
  if (isQuick())
    Sizes = {15, 30};
  for (std::size_t Size : Sizes)
    measureFleet(Size);
}

TEST(RealFleetBench, AddedTime) {
  Cluster Running;
  Running.startStore();
  // The caller's entry daemon has no target of the service, so that each call
  // crosses two daemons.
  Running.addServer("entry", "dalseo");
  Running.addServer("shelfview", "dalseo", {"--service-ms", "2"});
  ASSERT_NE(Running.acceptTicket(), 0U);
  ASSERT_TRUE(Running.waitForTargets());
  // Half of the six slots.
  constexpr std::size_t InFlight = 3;
  Server &Beside = *Running.Servers_[1];
  auto Direct =
      measureCalls(Running, Beside.Target_, "/shelfview/echo", InFlight);
  double EntryBefore =
      Running.metric(*Running.Servers_[0], "process_cpu_seconds_total");
  double BesideBefore = Running.metric(Beside, "process_cpu_seconds_total");
  auto Through = measureCalls(Running, Running.Servers_[0]->Caller_,
                              "/shelfview/echo", InFlight);
  std::printf("\n| calls at half load | n | p50 us | p99 us |\n"
              "| --- | --- | --- | --- |\n");
  std::printf("| direct | %zu | %.0f | %.0f |\n", Direct.size(),
              quantile(Direct, 0.5), quantile(Direct, 0.99));
  std::printf("| through two daemons | %zu | %.0f | %.0f |\n", Through.size(),
              quantile(Through, 0.5), quantile(Through, 0.99));
  auto PerCall = [&](const Server &Which, double Before) {
    return 1e6 * (Running.metric(Which, "process_cpu_seconds_total") - Before) /
           static_cast<double>(std::max<std::size_t>(Through.size(), 1));
  };
  double EntryCost = PerCall(*Running.Servers_[0], EntryBefore);
  double BesideCost = PerCall(Beside, BesideBefore);
  auto Mean = [&](const Server &Which, const std::string &Name) {
    return 1e6 * Running.metric(Which, Name + "_sum") /
           std::max(Running.metric(Which, Name + "_count"), 1.0);
  };
  std::printf("| mean in the target, from its daemon | | %.0f | |\n"
              "| mean between the daemons and in the queue | | %.0f | |\n",
              Mean(Beside, "sycamore_target_seconds"),
              Mean(*Running.Servers_[0], "sycamore_added_seconds"));
  std::printf(
      "| processor time a call, entry daemon | | %.0f | |\n"
      "| processor time a call, daemon beside the target | | %.0f | |\n",
      EntryCost, BesideCost);
  std::printf("| added | | %.0f | %.0f |\n",
              quantile(Through, 0.5) - quantile(Direct, 0.5),
              quantile(Through, 0.99) - quantile(Direct, 0.99));
}
