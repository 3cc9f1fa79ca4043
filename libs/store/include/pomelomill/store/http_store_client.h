#pragma once

#include <string>

#include "pomelomill/http/http_client.h"
#include "pomelomill/store/store_client.h"

namespace pomelomill {

/// Hooks that speak the store protocol (section 4 of the design) to the
/// service at `url`, "http://HOST:PORT". `http` must outlive the hooks. Writes
/// use a fresh connection: libcurl repeats a request by itself on a reused
/// connection, and a repeated put would report a conflict with itself.
StoreClient HttpStoreClient(HttpClient& http, std::string url);

}  // namespace pomelomill
