#include "drain_command.h"

#include <ostream>
#include <sstream>
#include <string>

#include "entry_call.h"
#include "exit_code.h"
#include "http_call.h"

namespace pomelomill {

namespace {

/// Admin address of the control lease holder that a refusal names; empty when
/// there is none.
std::string HolderOf(const EntryAnswer& answer) {
  if (answer.status != 409 || !answer.body.is_object()) return "";
  const auto it = answer.body.find("control_admin");
  return it != answer.body.end() && it->is_string() ? it->get<std::string>()
                                                    : "";
}

}  // namespace

int RunDrain(const DrainOptions& options, std::ostream& out,
             std::ostream& err) {
  const std::string path = "/-/drain?vm=" + QueryText(options.vm);
  std::ostringstream first_err;
  EntryAnswer answer =
      CallEntry("drain", "POST", options.entry, path, first_err);
  const std::string holder = HolderOf(answer);
  if (holder.empty()) {
    err << first_err.str();
  } else {
    // Once only: entries that disagree about the holder must not send the
    // command round in circles.
    answer = CallEntry("drain", "POST", holder, path, err);
  }
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
