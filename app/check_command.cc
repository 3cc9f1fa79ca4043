#include "check_command.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "exit_code.h"
#include "pomelomill/config.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

Json ErrorsJson(const std::vector<Diagnostic>& errors) {
  Json list = Json::array();
  for (const Diagnostic& it : errors) {
    list.push_back({{"file", it.file},
                    {"line", it.line},
                    {"key", it.key},
                    {"reason", it.reason}});
  }
  return list;
}

}  // namespace

int RunCheck(const CheckOptions& options, std::ostream& out,
             std::ostream& err) {
  const auto text = ReadFile(options.file);
  std::vector<Diagnostic> errors;
  if (!text) {
    errors.push_back({options.file, 0, "", text.error().message()});
  } else {
    const auto parsed = Parse(*text, options.file);
    if (parsed) {
      if (options.is_json) {
        out << Json{{"valid", true},
                    {"pools", parsed->pools.size()},
                    {"services", parsed->services.size()},
                    {"queues", parsed->queues.size()}}
                   .dump()
            << '\n';
      } else if (options.prints_canonical) {
        out << CanonicalText(*parsed);
      } else {
        out << options.file << ": valid, " << parsed->pools.size() << " pools, "
            << parsed->services.size() << " services, " << parsed->queues.size()
            << " queues\n";
      }
      return kExitOk;
    }
    errors = parsed.error();
  }
  if (options.is_json) {
    out << Json{{"valid", false}, {"errors", ErrorsJson(errors)}}.dump(
               -1, ' ', false, Json::error_handler_t::replace)
        << '\n';
  } else {
    err << ToText(errors);
  }
  return kExitInvalidFile;
}

}  // namespace pomelomill
