#pragma once

#include <http_parser.h>

#include <array>
#include <asio/ip/tcp.hpp>
#include <memory>
#include <string>

#include "endpoint_port.h"

namespace pomelomill::fake_endpoint {

/// One connection of an endpoint. Answers one request after the other; unlike
/// a real server it can cut a response and close at any point.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  /// `open_connections` counts this connection as long as it lives.
  Connection(EndpointPort& owner, std::shared_ptr<std::size_t> open_connections,
             asio::ip::tcp::socket socket);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Start() { Read(); }

 private:
  static int OnUrl(http_parser* parser, const char* at, std::size_t n);
  static int OnField(http_parser* parser, const char* at, std::size_t n);
  static int OnValue(http_parser* parser, const char* at, std::size_t n);
  static int OnComplete(http_parser* parser);

  void Read();
  void Parse();
  void Answer();
  void Write(const EndpointPort::Reply& reply);

  EndpointPort& owner_;
  std::shared_ptr<std::size_t> open_connections_;
  asio::ip::tcp::socket socket_;
  http_parser parser_{};
  std::array<char, 16384> buf_{};
  std::string input_;
  std::string output_;
  std::string target_;
  std::string field_;
  bool is_in_value_ = false;
  std::string id_;
  std::string key_;
  bool is_complete_ = false;
  std::uint64_t requests_ = 0;
};

}  // namespace pomelomill::fake_endpoint
