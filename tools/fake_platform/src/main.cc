#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cstdint>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include "fake_platform.h"
#include "platform_protocol.h"
#include "pomelomill/http.h"
#include "pomelomill/http/http_listener.h"

namespace {

using pomelomill::EndpointMode;
using std::chrono::milliseconds;

const char* NameOf(EndpointMode mode) {
  switch (mode) {
    case EndpointMode::kUp:
      return "up";
    case EndpointMode::kDraining:
      return "draining";
    case EndpointMode::kDown:
      return "down";
  }
  return "";
}

/// A fleet of `vms` VMs and `workers` workers, four to a rack, in three zones.
/// VM number i has the port `base_port + i`.
void AddCounts(int vms, int workers, const std::string& host, int base_port,
               pomelomill::FakePlatform* platform) {
  for (int i = 0; i < vms; ++i) {
    const std::string rack = std::to_string(i / 4);
    const std::string zone = std::to_string(i / 4 % 3);
    platform->AddVm({.id = pomelomill::VmId("vm-" + std::to_string(i)),
                     .address = host + ":" + std::to_string(base_port + i),
                     .zone = pomelomill::ZoneId("zone-" + zone),
                     .rack = pomelomill::RackId("rack-" + rack),
                     .listing = pomelomill::VmListing::kLive,
                     .generation = pomelomill::Generation(1)});
  }
  for (int i = 0; i < workers; ++i) {
    const std::string rack = std::to_string(i / 4);
    const std::string zone = std::to_string(i / 4 % 3);
    platform->AddWorker(
        {.id = pomelomill::WorkerId("worker-" + std::to_string(i)),
         .rack = pomelomill::RackId("worker-rack-" + rack),
         .zone = pomelomill::ZoneId("zone-" + zone),
         .capacity = {.cores = 32, .memory_mb = 65536, .accelerators = 0},
         .usage = {},
         .tasks = {}});
  }
}

int Run(const cxxopts::ParseResult& args) {
  asio::io_context context;
  pomelomill::AsioTimerService timers(context);
  pomelomill::HttpClient http(context);
  const bool tells_endpoints = args.count("tell-endpoints") != 0;
  pomelomill::FakePlatform platform(
      timers,
      {.list_lag = milliseconds(args["list-lag-ms"].as<int>()),
       .usage_lag = milliseconds(args["usage-lag-ms"].as<int>()),
       .drain_time = milliseconds(args["drain-ms"].as<int>()),
       .reboot_time = milliseconds(args["reboot-ms"].as<int>())},
      [&](const pomelomill::VmId& vm, EndpointMode mode,
          pomelomill::Generation generation) {
        const auto status = platform.GetVm(vm);
        if (!tells_endpoints || !status) return;
        pomelomill::HttpRequest request;
        request.method = "POST";
        request.url = "http://" + status->vm.address +
                      "/-/admin?vm=" + vm.value() + "&mode=" + NameOf(mode) +
                      "&generation=" + std::to_string(generation.value());
        http.Send(std::move(request), [vm](const pomelomill::HttpResult& it) {
          if (it.error || it.response.status != 200) {
            std::cerr << "[fake_platform] endpoint process did not take a mode"
                      << " for " << vm << '\n';
          }
        });
      });
  if (const auto file = args["fleet"].as<std::string>(); !file.empty()) {
    std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in || !pomelomill::LoadFleet(text.str(), &platform)) {
      std::cerr << "[fake_platform] cannot read the fleet in " << file << '\n';
      return 1;
    }
  }
  AddCounts(args["vms"].as<int>(), args["workers"].as<int>(),
            args["vm-host"].as<std::string>(), args["vm-base-port"].as<int>(),
            &platform);

  pomelomill::HttpListener listener(
      context,
      {.address = "127.0.0.1",
       .port = static_cast<std::uint16_t>(args["port"].as<int>())},
      {.on_request =
           [&](const pomelomill::IncomingRequest& request,
               const pomelomill::RespondHook& respond) {
             const auto reply = pomelomill::Answer(
                 platform, request.method, request.target, request.body);
             respond({.status = reply.status,
                      .headers = {{"Content-Type", "application/json"}},
                      .body = reply.body});
           },
       .on_closed = nullptr});
  if (!listener.Start()) {
    std::cerr << "[fake_platform] cannot listen\n";
    return 1;
  }
  std::cout << "[fake_platform] listens on 127.0.0.1:" << listener.port()
            << std::endl;
  asio::signal_set signals(context, SIGINT, SIGTERM);
  signals.async_wait([&](std::error_code, int) { context.stop(); });
  context.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fake_platform",
                           "Stand-in for the platform's VM list, pool control "
                           "and workers; listens on loopback");
  options.add_options()("port", "port, 0 for a free one",
                        cxxopts::value<int>()->default_value("0"))(
      "fleet", "JSON file with vms and workers",
      cxxopts::value<std::string>()->default_value(""))(
      "vms", "VMs to add", cxxopts::value<int>()->default_value("0"))(
      "vm-host", "host of their addresses",
      cxxopts::value<std::string>()->default_value("127.0.0.1"))(
      "vm-base-port", "port of the first one",
      cxxopts::value<int>()->default_value("20000"))(
      "workers", "workers to add", cxxopts::value<int>()->default_value("0"))(
      "tell-endpoints",
      "tell the endpoint on each VM's address what happens to the VM")(
      "list-lag-ms", "lag of the VM list",
      cxxopts::value<int>()->default_value("2000"))(
      "usage-lag-ms", "lag of workers' usage",
      cxxopts::value<int>()->default_value("2000"))(
      "drain-ms", "drain time", cxxopts::value<int>()->default_value("500"))(
      "reboot-ms", "reboot time",
      cxxopts::value<int>()->default_value("20000"))("help", "this text");
  try {
    const auto args = options.parse(argc, argv);
    if (args.count("help") > 0) {
      std::cout << options.help();
      return 0;
    }
    return Run(args);
  } catch (const std::exception& e) {
    std::cerr << "[fake_platform] " << e.what() << '\n';
    return 1;
  }
}
