#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

/// HTTP/1.1 for the stand-ins of the review: blocking sockets, one thread for
/// each connection, loopback addresses only.
namespace review {

struct Request {
  std::string method;
  /// Without the query.
  std::string path;
  std::map<std::string, std::string> query;
  /// Names in lower case.
  std::map<std::string, std::string> headers;
  std::string body;

  /// The value of a query field or of a header; empty when there is none.
  std::string Query(const std::string& name) const;
  std::string Header(const std::string& name) const;
};

struct Response {
  int status = 200;
  std::string body;
  /// Resets the connection instead of an answer.
  bool is_reset = false;
};

using Handler = std::function<Response(const Request&)>;

/// Milliseconds of Unix time.
std::int64_t WallMs();
/// Milliseconds of the steady clock.
std::int64_t SteadyMs();

/// Serves "HOST:PORT" from threads of its own until the process ends. The
/// handler is called from several threads. Exits with 2 when the address cannot
/// be bound.
void Serve(const std::string& address, Handler handler);

/// Sends one request on a connection of its own. The status of the result is 0
/// when there was no answer within the time.
Response Call(const std::string& address, const std::string& method,
              const std::string& target, const std::string& host,
              const std::string& body, int timeout_ms);

}  // namespace review
