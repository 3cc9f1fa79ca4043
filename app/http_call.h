#pragma once

#include <string>

#include "pomelomill/http.h"

namespace pomelomill {

/// Sends one request and waits for its end.
HttpResult CallAndWait(HttpRequest request);

/// "http://" and an admin address with a path.
std::string AdminUrl(const std::string& address, const std::string& path);

/// Text for a query parameter (RFC 3986).
std::string QueryText(const std::string& text);

/// Value of one parameter of a request target's query, with percent escapes
/// resolved; empty when it is absent.
std::string QueryValue(const std::string& target, const std::string& name);

}  // namespace pomelomill
