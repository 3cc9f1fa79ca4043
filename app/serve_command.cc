#include "serve_command.h"

#include <iostream>
#include <utility>

#include "log.h"
#include "pomelomill/config.h"
#include "serve_process.h"

namespace pomelomill {

int RunServe(const std::string& settings_file) {
  const auto text = ReadFile(settings_file);
  if (!text) {
    std::cerr << settings_file << ": " << text.error().message() << "\n";
    return 2;
  }
  auto settings = ParseServeSettings(*text, settings_file);
  if (!settings) {
    for (const Diagnostic& it : settings.error())
      std::cerr << ToText(it) << "\n";
    return 2;
  }
  StartLog(settings->log_level, std::cerr);
  const int exit_code = ServeProcess(std::move(*settings)).Run();
  StopLog();
  return exit_code;
}

}  // namespace pomelomill
