// Load generator with peaks in turn; compares what callers were told with the
// endpoints' own records. Sends to loopback addresses only.

#include <asio/io_context.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <stdexcept>

#include "endpoint_records.h"
#include "load_run.h"

namespace {

using pomelomill::AsioTimerService;
using pomelomill::Declarations;
using pomelomill::HttpClient;
using pomelomill::HttpClientOptions;
using pomelomill::HttpRequest;
using pomelomill::HttpResult;
using pomelomill::ToSeconds;
using namespace pomelomill::load;  // NOLINT(google-build-using-namespace)

/// "SERVICE/QUEUE:RATE[:KIND]", see the usage.
QueueLoad ParseQueue(const std::string& text) {
  QueueLoad load;
  std::istringstream in(text);
  std::string rate;
  std::string kind;
  std::getline(in, load.queue, ':');
  std::getline(in, rate, ':');
  std::getline(in, kind, ':');
  load.mean_rate = std::stod(rate);
  load.is_order = !kind.empty();
  if (kind == "keyed") {
    load.key = KeyKind::kIssued;
  } else if (kind == "claimed") {
    load.key = KeyKind::kOwn;
  } else if (!kind.empty() && kind != "order") {
    throw std::invalid_argument("unknown kind of request: " + kind);
  }
  return load;
}

const char* Name(CallResult result) {
  switch (result) {
    case CallResult::kAnsweredWhole:
      return "answered";
    case CallResult::kAnsweredOther:
      return "other";
    case CallResult::kWrong:
      return "wrong";
    case CallResult::kNotRun:
      return "not-run";
    case CallResult::kUnknown:
      return "unknown";
    case CallResult::kBroken:
      return "broken";
  }
  return "";
}

void WriteCsv(const std::map<std::string, CallRecord>& calls,
              const std::string& path) {
  std::ofstream out(path);
  out << "request,queue,started_s,latency_ms,result,reason\n";
  for (const auto& [id, it] : calls) {
    out << id << ',' << it.queue << ',' << ToSeconds(it.started) << ','
        << ToSeconds(it.latency) * 1e3 << ',' << Name(it.result) << ','
        << it.reason << '\n';
  }
}

/// Budgets are checked only when a queue has one.
bool PrintBudgets(const std::map<std::string, QueueReport>& reports) {
  bool are_met = true;
  std::printf("\n%-24s %8s %8s %8s %8s %s\n", "queue", "sent", "in time",
              "budget", "spent", "met");
  for (const auto& [queue, it] : reports) {
    const std::uint64_t spent = it.sent - it.in_time;
    const bool is_met = spent <= it.budget;
    are_met = are_met && is_met;
    std::printf("%-24s %8lu %8lu %8lu %8lu %s\n", queue.c_str(), it.sent,
                it.in_time, it.budget, spent, is_met ? "yes" : "NO");
  }
  for (const auto& [queue, it] : reports) {
    for (const auto& [reason, n] : it.reasons)
      std::printf("%s: %lu not answered whole: %s\n", queue.c_str(), n,
                  reason.c_str());
  }
  return are_met;
}

bool Print(const std::map<std::string, QueueReport>& reports) {
  std::printf("%-24s %8s %8s %6s %8s %7s %6s %5s %4s %8s %7s %8s %8s\n",
              "queue", "sent", "whole", "other", "not-run", "unknown", "broken",
              "wrong", "dup", "false-nr", "no-run", "p50 ms", "p99 ms");
  bool is_correct = true;
  for (const auto& [queue, it] : reports) {
    std::printf(
        "%-24s %8lu %8lu %6lu %8lu %7lu %6lu %5lu %4lu %8lu %7lu %8.1f %8.1f\n",
        queue.c_str(), it.sent, it.answered_whole, it.answered_other,
        it.not_run, it.unknown, it.broken, it.wrong, it.duplicated,
        it.false_not_run, it.answered_without_run, ToSeconds(it.p50) * 1e3,
        ToSeconds(it.p99) * 1e3);
    is_correct = is_correct && it.wrong == 0 && it.duplicated == 0 &&
                 it.false_not_run == 0 && it.answered_without_run == 0;
  }
  return is_correct;
}

int Run(int argc, char** argv) {
  cxxopts::Options spec("load", "Load generator with peaks in turn");
  spec.add_options()("target", "http://ip:port of an entry, repeatable",
                     cxxopts::value<std::vector<std::string>>())(
      "ready", "address that tells whether a target is ready, one for each",
      cxxopts::value<std::vector<std::string>>())(
      "queue",
      "SERVICE/QUEUE:RATE[:KIND], repeatable; KIND is order (must run at most "
      "once), keyed (an order with a key of an entry) or claimed (an order "
      "with a key of the caller)",
      cxxopts::value<std::vector<std::string>>())(
      "endpoint", "first port of the endpoints, for their records",
      cxxopts::value<int>()->default_value("0"))(
      "endpoints", "number of endpoints",
      cxxopts::value<int>()->default_value("0"))(
      "seconds", "duration", cxxopts::value<double>()->default_value("30"))(
      "peak-seconds", "length of one peak",
      cxxopts::value<double>()->default_value("5"))(
      "seed", "random seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))(
      "prefix", "prefix of request ids",
      cxxopts::value<std::string>()->default_value("r"))(
      "declarations", "file with the deadlines and budgets of the queues",
      cxxopts::value<std::string>()->default_value(""))(
      "csv", "file to which every call is written",
      cxxopts::value<std::string>()->default_value(""))("help", "usage");
  const auto args = spec.parse(argc, argv);
  if (args.count("help") > 0 || args.count("target") == 0 ||
      args.count("queue") == 0) {
    std::cout << spec.help();
    return args.count("help") > 0 ? 0 : 2;
  }
  Declarations declarations;
  const auto file = args["declarations"].as<std::string>();
  if (!file.empty()) {
    std::ifstream in(file);
    const std::string text(std::istreambuf_iterator<char>(in), {});
    auto parsed = pomelomill::Parse(text, file);
    if (!parsed) {
      std::cerr << "[load] " << file << " is not valid\n";
      return 2;
    }
    declarations = std::move(*parsed);
  }
  const auto seconds = [](double s) {
    return pomelomill::Duration(static_cast<std::int64_t>(s * 1e9));
  };
  LoadOptions options;
  options.targets = args["target"].as<std::vector<std::string>>();
  if (args.count("ready") > 0)
    options.readiness = args["ready"].as<std::vector<std::string>>();
  if (!options.readiness.empty() &&
      options.readiness.size() != options.targets.size()) {
    std::cerr << "[load] give one --ready for each --target\n";
    return 2;
  }
  for (const auto& it : args["queue"].as<std::vector<std::string>>()) {
    options.queues.push_back(ParseQueue(it));
  }
  options.duration = seconds(args["seconds"].as<double>());
  options.peak = seconds(args["peak-seconds"].as<double>());
  options.seed = args["seed"].as<std::uint64_t>();
  options.prefix = args["prefix"].as<std::string>();

  asio::io_context context(1);
  AsioTimerService timers(context);
  HttpClient client(context, HttpClientOptions{.max_idle_connections = 512});
  LoadRun run(client, timers, options);
  run.Start([&] { context.stop(); });
  context.run();

  context.restart();
  std::vector<std::string> records;
  std::size_t missing = 0;
  const int first = args["endpoint"].as<int>();
  for (int i = 0; i < args["endpoints"].as<int>(); ++i) {
    HttpRequest request;
    request.url =
        "http://127.0.0.1:" + std::to_string(first + i) + "/-/records";
    request.max_response_bytes = std::size_t{256} << 20;
    ++missing;
    client.Send(std::move(request), [&](HttpResult result) {
      if (!result.error) {
        records.push_back(std::move(result.response.body));
        --missing;
      }
      if (missing == 0) context.stop();
    });
  }
  if (missing > 0) context.run_for(std::chrono::seconds(10));
  if (missing > 0) {
    std::cerr << "[load] " << missing << " endpoints gave no record\n";
    return 2;
  }
  const auto csv = args["csv"].as<std::string>();
  if (!csv.empty()) WriteCsv(run.calls(), csv);
  const auto reports = Compare(run.calls(), CountRuns(records), declarations);
  const bool is_correct = Print(reports);
  const bool are_budgets_met = file.empty() || PrintBudgets(reports);
  return is_correct && are_budgets_met ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "[load] " << e.what() << "\n";
    return 2;
  }
}
