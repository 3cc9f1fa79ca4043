#include "pomelomill/config/config_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "config"; }
  std::string message(int value) const override {
    switch (static_cast<ConfigError>(value)) {
      case ConfigError::kMalformed:
        return "the declarations are malformed";
      case ConfigError::kTooLarge:
        return "the file is too large";
      case ConfigError::kUnreadable:
        return "the file cannot be read";
      case ConfigError::kMalformedRecord:
        return "the value of config/current is malformed";
      case ConfigError::kOldRevision:
        return "a higher revision has been seen";
      case ConfigError::kRevisionConflict:
        return "another configuration has the same revision";
    }
    return "unknown config error";
  }
};

}  // namespace

const std::error_category& ConfigCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
