#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "pomelomill/http/http_message.h"

namespace asio {
class io_context;
}

namespace pomelomill {

struct HttpClientOptions {
  /// Connections to one address, idle ones included; 0 means no limit.
  /// Requests beyond it wait and count against their timeout.
  std::size_t max_connections_per_host = 0;
  /// Idle connections that are kept, besides those in use.
  std::size_t max_idle_connections = 512;
};

/// Plain HTTP/1.1 exchanges by libcurl's multi interface, on one Asio context
/// and from its thread only. Follows no redirects and uses no proxy.
class HttpClient {
 public:
  using RequestId = std::uint64_t;
  using Callback = std::function<void(HttpResult)>;

  explicit HttpClient(asio::io_context& context,
                      const HttpClientOptions& options = {});
  /// Drops all exchanges without running their callbacks.
  ~HttpClient();

  /// Starts an exchange. The callback runs once, later, unless cancelled.
  RequestId Send(HttpRequest request, Callback callback);

  /// Ends an exchange without running its callback and closes its connection.
  void Cancel(RequestId id);

  /// Exchanges that have neither ended nor been cancelled.
  std::size_t in_flight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
