// Measures the traffic path of one entry on loopback: requests a second for a
// core, added latency, and correctness with endpoints in every fault mode.

#include <asio/io_context.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>

#include "bench.h"
#include "endpoint_records.h"
#include "hosts.h"
#include "load_run.h"

namespace pomelomill::measure {
namespace {

double Ms(Duration d) { return ToSeconds(d) * 1e3; }

void Throughput(Duration duration) {
  fake_endpoint::EndpointOptions options;
  options.service_mean = Duration(0);
  options.is_exponential = false;
  options.slots = 64;
  options.connections = 1024;
  EndpointHost endpoints(9, options);
  EntryHost entry(endpoints.ports(), 64, std::chrono::milliseconds(1));
  const std::string path = "/proof/layout/x";
  const std::string direct =
      "http://127.0.0.1:" + std::to_string(endpoints.ports()[0]) + path;
  for (const int concurrency : {1, 8, 64}) {
    const BenchResult base = RunClosedLoop(direct, concurrency, duration);
    const double cpu = entry.CpuSeconds();
    const BenchResult through =
        RunClosedLoop(entry.url() + path, concurrency, duration);
    const double used = entry.CpuSeconds() - cpu;
    std::printf(
        "callers %2d: direct p50 %.3f ms p99 %.3f ms; entry p50 %.3f ms "
        "p99 %.3f ms; added p50 %.3f ms p99 %.3f ms; %.0f requests/s, "
        "%.0f per core of the entry, %lu failed\n",
        concurrency, Ms(base.p50), Ms(base.p99), Ms(through.p50),
        Ms(through.p99), Ms(through.p50 - base.p50), Ms(through.p99 - base.p99),
        static_cast<double>(through.answered) / through.seconds,
        static_cast<double>(through.answered) / used, through.failed);
  }
}

/// True when no response was wrong, no order ran twice and no request that
/// ran was reported as not run.
bool Modes(Duration duration) {
  bool is_correct = true;
  for (const char* mode : {"normal", "slow", "failing", "truncated", "close",
                           "close-reused", "draining"}) {
    fake_endpoint::EndpointOptions options;
    options.service_mean = std::chrono::milliseconds(20);
    EndpointHost endpoints(4, options);
    endpoints.SetMode(1, mode);
    endpoints.SetMode(2, mode);
    EntryHost entry(endpoints.ports(), 8, options.service_mean);
    asio::io_context context(1);
    AsioTimerService timers(context);
    HttpClient client(context);
    load::LoadOptions run_options;
    run_options.targets = {entry.url()};
    run_options.queues = {{"proof/layout", 200, false},
                          {"proof/order", 200, true}};
    run_options.duration = duration;
    run_options.peak = duration / 4;
    load::LoadRun run(client, timers, run_options);
    run.Start([&] { context.stop(); });
    context.run();
    const auto reports = load::Compare(
        run.calls(), load::CountRuns(endpoints.Records()), Declarations());
    for (const auto& [queue, it] : reports) {
      const bool is_right = it.wrong == 0 && it.duplicated == 0 &&
                            it.false_not_run == 0 &&
                            it.answered_without_run == 0 && it.broken == 0;
      is_correct = is_correct && is_right;
      std::printf(
          "%-12s %-12s sent %5lu whole %5lu other %4lu not run %4lu unknown "
          "%4lu broken %lu wrong %lu duplicated %lu false not run %lu%s\n",
          mode, queue.c_str(), it.sent, it.answered_whole, it.answered_other,
          it.not_run, it.unknown, it.broken, it.wrong, it.duplicated,
          it.false_not_run, is_right ? "" : "  WRONG");
    }
    if (endpoints.Peak() > options.slots) is_correct = false;
  }
  return is_correct;
}

int Run(int argc, char** argv) {
  cxxopts::Options spec("measure_traffic", "Traffic path of one entry");
  spec.add_options()(
      "what", "throughput or modes",
      cxxopts::value<std::string>()->default_value("throughput"))(
      "seconds", "length of each run",
      cxxopts::value<double>()->default_value("3"));
  const auto args = spec.parse(argc, argv);
  const Duration duration(
      static_cast<std::int64_t>(args["seconds"].as<double>() * 1e9));
  if (args["what"].as<std::string>() == "modes") {
    return Modes(duration) ? 0 : 1;
  }
  Throughput(duration);
  return 0;
}

}  // namespace
}  // namespace pomelomill::measure

int main(int argc, char** argv) {
  try {
    return pomelomill::measure::Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "[measure] " << e.what() << "\n";
    return 2;
  }
}
