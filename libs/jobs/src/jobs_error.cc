#include "pomelomill/jobs/jobs_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "jobs"; }
  std::string message(int value) const override {
    switch (static_cast<JobsError>(value)) {
      case JobsError::kMalformedState:
        return "the stored job state is malformed";
      case JobsError::kUnknownClass:
        return "the job class is not declared";
    }
    return "unknown jobs error";
  }
};

}  // namespace

const std::error_category& JobsCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
