#include "command_line.h"

#include <cstdlib>
#include <cxxopts.hpp>
#include <functional>
#include <map>
#include <ostream>

#include "apply_command.h"
#include "check_command.h"
#include "dispatch_command.h"
#include "drain_command.h"
#include "exit_code.h"
#include "explain_command.h"
#include "serve_command.h"
#include "status_command.h"

namespace pomelomill {
namespace {

constexpr const char* kUsage =
    "pomelomill manages the capacity and maintenance of a fleet.\n"
    "\n"
    "Commands:\n"
    "  serve SETTINGS             runs one entry until SIGTERM\n"
    "  dispatch SETTINGS          runs one entry of the job service\n"
    "  check FILE                 checks a file of declarations\n"
    "  apply FILE --store URL     puts a file of declarations in force\n"
    "  status --entry HOST:PORT   prints the state of an entry\n"
    "  explain KIND NAME --entry HOST:PORT\n"
    "                             prints the decisions on one subject\n"
    "  drain VM --entry HOST:PORT stops one VM gracefully\n"
    "\n"
    "pomelomill COMMAND --help describes one command. Exit codes: 0 done,\n"
    "1 failed without effect, 2 wrong usage, 3 invalid file, 4 conflict,\n"
    "5 service unavailable, 6 outcome unknown, 7 not in force in time.\n";

/// A wrong command line.
struct UsageError {
  std::string reason;
};

using Parsed = cxxopts::ParseResult;

struct Command {
  const char* positional;
  std::size_t positionals;
  const char* examples;
  std::function<void(cxxopts::Options&)> declare;
  std::function<int(const Parsed&, const std::vector<std::string>&,
                    std::ostream&, std::ostream&)>
      run;
};

std::string Required(const Parsed& parsed, const char* name) {
  if (parsed.count(name) == 0)
    throw UsageError{std::string("--") + name + " is required"};
  return parsed[name].as<std::string>();
}

/// "HOST:PORT" with a numeric port.
std::string Address(const std::string& text, const char* name) {
  const std::size_t colon = text.rfind(':');
  const bool is_valid =
      colon != std::string::npos && colon != 0 && colon + 1 < text.size() &&
      text.size() - colon <= 6 &&
      text.find_first_not_of("0123456789", colon + 1) == std::string::npos &&
      std::stoul(text.substr(colon + 1)) <= 65'535 &&
      text.find_first_of("/ ?#@") == std::string::npos;
  if (!is_valid) {
    throw UsageError{std::string("--") + name + " must be HOST:PORT, not \"" +
                     text + '"'};
  }
  return text;
}

std::string Url(const std::string& text, const char* name) {
  const std::string scheme = "http://";
  if (!text.starts_with(scheme)) {
    throw UsageError{std::string("--") + name +
                     " must be http://HOST:PORT, not \"" + text + '"'};
  }
  return scheme + Address(text.substr(scheme.size()), name);
}

int Serve(const Parsed&, const std::vector<std::string>& names, std::ostream&,
          std::ostream&) {
  return RunServe(names[0]);
}

int Dispatch(const Parsed&, const std::vector<std::string>& names,
             std::ostream&, std::ostream&) {
  return RunDispatch(names[0]);
}

int Check(const Parsed& parsed, const std::vector<std::string>& names,
          std::ostream& out, std::ostream& err) {
  return RunCheck(
      {names[0], parsed.count("json") != 0, parsed.count("canonical") != 0},
      out, err);
}

int ApplyFile(const Parsed& parsed, const std::vector<std::string>& names,
              std::ostream& out, std::ostream& err) {
  ApplyOptions options;
  options.file = names[0];
  options.store_url = Url(Required(parsed, "store"), "store");
  options.is_json = parsed.count("json") != 0;
  options.waits = parsed.count("wait") != 0;
  if (parsed.count("apply-id") != 0)
    options.apply_id = parsed["apply-id"].as<std::string>();
  if (parsed.count("base-revision") != 0)
    options.base_revision = parsed["base-revision"].as<std::uint64_t>();
  if (parsed.count("entry") != 0) {
    for (const auto& it : parsed["entry"].as<std::vector<std::string>>())
      options.entries.push_back(Address(it, "entry"));
  }
  if (options.waits && options.entries.empty())
    throw UsageError{"--wait needs at least one --entry"};
  const auto timeout_s = parsed["timeout-s"].as<std::uint32_t>();
  if (timeout_s == 0 || timeout_s > 3'600)
    throw UsageError{"--timeout-s must be from 1 to 3600"};
  options.timeout = std::chrono::seconds(timeout_s);
  const char* const user = std::getenv("USER");
  options.author = parsed.count("author") != 0
                       ? parsed["author"].as<std::string>()
                       : (user != nullptr ? user : "unknown");
  return RunApply(options, out, err);
}

int Status(const Parsed& parsed, const std::vector<std::string>&,
           std::ostream& out, std::ostream& err) {
  return RunStatus(
      {Address(Required(parsed, "entry"), "entry"), parsed.count("json") != 0},
      out, err);
}

int Explain(const Parsed& parsed, const std::vector<std::string>& names,
            std::ostream& out, std::ostream& err) {
  return RunExplain({Address(Required(parsed, "entry"), "entry"), names[0],
                     names[1], parsed.count("json") != 0},
                    out, err);
}

int Drain(const Parsed& parsed, const std::vector<std::string>& names,
          std::ostream& out, std::ostream& err) {
  return RunDrain({Address(Required(parsed, "entry"), "entry"), names[0],
                   parsed.count("json") != 0},
                  out, err);
}

void DeclareEntry(cxxopts::Options& options) {
  options.add_options()("entry", "admin address of an entry, HOST:PORT",
                        cxxopts::value<std::string>());
}

void DeclareApply(cxxopts::Options& options) {
  auto add = options.add_options();
  add("store", "http://HOST:PORT of the store", cxxopts::value<std::string>());
  add("wait", "wait until the revision is in force on each --entry");
  add("entry", "admin address of an entry, HOST:PORT; may be repeated",
      cxxopts::value<std::vector<std::string>>());
  add("apply-id", "id under which the command can be repeated",
      cxxopts::value<std::string>());
  add("base-revision", "replace only this revision",
      cxxopts::value<std::uint64_t>());
  add("author", "reported to others in conflicts; by default $USER",
      cxxopts::value<std::string>());
  add("timeout-s", "for the write and for --wait",
      cxxopts::value<std::uint32_t>()->default_value("10"));
}

const std::map<std::string, Command>& Commands() {
  static const std::map<std::string, Command> commands = {
      {"serve",
       {"SETTINGS", 1, "  pomelomill serve examples/entry-lombardy-a.ini\n",
        [](cxxopts::Options&) {}, Serve}},
      {"dispatch",
       {"SETTINGS", 1, "  pomelomill dispatch examples/dispatch.ini\n",
        [](cxxopts::Options&) {}, Dispatch}},
      {"check",
       {"FILE", 1,
        "  pomelomill check examples/banderuole.ini\n"
        "  pomelomill check examples/etiketa.ini --canonical\n",
        [](cxxopts::Options& options) {
          options.add_options()("canonical", "print the canonical text");
        },
        Check}},
      {"apply",
       {"FILE", 1,
        "  pomelomill apply examples/banderuole.ini --store "
        "http://127.0.0.1:7000\n"
        "  pomelomill apply new.ini --store http://127.0.0.1:7000 --wait "
        "--entry 127.0.0.1:8082\n",
        DeclareApply, ApplyFile}},
      {"status",
       {"", 0, "  pomelomill status --entry 127.0.0.1:8082 --json\n",
        DeclareEntry, Status}},
      {"explain",
       {"KIND NAME", 2,
        "  pomelomill explain vm lom-01 --entry 127.0.0.1:8082\n"
        "  pomelomill explain wave kernel --entry 127.0.0.1:8082\n",
        DeclareEntry, Explain}},
      {"drain",
       {"VM", 1, "  pomelomill drain lom-01 --entry 127.0.0.1:8082\n",
        DeclareEntry, Drain}},
  };
  return commands;
}

int RunCommand(const std::string& name, const Command& command,
               const std::vector<std::string>& arguments, std::ostream& out,
               std::ostream& err) {
  cxxopts::Options options("pomelomill " + name);
  options.custom_help("[OPTION...]");
  options.positional_help(command.positional);
  options.add_options()("json", "print JSON")("h,help", "print this text")(
      "names", "", cxxopts::value<std::vector<std::string>>());
  command.declare(options);
  options.parse_positional({"names"});

  std::vector<const char*> argv = {"pomelomill"};
  argv.reserve(arguments.size() + 1);
  for (const std::string& it : arguments) argv.push_back(it.c_str());
  const Parsed parsed =
      options.parse(static_cast<int>(argv.size()), argv.data());
  if (parsed.count("help") != 0) {
    out << options.help() << "\nExamples:\n" << command.examples;
    return kExitOk;
  }
  std::vector<std::string> names;
  if (parsed.count("names") != 0)
    names = parsed["names"].as<std::vector<std::string>>();
  if (names.size() != command.positionals) {
    throw UsageError{"expected " +
                     (command.positionals == 0
                          ? std::string("no argument")
                          : std::string(command.positional)) +
                     ", got " + std::to_string(names.size()) + " arguments"};
  }
  return command.run(parsed, names, out, err);
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err) {
  if (arguments.empty()) {
    err << kUsage;
    return kExitUsage;
  }
  const std::string& name = arguments[0];
  if (name == "--help" || name == "-h" || name == "help") {
    out << kUsage;
    return kExitOk;
  }
  if (name == "--version") {
    out << "pomelomill " << POMELOMILL_VERSION << '\n';
    return kExitOk;
  }
  const auto command = Commands().find(name);
  if (command == Commands().end()) {
    err << "pomelomill: unknown command \"" << name
        << "\"; try pomelomill --help\n";
    return kExitUsage;
  }
  std::string reason;
  try {
    return RunCommand(name, command->second,
                      {arguments.begin() + 1, arguments.end()}, out, err);
  } catch (const UsageError& e) {
    reason = e.reason;
  } catch (const cxxopts::exceptions::exception& e) {
    reason = e.what();
  }
  err << "pomelomill " << name << ": " << reason << "; try pomelomill " << name
      << " --help\n";
  return kExitUsage;
}

}  // namespace pomelomill
