#include "pomelomill/config/diagnostic.h"

namespace pomelomill {

std::string ToText(const Diagnostic& diagnostic) {
  std::string text = diagnostic.file;
  if (diagnostic.line != 0) text += ':' + std::to_string(diagnostic.line);
  text += ": ";
  if (!diagnostic.key.empty()) text += diagnostic.key + ": ";
  return text + diagnostic.reason;
}

std::string ToText(const std::vector<Diagnostic>& diagnostics) {
  std::string text;
  for (const Diagnostic& it : diagnostics) text += ToText(it) + '\n';
  return text;
}

}  // namespace pomelomill
