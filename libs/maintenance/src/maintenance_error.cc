#include "pomelomill/maintenance/maintenance_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "maintenance"; }
  std::string message(int value) const override {
    switch (static_cast<MaintenanceError>(value)) {
      case MaintenanceError::kMissingInput:
        return "the declarations or the region state are absent";
      case MaintenanceError::kUnknownWave:
        return "no maintenance wave with this id is declared";
    }
    return "unknown maintenance error";
  }
};

}  // namespace

const std::error_category& MaintenanceCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
