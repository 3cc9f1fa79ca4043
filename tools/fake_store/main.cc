#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "store_server.h"

namespace pomelomill {
namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options("fake_store",
                           "Key-value service for tests and demonstrations");
  options.add_options()(
      "host", "address to listen on",
      cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "port", "port to listen on, 0 for a free one",
      cxxopts::value<std::uint16_t>()->default_value("7000"))(
      "latency-ms", "time added to each response",
      cxxopts::value<std::uint32_t>()->default_value("1"))(
      "writes-per-s", "limit, 0 for none",
      cxxopts::value<double>()->default_value("400"))(
      "reads-per-s", "limit, 0 for none",
      cxxopts::value<double>()->default_value("2000"))("help", "this text");
  StoreServerOptions server_options;
  try {
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (!arguments.unmatched().empty()) {
      std::cerr << "fake_store: unexpected argument "
                << arguments.unmatched().front() << '\n';
      return 2;
    }
    server_options.host = arguments["host"].as<std::string>();
    server_options.port = arguments["port"].as<std::uint16_t>();
    server_options.latency =
        std::chrono::milliseconds(arguments["latency-ms"].as<std::uint32_t>());
    server_options.model.writes_per_s = arguments["writes-per-s"].as<double>();
    server_options.model.reads_per_s = arguments["reads-per-s"].as<double>();
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << "fake_store: " << e.what() << '\n';
    return 2;
  }

  asio::io_context context(1);
  StoreServer server(context, server_options);
  if (const Status opened = server.Open(); !opened) {
    std::cerr << "fake_store: cannot listen on " << server_options.host << ':'
              << server_options.port << ": " << opened.error().message()
              << '\n';
    return 1;
  }
  std::cout << "listening on " << server_options.host << ':' << server.port()
            << std::endl;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace
}  // namespace pomelomill

int main(int argc, char** argv) { return pomelomill::Main(argc, argv); }
