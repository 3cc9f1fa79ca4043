#pragma once

#include <string_view>

namespace pomelomill {

/// Compares header names, which do not depend on case.
bool IsSameHeaderName(std::string_view a, std::string_view b);

/// Connection, Keep-Alive, Transfer-Encoding and the like (RFC 9110, 7.6.1),
/// and Content-Length, which each connection computes anew.
bool IsHopByHopHeader(std::string_view name);

}  // namespace pomelomill
