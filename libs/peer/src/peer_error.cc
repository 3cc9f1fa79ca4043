#include "pomelomill/peer/peer_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "peer"; }
  std::string message(int value) const override {
    switch (static_cast<PeerError>(value)) {
      case PeerError::kUnavailable:
        return "the peer is unreachable";
      case PeerError::kTimeout:
        return "the peer did not answer before the deadline";
      case PeerError::kOverloaded:
        return "the peer has too many calls in progress";
      case PeerError::kTooLarge:
        return "the message is larger than allowed";
      case PeerError::kBadMessage:
        return "the message is malformed";
      case PeerError::kDeadIncarnation:
        return "the peer knows that this incarnation was replaced";
      case PeerError::kRefused:
        return "the peer refused the call";
      case PeerError::kCancelled:
        return "the call was cancelled";
      case PeerError::kFailed:
        return "the call failed";
    }
    return "unknown peer error";
  }
};

}  // namespace

const std::error_category& PeerCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
