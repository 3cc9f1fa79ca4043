// Fake endpoints: many ports in one process. Not part of the product.

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <memory>
#include <vector>

#include "endpoint_port.h"

namespace {

using pomelomill::AsioTimerService;
using pomelomill::fake_endpoint::EndpointOptions;
using pomelomill::fake_endpoint::EndpointPort;

int Run(int argc, char** argv) {
  cxxopts::Options spec("fake_endpoint", "Endpoints on loopback ports");
  spec.add_options()("port", "first port",
                     cxxopts::value<int>()->default_value("21000"))(
      "count", "number of endpoints",
      cxxopts::value<int>()->default_value("1"))(
      "slots", "requests at once",
      cxxopts::value<std::uint32_t>()->default_value("8"))(
      "connections", "connections at once",
      cxxopts::value<std::uint32_t>()->default_value("64"))(
      "service-us", "mean service time",
      cxxopts::value<std::int64_t>()->default_value("100000"))(
      "distribution", "fixed or exponential",
      cxxopts::value<std::string>()->default_value("exponential"))(
      "cold-start-ms", "time from the start to the first connection",
      cxxopts::value<std::int64_t>()->default_value("0"))(
      "seed", "random seed",
      cxxopts::value<std::uint64_t>()->default_value("1"))("help", "usage");
  const auto args = spec.parse(argc, argv);
  if (args.count("help") > 0) {
    std::cout << spec.help();
    return 0;
  }
  EndpointOptions options;
  options.slots = args["slots"].as<std::uint32_t>();
  options.connections = args["connections"].as<std::uint32_t>();
  options.service_mean =
      std::chrono::microseconds(args["service-us"].as<std::int64_t>());
  options.is_exponential = args["distribution"].as<std::string>() != "fixed";
  options.cold_start =
      std::chrono::milliseconds(args["cold-start-ms"].as<std::int64_t>());

  asio::io_context context(1);
  AsioTimerService timers(context);
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code, int) { context.stop(); });
  std::vector<std::unique_ptr<EndpointPort>> ports;
  for (int i = 0; i < args["count"].as<int>(); ++i) {
    ports.push_back(std::make_unique<EndpointPort>(
        context, timers, static_cast<std::uint16_t>(args["port"].as<int>() + i),
        options,
        args["seed"].as<std::uint64_t>() + static_cast<std::uint64_t>(i)));
  }
  std::cout << "[endpoint] listening on " << ports.size() << " ports from "
            << ports.front()->port() << std::endl;
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "[endpoint] " << e.what() << "\n";
    return 2;
  }
}
