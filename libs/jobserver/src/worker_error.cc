#include <string>

#include "pomelomill/jobserver/worker_calls.h"

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "worker"; }
  std::string message(int value) const override {
    switch (static_cast<WorkerError>(value)) {
      case WorkerError::kConnectionRefused:
        return "the connection to the worker was refused";
      case WorkerError::kProcessEnded:
        return "nothing listens at the worker's address";
      case WorkerError::kNoResponse:
        return "the worker did not respond";
      case WorkerError::kFenced:
        return "the worker has seen a higher fencing token";
      case WorkerError::kOtherIncarnation:
        return "another worker or incarnation is at the worker's address";
      case WorkerError::kMalformedResponse:
        return "the worker's response is malformed";
      case WorkerError::kUnreachable:
        return "no connection to the worker could be established";
      case WorkerError::kNotSent:
        return "this process could not open a connection to the worker";
      case WorkerError::kConnectionEnded:
        return "the connection ended before the worker responded";
    }
    return "unknown worker error";
  }
};

}  // namespace

const std::error_category& WorkerCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
