#include "pomelomill/control/control_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "control"; }
  std::string message(int value) const override {
    switch (static_cast<ControlError>(value)) {
      case ControlError::kSuperseded:
        return "another entry has taken over control of the region";
      case ControlError::kStoreFailed:
        return "the read or write of the region state in the store failed";
      case ControlError::kBadRegionState:
        return "the region state in the store cannot be parsed";
      case ControlError::kNotHolder:
        return "this entry does not hold the control lease";
      case ControlError::kUnknownVm:
        return "the VM is not in the region state";
    }
    return "unknown control error";
  }
};

}  // namespace

const std::error_category& ControlCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
