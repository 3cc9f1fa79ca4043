#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

#include "cases.h"
#include "runner.h"

/// Usage: case-2 CASE DIRECTORY RECORD, or case-2 runner ID (started by the
/// former). Exits with 1 if the rule of the case was broken, 0 if it held, 2 if
/// the case could not run.
int main(int argc, char** argv) {
  namespace review = pomelomill::review;
  if (argc == 3 && std::string(argv[1]) == "runner")
    return review::ServeRunner(argv[2]);
  if (argc != 4) {
    std::cerr << "usage: " << argv[0] << " CASE DIRECTORY RECORD\n";
    return review::kCouldNotRun;
  }
  const char* const trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  int result = review::kCouldNotRun;
  try {
    result = review::RunCase(argv[1], argv[2], argv[3], has_trouble);
  } catch (const std::exception& e) {
    std::cerr << argv[0] << ": " << e.what() << "\n";
  }
  std::cout << std::flush;
  // The stand-ins' threads never end.
  std::_Exit(result);
}
