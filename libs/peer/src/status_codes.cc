#include "status_codes.h"

#include "pomelomill/membership/membership_error.h"
#include "pomelomill/peer/peer_error.h"

namespace pomelomill::wire {

grpc::Status StatusOf(std::error_code ec) {
  grpc::StatusCode code = grpc::StatusCode::ABORTED;
  if (ec == PeerError::kDeadIncarnation ||
      ec == MembershipError::kDeadIncarnation) {
    code = grpc::StatusCode::FAILED_PRECONDITION;
  } else if (ec == PeerError::kOverloaded) {
    code = grpc::StatusCode::RESOURCE_EXHAUSTED;
  } else if (ec == PeerError::kBadMessage ||
             ec == MembershipError::kBadReport) {
    code = grpc::StatusCode::INVALID_ARGUMENT;
  }
  return {code, ec.message()};
}

std::error_code ErrorOf(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::UNAVAILABLE:
      return PeerError::kUnavailable;
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return PeerError::kTimeout;
    case grpc::StatusCode::RESOURCE_EXHAUSTED:
      // gRPC itself uses this code for a message beyond the size limit, which
      // it may find only in the response.
      return status.error_message().find("larger than max") == std::string::npos
                 ? PeerError::kOverloaded
                 : PeerError::kTooLarge;
    case grpc::StatusCode::INVALID_ARGUMENT:
      return PeerError::kBadMessage;
    case grpc::StatusCode::FAILED_PRECONDITION:
      return PeerError::kDeadIncarnation;
    case grpc::StatusCode::ABORTED:
      return PeerError::kRefused;
    case grpc::StatusCode::CANCELLED:
      return PeerError::kCancelled;
    default:
      return PeerError::kFailed;
  }
}

}  // namespace pomelomill::wire
