#pragma once

#include <system_error>

namespace pomelomill {

/// Returns the HttpError of a failed attempt to connect. `os_error` is the
/// errno of the attempt, or 0 when no socket could be created.
std::error_code ConnectError(long os_error);

}  // namespace pomelomill
