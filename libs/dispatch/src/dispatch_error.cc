#include "pomelomill/dispatch/dispatch_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "dispatch"; }
  std::string message(int value) const override {
    switch (static_cast<DispatchError>(value)) {
      case DispatchError::kMalformedRecord:
        return "the stored record is malformed";
      case DispatchError::kInvalidJob:
        return "the job is invalid";
    }
    return "unknown dispatch error";
  }
};

}  // namespace

const std::error_category& DispatchCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
