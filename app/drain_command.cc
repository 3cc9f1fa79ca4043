#include "drain_command.h"

#include <ostream>

#include "entry_call.h"
#include "exit_code.h"
#include "http_call.h"

namespace pomelomill {

int RunDrain(const DrainOptions& options, std::ostream& out,
             std::ostream& err) {
  const EntryAnswer answer =
      CallEntry("drain", "POST", options.entry,
                "/-/drain?vm=" + QueryText(options.vm), err);
  if (answer.exit_code != kExitOk) return answer.exit_code;
  if (options.is_json) {
    out << answer.body << '\n';
  } else {
    out << "drain of " << options.vm << " accepted\n";
    PrintLines(answer.body, out);
  }
  return kExitOk;
}

}  // namespace pomelomill
