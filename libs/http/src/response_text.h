#pragma once

#include <string>

#include "pomelomill/http/http_listener.h"

namespace pomelomill {

/// The response as it is sent.
std::string EncodeResponse(const OutgoingResponse& response,
                           bool keeps_connection);

}  // namespace pomelomill
