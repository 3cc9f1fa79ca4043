#include <algorithm>
#include <atomic>
#include <cxxopts.hpp>
#include <exception>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "groups.h"
#include "report.h"

namespace pomelomill::faults {
namespace {

struct Options {
  std::uint64_t seed = 1;
  std::string group;
  std::vector<std::string> steps;
  std::vector<std::string> faults;
  double pair_share = 1;
  std::string known_red;
  unsigned jobs = 1;
  bool is_listing = false;
};

/// "apply.write@2" names the second passage; without a number the first.
testing::ArmedFault ParseArmed(const std::string& step,
                               const std::string& fault) {
  testing::ArmedFault armed;
  const auto at = step.find('@');
  armed.step = step.substr(0, at);
  if (at != std::string::npos) {
    armed.occurrence =
        static_cast<std::uint32_t>(std::stoul(step.substr(at + 1)));
  }
  const auto known = testing::FaultByName(fault);
  if (!known) throw std::invalid_argument("unknown fault " + fault);
  armed.fault = *known;
  return armed;
}

bool HasStep(const Group& group, const std::string& step) {
  for (const Step& it : group.steps) {
    if (it.name == step) return true;
  }
  return false;
}

/// The one cell that --step and --fault describe, with its group.
void RunOne(const Options& options, Report& report) {
  if (options.steps.size() != options.faults.size()) {
    throw std::invalid_argument("--step and --fault need equal numbers");
  }
  Cell cell;
  for (std::size_t i = 0; i < options.steps.size(); ++i) {
    cell.faults.push_back(ParseArmed(options.steps[i], options.faults[i]));
  }
  cell.kind = cell.faults.size() == 1 ? CellKind::kSingle : CellKind::kPair;
  for (const Group& group : AllGroups()) {
    if (!HasStep(group, cell.faults.back().step)) continue;
    cell.group = group.name;
    report.Add(group, cell, RunCell(group, cell, options.seed));
    return;
  }
  throw std::invalid_argument("unknown step " + cell.faults.back().step);
}

/// Runs all cells of a group, several at once. Cells share nothing, and the
/// report takes them in their order, so the number of threads does not change
/// the result.
void RunGroup(const Group& group, const Options& options, Report& report) {
  const std::vector<Cell> cells =
      CellsOf(group, options.pair_share, options.seed);
  std::vector<CellResult> results(cells.size());
  std::atomic<std::size_t> next = 0;
  std::vector<std::jthread> threads;
  for (unsigned i = 0; i < std::max(options.jobs, 1U); ++i) {
    threads.emplace_back([&] {
      for (std::size_t n = next++; n < cells.size(); n = next++) {
        results[n] = RunCell(group, cells[n], options.seed);
      }
    });
  }
  threads.clear();
  for (std::size_t n = 0; n < cells.size(); ++n) {
    report.Add(group, cells[n], results[n]);
  }
}

int Main(int argc, char** argv) {
  Options options;
  cxxopts::Options parser("faults", "Runs the fault matrix in virtual time.");
  parser.add_options()("seed", "seed of all random choices",
                       cxxopts::value(options.seed)->default_value("1"))(
      "group", "only this group", cxxopts::value(options.group))(
      "step", "steps of one cell, as STEP or STEP@N, separated by commas",
      cxxopts::value(options.steps))(
      "fault", "faults at these steps, separated by commas",
      cxxopts::value(options.faults))(
      "pairs", "share of the pairs of faults to run, 0 to 1",
      cxxopts::value(options.pair_share)->default_value("1"))(
      "list", "list steps and faults", cxxopts::value(options.is_listing))(
      "jobs", "cells that run at once",
      cxxopts::value(options.jobs)->default_value("1"))(
      "known-red", "file with commands of cells that are known to fail",
      cxxopts::value(options.known_red))("help", "this text");
  const auto parsed = parser.parse(argc, argv);
  if (parsed.count("help") != 0) {
    std::cout << parser.help();
    return 0;
  }
  if (options.is_listing) {
    for (const Group& group : AllGroups()) {
      for (const Step& step : group.steps) {
        std::cout << step.name << ':';
        for (testing::Fault it : FaultsFor(group, step)) {
          std::cout << ' ' << testing::FaultName(it);
        }
        std::cout << '\n';
      }
    }
    return 0;
  }
  Report report(options.seed);
  if (!options.known_red.empty()) {
    std::ifstream file(options.known_red);
    std::ostringstream text;
    text << file.rdbuf();
    report.set_known_red(text.str());
  }
  if (!options.steps.empty() || !options.faults.empty()) {
    RunOne(options, report);
  } else {
    for (const Group& group : AllGroups()) {
      if (!options.group.empty() && options.group != group.name) continue;
      RunGroup(group, options, report);
    }
  }
  report.Print(std::cout);
  return report.failed() == 0 ? 0 : 1;
}

}  // namespace
}  // namespace pomelomill::faults

int main(int argc, char** argv) {
  try {
    return pomelomill::faults::Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "faults: " << e.what() << '\n';
    return 2;
  }
}
