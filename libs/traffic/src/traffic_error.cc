#include "pomelomill/traffic/traffic_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "traffic"; }
  std::string message(int value) const override {
    switch (static_cast<TrafficError>(value)) {
      case TrafficError::kListenFailed:
        return "the listening address cannot be used";
    }
    return "unknown traffic error";
  }
};

}  // namespace

const std::error_category& TrafficCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
