#include "pomelomill/planner/planner_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "planner"; }
  std::string message(int value) const override {
    switch (static_cast<PlannerError>(value)) {
      case PlannerError::kMissingInput:
        return "the declarations or the region state are missing";
      case PlannerError::kUnknownPool:
        return "a VM belongs to a pool that is not declared";
    }
    return "unknown planner error";
  }
};

}  // namespace

const std::error_category& PlannerCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
