#include "crowd.h"

#include <asio/write.hpp>
#include <cstdint>
#include <cstdlib>
#include <system_error>

namespace pomelomill::crowd {
namespace {

using asio::ip::tcp;

/// The configured limit on a body.
constexpr std::size_t kMaxBodyBytes = 262'144;
constexpr std::size_t kLargeChunkBytes = 32'000;
/// Bodies of 105 MB together.
constexpr std::size_t kLargeBodies = 400;
constexpr std::size_t kByteChunkBodies = 32;
/// More than the 1,024 connections that a listener takes by default.
constexpr std::size_t kSilentConnections = 1'500;
constexpr std::size_t kUnreadConnections = 200;
constexpr std::size_t kUnreadRequests = 2'000;
constexpr std::size_t kRequestsOfPiece = 20;

constexpr const char* kChunkedHead =
    "POST /jobs/00000000000000c0 HTTP/1.1\r\nHost: soak.example\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

std::string Chunk(std::size_t bytes) {
  constexpr const char* kDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t rest = bytes; rest != 0; rest /= 16)
    size.insert(size.begin(), kDigits[rest % 16]);
  return size + "\r\n" + std::string(bytes, 'x') + "\r\n";
}

std::string Repeat(const std::string& text, std::size_t times) {
  std::string all;
  for (std::size_t i = 0; i < times; ++i) all += text;
  return all;
}

}  // namespace

CrowdShape ShapeOf(const std::string& kind) {
  if (kind == "large-chunks") {
    return {.connections = kLargeBodies,
            .head = kChunkedHead,
            .piece = Chunk(kLargeChunkBytes),
            .repeats = kMaxBodyBytes / kLargeChunkBytes};
  }
  if (kind == "byte-chunks") {
    constexpr std::size_t kChunksOfPiece = 2'000;
    return {.connections = kByteChunkBodies,
            .head = kChunkedHead,
            .piece = Repeat(Chunk(1), kChunksOfPiece),
            .repeats = kMaxBodyBytes / kChunksOfPiece};
  }
  if (kind == "silent") return {.connections = kSilentConnections};
  if (kind == "unread") {
    return {.connections = kUnreadConnections,
            .piece = Repeat("GET /none HTTP/1.1\r\nHost: soak.example\r\n\r\n",
                            kRequestsOfPiece),
            .repeats = kUnreadRequests / kRequestsOfPiece};
  }
  return {};
}

Crowd::Crowd(const std::string& address, const CrowdShape& shape)
    : shape_(shape), work_(context_.get_executor()) {
  const auto port = static_cast<std::uint16_t>(
      std::strtoul(address.substr(address.find(':') + 1).c_str(), nullptr, 10));
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  for (std::size_t i = 0; i < shape_.connections; ++i) {
    auto client = std::make_shared<Client>(context_);
    clients_.push_back(client);
    client->pieces_left = shape_.repeats;
    client->socket.async_connect(endpoint, [this, client](std::error_code ec) {
      if (ec) return Finish(true);
      asio::async_write(client->socket, asio::buffer(shape_.head),
                        [this, client](std::error_code result, std::size_t) {
                          if (result) return Finish(true);
                          WritePiece(client);
                        });
    });
  }
  thread_ = std::thread([this] { context_.run(); });
}

Crowd::~Crowd() {
  context_.stop();
  thread_.join();
}

void Crowd::WritePiece(const std::shared_ptr<Client>& client) {
  if (client->pieces_left == 0) return Finish(false);
  --client->pieces_left;
  asio::async_write(client->socket, asio::buffer(shape_.piece),
                    [this, client](std::error_code ec, std::size_t) {
                      if (ec) return Finish(true);
                      WritePiece(client);
                    });
}

void Crowd::Finish(bool is_refused) {
  if (is_refused) ++refused_;
  ++finished_;
}

}  // namespace pomelomill::crowd
