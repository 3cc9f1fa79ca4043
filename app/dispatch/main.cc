// The binary without the request router and its commands: runs an entry of the
// job service with a smaller memory footprint.

#include <cxxopts.hpp>
#include <exception>
#include <iostream>
#include <string>

#include "dispatch_command.h"

int main(int argc, char** argv) {
  cxxopts::Options options("pomelomill",
                           "Runs one entry of the job service until SIGTERM.");
  options.add_options()("command", "dispatch", cxxopts::value<std::string>())(
      "settings", "INI file; by default that of POMELOMILL_SETTINGS",
      cxxopts::value<std::string>()->default_value(""))(
      "reject-overload",
      "rejects jobs that an overloaded pool cannot serve in time to be of use")(
      "help", "prints this text");
  options.parse_positional({"command", "settings"});
  options.positional_help("dispatch [SETTINGS]");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("command") == 0 ||
        parsed["command"].as<std::string>() != "dispatch") {
      std::cerr << "usage: pomelomill dispatch [SETTINGS]\n";
      return 2;
    }
    return pomelomill::RunDispatch(parsed["settings"].as<std::string>(),
                                   parsed.count("reject-overload") != 0);
  } catch (const std::exception& e) {
    std::cerr << "pomelomill: " << e.what() << "\n";
    return 2;
  }
}
