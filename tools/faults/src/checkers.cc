#include "checkers.h"

namespace pomelomill::faults {
namespace {

template <typename Checker>
void Run(const std::string& property, const Checker& checker,
         const Evidence& evidence, std::vector<Finding>& found) {
  for (const std::string& text : checker.Check(evidence)) {
    found.push_back({property, text});
  }
}

}  // namespace

std::vector<Finding> CheckProperties(const std::vector<std::string>& properties,
                                     const Evidence& evidence) {
  std::vector<Finding> found;
  for (const std::string& it : properties) {
    if (it == "P1") Run(it, BudgetChecker(), evidence, found);
    if (it == "P2") Run(it, OnePoolChecker(), evidence, found);
    if (it == "P3") Run(it, ResponseChecker(), evidence, found);
    if (it == "P4") Run(it, NotRunChecker(), evidence, found);
    if (it == "P5") Run(it, AtMostOnceChecker(), evidence, found);
    if (it == "P6") Run(it, LeavingChecker(), evidence, found);
    if (it == "P7") Run(it, GracefulStopChecker(), evidence, found);
    if (it == "P8") Run(it, ConfigurationChecker(), evidence, found);
  }
  return found;
}

}  // namespace pomelomill::faults
