#include "status_command.h"

#include <ostream>

#include "entry_call.h"
#include "exit_code.h"

namespace pomelomill {

int RunStatus(const StatusOptions& options, std::ostream& out,
              std::ostream& err) {
  const EntryAnswer answer =
      CallEntry("status", "GET", options.entry, "/-/status", err);
  if (answer.exit_code != kExitOk) return answer.exit_code;
  if (options.is_json) {
    out << answer.body << '\n';
  } else {
    PrintLines(answer.body, out);
  }
  return kExitOk;
}

}  // namespace pomelomill
