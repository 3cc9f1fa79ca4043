#include "pomelomill/membership/membership_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "membership"; }
  std::string message(int value) const override {
    switch (static_cast<MembershipError>(value)) {
      case MembershipError::kDeadIncarnation:
        return "the incarnation was replaced or declared dead";
      case MembershipError::kBadReport:
        return "the member report is malformed";
      case MembershipError::kOlderState:
        return "the state is older than the one in force";
      case MembershipError::kTableFull:
        return "the member table is full";
    }
    return "unknown membership error";
  }
};

}  // namespace

const std::error_category& MembershipCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
