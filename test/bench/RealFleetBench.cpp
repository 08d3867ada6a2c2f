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

double sumMetric(Cluster &Fleet, const std::string &Metric) {
  double Out = 0;
  for (const auto &Entry : Fleet.Servers_)
    Out += Fleet.metric(*Entry, Metric);
  return Out;
}

/// For each server that has applied the ticket: the time at which it did so, by
/// its own clock, less the time of acceptance, in milliseconds.
std::vector<double> propagationTimes(Cluster &Fleet, std::uint64_t Number,
                                     double AcceptedMs) {
  std::vector<double> Out;
  for (const auto &Entry : Fleet.Servers_) {
    Json Status = Fleet.admin(*Entry, "/status");
    if (Status.value("ticket", 0U) >= Number)
      Out.push_back(Status.value("ticket_applied_unix_ms", 0.0) - AcceptedMs);
  }
  return Out;
}

void measureFleet(std::size_t DaemonCount) {
  Cluster Fleet;
  Fleet.startStore();
  const std::array<std::string, 3> DataCentres = {"dalseo", "suseong", "buk"};
  for (std::size_t I = 0; I < DaemonCount; ++I)
    Fleet.addServer("shelfview", DataCentres[I % 3], {"--service-ms", "2"});
  ASSERT_TRUE(Fleet.waitUntil([&] {
    return Fleet.metric(*Fleet.Servers_[0], "sycamore_servers_known") >=
           static_cast<double>(DaemonCount);
  }));
  ASSERT_NE(Fleet.fileAndApproveTicket(), 0U);
  Fleet.Loop_.runFor(seconds(10));

  Duration Span = isQuick() ? seconds(5) : seconds(20);
  double BytesBefore = sumMetric(Fleet, "sycamore_control_bytes_sent_total");
  double CpuSecondsBefore = sumMetric(Fleet, "process_cpu_seconds_total");
  double HeadReadsBefore = sumMetric(Fleet, "sycamore_head_reads_total");
  TimePoint Start = monotonicNow();
  Fleet.Loop_.runFor(Span);
  double Seconds =
      std::chrono::duration<double>(monotonicNow() - Start).count();
  double PerServer = 1.0 / (static_cast<double>(DaemonCount) * Seconds);
  double BytesPerSecond =
      (sumMetric(Fleet, "sycamore_control_bytes_sent_total") - BytesBefore) *
      PerServer;
  double CpuPercent =
      (sumMetric(Fleet, "process_cpu_seconds_total") - CpuSecondsBefore) *
      PerServer * 100;
  double HeadReads =
      (sumMetric(Fleet, "sycamore_head_reads_total") - HeadReadsBefore) /
      Seconds;
  double MaxMemoryBytes = 0;
  double MaxLinks = 0;
  for (const auto &Entry : Fleet.Servers_) {
    MaxMemoryBytes = std::max(
        MaxMemoryBytes, Fleet.metric(*Entry, "process_resident_memory_bytes"));
    MaxLinks = std::max(MaxLinks, Fleet.metric(*Entry, "sycamore_links"));
  }

  std::vector<double> LastApplied;
  std::size_t TicketCount = isQuick() ? 5 : 20;
  for (std::size_t I = 0; I < TicketCount; ++I) {
    std::uint64_t Number = Fleet.fileAndApproveTicket();
    Fleet.waitForTicket(Number);
    Json FirstStatus = Fleet.admin(*Fleet.Servers_[0], "/status");
    double Accepted = FirstStatus.value("ticket_accepted_unix_ms", 0.0);
    std::vector<double> Times = propagationTimes(Fleet, Number, Accepted);
    LastApplied.push_back(*std::max_element(Times.begin(), Times.end()));
  }
  std::printf("| %zu | %.0f | %.2f | %.0f | %.0f | %.1f | %.0f | %.0f |\n",
              DaemonCount, BytesPerSecond, CpuPercent,
              MaxMemoryBytes / (1U << 20U), MaxLinks, HeadReads,
              quantile(LastApplied, 0.5), quantile(LastApplied, 0.99));
  std::fflush(stdout);
}

