#include "pomelomill/store/store_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "store"; }
  std::string message(int value) const override {
    switch (static_cast<StoreError>(value)) {
      case StoreError::kConflict:
        return "the value was changed by another writer";
      case StoreError::kNotFound:
        return "no such key";
      case StoreError::kUnavailable:
        return "the key-value service is unavailable";
      case StoreError::kRateLimited:
        return "the key-value service refused the call by its rate limit";
      case StoreError::kOutcomeUnknown:
        return "the call may or may not have taken effect";
      case StoreError::kLeaseLapsed:
        return "the lease has lapsed";
      case StoreError::kBadResponse:
        return "the key-value service sent a malformed response";
      case StoreError::kHistoryLost:
        return "the store has discarded this part of its history";
    }
    return "unknown store error";
  }
};

}  // namespace

const std::error_category& StoreCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
