#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "pomelomill/base/time.h"

namespace pomelomill {

struct HttpHeader {
  std::string name;
  std::string value;
};

/// Compares header names, which do not depend on case.
bool IsSameHeaderName(std::string_view a, std::string_view b);

/// Whether the text contains a line break or a NUL, which a method or a header
/// must not: a peer could take the rest for another header.
bool HasLineBreak(std::string_view text);

struct HttpRequest {
  std::string method = "GET";
  /// "http://ip:port/path".
  std::string url;
  std::vector<HttpHeader> headers;
  std::string body;
  /// From the call to the complete response.
  Duration timeout = std::chrono::seconds(5);
  Duration connect_timeout = std::chrono::seconds(1);
  /// HttpClient sends a request again by itself, also a POST, when a reused
  /// connection dies before the first response byte; PersistentHttpClient only
  /// a GET. A request that must not be repeated sets this.
  bool use_fresh_connection = false;
  /// PersistentHttpClient closes the idle connections to the peer, which may
  /// have gone silent, and sends the request on a new one.
  bool distrusts_idle_connections = false;
  std::size_t max_response_bytes = std::size_t{8} << 20;
};

struct HttpResponse {
  int status = 0;
  std::vector<HttpHeader> headers;
  std::string body;

  /// The value of the first header of that name, compared without case;
  /// empty when there is none.
  std::string_view header(std::string_view name) const;
};

/// How an exchange ended. `response` is complete when `error` is clear and
/// empty otherwise.
struct HttpResult {
  std::error_code error;
  /// False only when it is certain that no byte of the request went out.
  bool may_have_been_sent = true;
  /// The peer's machine closed a connection in an orderly way since the peer
  /// last responded, as it does when the process ends. A partition that resets
  /// connections does not. Set by PersistentHttpClient only.
  bool has_peer_closed = false;
  HttpResponse response;
};

}  // namespace pomelomill
