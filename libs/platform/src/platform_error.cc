#include "pomelomill/platform/platform_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "platform"; }
  std::string message(int value) const override {
    switch (static_cast<PlatformError>(value)) {
      case PlatformError::kUnavailable:
        return "the platform is unavailable; the call had no effect";
      case PlatformError::kOutcomeUnknown:
        return "the call may or may not have taken effect";
      case PlatformError::kWrongGeneration:
        return "the VM has another generation";
      case PlatformError::kNotFound:
        return "no such VM, worker or task";
      case PlatformError::kRefused:
        return "the platform refused the call";
      case PlatformError::kBadResponse:
        return "the platform sent a malformed response";
      case PlatformError::kBadRegionState:
        return "the region state is malformed";
    }
    return "unknown platform error";
  }
};

}  // namespace

const std::error_category& PlatformCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