/// Latencies in microseconds of calls made with a fixed number in flight.
std::vector<double> measureCalls(Cluster &Fleet, const std::string &Address,
                                 const std::string &Path,
                                 std::size_t InFlight) {
  auto Client = HttpClient::create(Fleet.Loop_.base()).value();
  std::vector<double> Out;
  std::size_t CallCount = isQuick() ? 1000 : 5000;
  std::size_t OpenCalls = 0;
  std::function<void()> SendNext = [&] {
    TimePoint Start = monotonicNow();
    HttpClientRequest Request;
    Request.Path_ = Path;
    ++OpenCalls;
    Client->send(Address, Request, [&, Start](const HttpResponse &Response) {
      --OpenCalls;
      if (Response.Status_ == 200)
        Out.push_back(
            std::chrono::duration<double, std::micro>(monotonicNow() - Start)
                .count());
      if (Out.size() + OpenCalls < CallCount)
        SendNext();
    });
  };
  for (std::size_t I = 0; I < InFlight; ++I)
    SendNext();
  Fleet.Loop_.runUntil([&] { return OpenCalls == 0; }, seconds(60));
  return Out;
}

} // namespace

TEST(RealFleetBench, FleetSizes) {
  std::printf("| daemons | control bytes/s sent per daemon | %% of a core per "
              "daemon | MiB at most | links at most | head reads/s, fleet | "
              "ticket everywhere p50 ms | p99 ms |\n"
              "| --- | --- | --- | --- | --- | --- | --- | --- |\n");
  std::vector<std::size_t> DaemonCounts = {15, 30, 60};
  if (isQuick())
    DaemonCounts = {15, 30};
  for (std::size_t DaemonCount : DaemonCounts)
    measureFleet(DaemonCount);
}

TEST(RealFleetBench, AddedTime) {
  Cluster Fleet;
  Fleet.startStore();
  // The caller's entry daemon has no target of the service, so that each call
  // crosses two daemons.
  Fleet.addServer("entry", "dalseo");
  Fleet.addServer("shelfview", "dalseo", {"--service-ms", "2"});
  ASSERT_NE(Fleet.fileAndApproveTicket(), 0U);
  ASSERT_TRUE(Fleet.waitForTargets());
  // Half of the six slots.
  constexpr std::size_t InFlight = 3;
  Server &TargetServer = *Fleet.Servers_[1];
  auto Direct =
      measureCalls(Fleet, TargetServer.Target_, "/shelfview/echo", InFlight);
  double EntryBefore =
      Fleet.metric(*Fleet.Servers_[0], "process_cpu_seconds_total");
  double TargetServerBefore =
      Fleet.metric(TargetServer, "process_cpu_seconds_total");
  auto ThroughDaemons = measureCalls(Fleet, Fleet.Servers_[0]->Caller_,
                                     "/shelfview/echo", InFlight);
  std::printf("\n| calls at half load | n | p50 us | p99 us |\n"
              "| --- | --- | --- | --- |\n");
  std::printf("| direct | %zu | %.0f | %.0f |\n", Direct.size(),
              quantile(Direct, 0.5), quantile(Direct, 0.99));
  std::printf("| through two daemons | %zu | %.0f | %.0f |\n",
              ThroughDaemons.size(), quantile(ThroughDaemons, 0.5),
              quantile(ThroughDaemons, 0.99));
  auto PerCall = [&](const Server &TestServer, double Before) {
    return 1e6 *
           (Fleet.metric(TestServer, "process_cpu_seconds_total") - Before) /
           static_cast<double>(std::max<std::size_t>(ThroughDaemons.size(), 1));
  };
  double EntryCost = PerCall(*Fleet.Servers_[0], EntryBefore);
  double TargetServerCost = PerCall(TargetServer, TargetServerBefore);
  auto Mean = [&](const Server &TestServer, const std::string &Name) {
    return 1e6 * Fleet.metric(TestServer, Name + "_sum") /
           std::max(Fleet.metric(TestServer, Name + "_count"), 1.0);
  };
  std::printf("| mean in the target, from its daemon | | %.0f | |\n"
              "| mean between the daemons and in the queue | | %.0f | |\n",
              Mean(TargetServer, "sycamore_target_seconds"),
              Mean(*Fleet.Servers_[0], "sycamore_added_seconds"));
  std::printf(
      "| processor time a call, entry daemon | | %.0f | |\n"
      "| processor time a call, daemon beside the target | | %.0f | |\n",
      EntryCost, TargetServerCost);
  std::printf("| added | | %.0f | %.0f |\n",
              quantile(ThroughDaemons, 0.5) - quantile(Direct, 0.5),
              quantile(ThroughDaemons, 0.99) - quantile(Direct, 0.99));
}
