#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "pomelomill/base/result.h"
#include "pomelomill/base/time.h"
#include "pomelomill/http/http_message.h"
#include "pomelomill/http/memory_budget.h"

namespace asio {
class io_context;
}

namespace pomelomill {

/// A request that was read completely.
struct IncomingRequest {
  /// Identifies the connection until on_closed has reported it.
  std::uint64_t connection = 0;
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;

  /// The first header of that name, compared without case; empty if none.
  std::string_view header(std::string_view name) const;
};

struct OutgoingResponse {
  int status = 200;
  /// Without Content-Length and Connection, which the listener adds.
  std::vector<HttpHeader> headers;
  std::string body;
  /// Close the connection after this response.
  bool closes_connection = false;
};

struct HttpListenerOptions {
  std::string address = "127.0.0.1";
  /// 0 takes any free port.
  std::uint16_t port = 0;
  std::size_t max_connections = 1024;
  /// At the limit, a new connection displaces an idle one, or else the oldest
  /// incomplete request; otherwise it is closed itself.
  bool displaces_connections = false;
  /// Target, names and values together; 431 beyond.
  std::size_t max_header_bytes = std::size_t{16} << 10;
  /// The connection is closed beyond.
  std::size_t max_body_bytes = std::size_t{8} << 20;
  /// From the first chance to read a request until it is complete; also ends
  /// idle connections.
  Duration message_timeout = std::chrono::seconds(10);
  Duration write_timeout = std::chrono::seconds(10);
  /// Requests of one connection that are read before the first is answered.
  std::size_t max_pipelined = 8;
  /// Bounds what the connections hold; may be shared by listeners of one
  /// thread. Empty for no bound.
  std::shared_ptr<MemoryBudget> memory_budget = {};
};

/// Sends the response; call once. Nothing happens when the connection is gone.
using RespondHook = std::function<void(OutgoingResponse)>;

struct HttpListenerHooks {
  std::function<void(IncomingRequest, RespondHook)> on_request;
  /// The caller has gone; responses to its requests have no reader.
  std::function<void(std::uint64_t connection)> on_closed;
  /// A connection gave way: an incomplete request of `bytes` was dropped to
  /// free "memory", or a connection was closed for a new one ("connections").
  std::function<void(std::string_view reason, std::size_t bytes)> on_dropped =
      {};
};

/// HTTP/1.1 server on one Asio context with http_parser; use from its thread.
/// Responses of one connection are sent in the order of its requests,
/// whatever order they are given in. A connection with malformed input, an
/// oversize field or body, or a slow sender is closed.
class HttpListener {
 public:
  HttpListener(asio::io_context& context, HttpListenerOptions options,
               HttpListenerHooks hooks);
  ~HttpListener();

  /// Binds and starts to accept; kListenFailed.
  Status Start();
  /// Stops accepting; open connections go on.
  void StopAccepting();

  /// The port that was bound.
  std::uint16_t port() const;
  std::size_t open_connections() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace pomelomill
