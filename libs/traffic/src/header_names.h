#pragma once

#include <string_view>

namespace pomelomill {

/// Returns whether the header applies to a single connection and must not be
/// forwarded: the hop-by-hop headers of RFC 9110, 7.6.1, and Content-Length,
/// which is computed anew for each connection.
bool IsHopByHopHeader(std::string_view name);

}  // namespace pomelomill
