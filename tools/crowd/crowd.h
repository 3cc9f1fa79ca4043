#pragma once

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace pomelomill::crowd {

/// What each connection of a crowd sends. All connections stay open afterwards
/// and read nothing.
struct CrowdShape {
  std::size_t connections = 0;
  /// Sent once.
  std::string head;
  /// Sent `repeats` times after the head.
  std::string piece;
  std::size_t repeats = 0;
};

/// Returns the shape of that kind: "large-chunks" and "byte-chunks" are
/// chunked bodies that stop just short of 262,144 bytes and of their end,
/// "silent" sends nothing, "unread" sends complete requests. Other kinds have
/// no connections.
CrowdShape ShapeOf(const std::string& kind);

/// Clients of one address, on a thread of their own, until destroyed.
class Crowd {
 public:
  Crowd(const std::string& address, const CrowdShape& shape);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Connections that have sent everything or have been closed by the peer.
  std::size_t finished() const { return finished_; }
  std::size_t refused() const { return refused_; }

 private:
  struct Client {
    explicit Client(asio::io_context& context) : socket(context) {}
    asio::ip::tcp::socket socket;
    std::size_t pieces_left = 0;
  };

  void WritePiece(const std::shared_ptr<Client>& client);
  void Finish(bool is_refused);

  const CrowdShape shape_;
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::vector<std::shared_ptr<Client>> clients_;
  std::atomic<std::size_t> finished_ = 0;
  std::atomic<std::size_t> refused_ = 0;
  std::thread thread_;
};

}  // namespace pomelomill::crowd
