#include <cstdio>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "report.h"
#include "slopes.h"

int main(int argc, char** argv) {
  cxxopts::Options options("measure",
                           "Measures planner and maintenance beside their "
                           "baselines in virtual time.");
  options.add_options()("seed", "Seed of the workload",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "scenario", "Scenario files",
      cxxopts::value<std::vector<std::string>>()->default_value({}))(
      "slopes", "Print decision time and memory by size")(
      "trace", "Print the product's decisions in each scenario")("help",
                                                                 "Usage");
  options.parse_positional({"scenario"});
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") != 0) {
    std::printf("%s\n", options.help().c_str());
    return 0;
  }
  if (arguments.count("slopes") != 0) {
    pomelomill::measure::PrintSlopes();
    return 0;
  }
  const auto seed = arguments["seed"].as<std::uint64_t>();
  const bool is_trace = arguments.count("trace") != 0;
  if (!is_trace) pomelomill::measure::PrintHeader();
  for (const auto& it : arguments["scenario"].as<std::vector<std::string>>()) {
    const bool is_read = is_trace
                             ? pomelomill::measure::TraceScenario(it, seed)
                             : pomelomill::measure::MeasureScenario(it, seed);
    if (!is_read) {
      std::fprintf(stderr, "[measure] cannot read %s\n", it.c_str());
      return 1;
    }
  }
  return 0;
}
