#pragma once

#include <string>

#include "pomelomill/platform/platform_client.h"

namespace pomelomill {

class HttpClient;

/// The platform's services over HTTP (design, section 4). `base_url` is
/// "http://ip:port"; `http` must outlive the client. Calls that change
/// something end with kUnavailable only when they certainly had no effect,
/// otherwise with kOutcomeUnknown; reads always end with kUnavailable.
PlatformClient MakeHttpPlatformClient(HttpClient& http,
                                      const std::string& base_url);

}  // namespace pomelomill
