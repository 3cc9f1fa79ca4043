#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "pomelomill/http/http_message.h"

namespace asio {
class io_context;
}

namespace pomelomill {

struct PersistentHttpClientOptions {
  /// Idle connections that are kept to one address.
  std::size_t max_idle_connections_per_host = 4;
  /// Called when the client sends a request again by itself.
  std::function<void(const HttpRequest&)> on_repeat = {};
};

/// HTTP/1.1 exchanges with peers that are called many times a second, on Asio
/// and http_parser. Does what HttpClient does for a fraction of the processor
/// time: connections stay registered with the event loop, and an exchange takes
/// one write and one read. Only addresses in figures are understood; there is
/// no proxy, no redirect and no HEAD.
///
/// A request is written at most once, so that the result is that of its only
/// copy. A GET, which has no effects, is sent once more on a new connection
/// when a reused one ends before the first byte of the response.
///
/// When a request times out without a byte of the response, and the peer has
/// not responded on another connection since it was sent, the idle connections
/// to the peer are closed: they may have gone silent together.
class PersistentHttpClient {
 public:
  using Callback = std::function<void(HttpResult)>;

  explicit PersistentHttpClient(
      asio::io_context& context,
      const PersistentHttpClientOptions& options = {});
  /// Drops all exchanges without running their callbacks.
  ~PersistentHttpClient();
  PersistentHttpClient(const PersistentHttpClient&) = delete;
  PersistentHttpClient& operator=(const PersistentHttpClient&) = delete;

  /// Starts an exchange. The callback runs once, after the call has returned.
  void Send(HttpRequest request, Callback callback);

  /// Exchanges that have not ended.
  std::size_t in_flight() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
