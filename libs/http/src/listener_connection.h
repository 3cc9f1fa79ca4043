#pragma once

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "pomelomill/http/http_listener.h"
#include "pomelomill/http/memory_budget.h"
#include "request_reader.h"

namespace pomelomill {

/// What a connection needs of its listener.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  /// Shared by all connections, since each uses it only for one read.
  virtual std::span<char> read_buffer() = 0;
  /// Returns false when nobody takes requests any more.
  virtual bool OnRequest(IncomingRequest request, RespondHook respond) = 0;
  virtual void OnClosed(std::uint64_t connection) = 0;
  /// An incomplete request was dropped to free memory.
  virtual void OnDropped(std::string_view reason, std::size_t bytes) = 0;
};

/// A connection of an HttpListener. Its pending operations and the hooks of its
/// unanswered requests keep it alive, so that it may outlive the listener: it
/// sends the responses and is closed then.
class ListenerConnection
    : public std::enable_shared_from_this<ListenerConnection> {
 public:
  using Clock = asio::steady_timer::clock_type;

  ListenerConnection(asio::ip::tcp::socket socket, std::uint64_t id,
                     std::shared_ptr<const HttpListenerOptions> options,
                     std::weak_ptr<ConnectionOwner> owner);

  /// Starts to read; returns false when the budget has no room for a
  /// connection.
  bool Start();
  /// Reads no further request and closes once all responses are sent.
  void StopReading();
  void Close();
  /// Whether something has taken too long, which CheckDeadlines() ends.
  bool IsOverdue(Clock::time_point now) const {
    return now >= write_deadline_ || now >= read_deadline_;
  }
  void CheckDeadlines(Clock::time_point now);

  /// Order in which connections give way to new ones, the lowest first: those
  /// never used, incomplete requests that take long, idle ones, other
  /// incomplete requests, each the oldest first. None while complete requests
  /// or responses are pending.
  std::optional<std::pair<int, Clock::time_point>> DisplacementRank() const;
  /// Memory that it holds.
  std::size_t memory() const;

 private:
  /// A request that is handled, or whose response waits for its turn.
  struct Slot {
    std::uint64_t sequence = 0;
    /// Memory of the request until its response is given.
    std::size_t request_memory = 0;
    bool keeps_connection = false;
    bool is_answered = false;
    bool closes_connection = false;
    std::string response;
  };

  bool is_reading() const;
  void DropIncomplete();
  void WaitForBytes();
  void Read();
  void Consume(std::string_view bytes);
  void ReadNext(std::string_view& bytes);
  void Deliver();
  void Reject(int status);
  void Respond(std::uint64_t sequence, const OutgoingResponse& response);
  void Flush();
  void WriteRest(std::size_t written);
  void FinishFront();
  void Resume();
  void UpdateReadDeadline();
  /// Closes the connection when its responses do not fit.
  void UpdateKept();

  asio::ip::tcp::socket socket_;
  const std::uint64_t id_;
  const std::shared_ptr<const HttpListenerOptions> options_;
  const std::weak_ptr<ConnectionOwner> owner_;
  MemoryBudget::Account account_;
  RequestReader reader_;
  /// Bytes that wait for the next turn, or for room below the limit on
  /// pipelined requests.
  std::string unparsed_;
  std::vector<Slot> slots_;
  /// The response of the first slot while it is being written.
  std::string writing_;
  std::uint64_t last_sequence_ = 0;
  Clock::time_point waiting_since_ = Clock::now();
  Clock::time_point read_deadline_ = Clock::time_point::max();
  Clock::time_point write_deadline_ = Clock::time_point::max();
  bool is_waiting_for_bytes_ = false;
  bool is_consuming_ = false;
  bool is_writing_ = false;
  bool has_stopped_reading_ = false;
  bool is_closed_ = false;
};

}  // namespace pomelomill
