#pragma once

#include <grpcpp/support/status.h>

#include <system_error>

// Between the errors of this library and the status codes of gRPC
// (https://grpc.github.io/grpc/core/md_doc_statuscodes.html).

namespace pomelomill::wire {

/// The status for an error that a handler returned.
grpc::Status StatusOf(std::error_code ec);

/// The error for a status other than OK.
std::error_code ErrorOf(const grpc::Status& status);

}  // namespace pomelomill::wire
