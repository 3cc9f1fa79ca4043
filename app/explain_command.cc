#include "explain_command.h"

#include <ostream>

#include "entry_call.h"
#include "exit_code.h"
#include "http_call.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

std::string ValueText(const Json& json) {
  return json.is_string() ? json.get<std::string>() : json.dump();
}

std::string Text(const Json& json, const char* name) {
  const auto it = json.find(name);
  return it == json.end() ? "" : ValueText(*it);
}

void PrintDecision(const Json& decision, std::ostream& out) {
  out << '#' << Text(decision, "sequence") << ' ' << Text(decision, "choice")
      << ": " << Text(decision, "reason") << '\n';
  if (const auto facts = decision.find("facts"); facts != decision.end()) {
    for (const auto& [name, value] : facts->items())
      out << "  fact " << name << " = " << ValueText(value) << '\n';
  }
  const auto others = decision.find("alternatives");
  if (others == decision.end()) return;
  for (const Json& it : *others) {
    if (!it.is_object()) continue;
    out << "  not " << Text(it, "name") << ": " << Text(it, "reason")
        << ", margin " << Text(it, "margin") << '\n';
  }
}

}  // namespace

int RunExplain(const ExplainOptions& options, std::ostream& out,
               std::ostream& err) {
  const EntryAnswer answer =
      CallEntry("explain", "GET", options.entry,
                "/-/explain?kind=" + QueryText(options.kind) +
                    "&name=" + QueryText(options.name),
                err);
  if (answer.exit_code != kExitOk) return answer.exit_code;
  if (options.is_json) {
    out << answer.body << '\n';
    return kExitOk;
  }
  const Json& body = answer.body;
  const Json decisions =
      body.is_object() && body.contains("decisions") ? body["decisions"] : body;
  if (!decisions.is_array()) {
    err << "explain: " << options.entry << ": malformed response\n";
    return kExitFailed;
  }
  if (decisions.empty()) {
    out << "no decisions on " << options.kind << ' ' << options.name << '\n';
  }
  for (const Json& it : decisions) {
    if (it.is_object()) PrintDecision(it, out);
  }
  return kExitOk;
}

}  // namespace pomelomill
