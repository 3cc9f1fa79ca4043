#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace pomelomill {

/// Runs one command line, without the program's name. Returns an ExitCode.
int RunCommandLine(const std::vector<std::string>& arguments, std::ostream& out,
                   std::ostream& err);

}  // namespace pomelomill
