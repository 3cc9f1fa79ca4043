#include "listener_connection.h"

#include <algorithm>
#include <array>
#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>
#include <system_error>

#include "response_text.h"

namespace pomelomill {
namespace {

using asio::ip::tcp;

/// Memory of a connection without requests: the object, its descriptor in the
/// event loop and its pending operations.
constexpr std::size_t kConnectionBytes = std::size_t{2} << 10;
/// A handler that decodes a body and encodes it for the store holds about two
/// more copies of it.
constexpr std::size_t kBodyCopies = 3;
/// Unread input that is discarded before a close: with input left, the close
/// would reset the connection and the peer could lose the response.
constexpr std::size_t kDiscardBytes = std::size_t{64} << 10;

/// Assignment of an empty string would keep the capacity.
void Free(std::string& text) { std::string().swap(text); }

/// An ordinary request is complete within a fraction of this time.
constexpr auto kStallTime = std::chrono::seconds(1);

constexpr auto kNever = ListenerConnection::Clock::time_point::max();

}  // namespace

ListenerConnection::ListenerConnection(
    tcp::socket socket, std::uint64_t id,
    std::shared_ptr<const HttpListenerOptions> options,
    std::weak_ptr<ConnectionOwner> owner)
    : socket_(std::move(socket)),
      id_(id),
      options_(std::move(options)),
      owner_(std::move(owner)),
      account_(options_->memory_budget, [this] { DropIncomplete(); }),
      reader_(options_->max_header_bytes, options_->max_body_bytes) {}

bool ListenerConnection::Start() {
  if (!account_.SetKept(kConnectionBytes)) return false;
  UpdateReadDeadline();
  WaitForBytes();
  return true;
}

bool ListenerConnection::is_reading() const {
  return !is_closed_ && !has_stopped_reading_ &&
         slots_.size() < options_->max_pipelined;
}

std::size_t ListenerConnection::memory() const {
  return account_.incomplete() + account_.kept();
}

void ListenerConnection::StopReading() {
  if (is_closed_) return;
  has_stopped_reading_ = true;
  reader_.Reset();
  Free(unparsed_);
  account_.SetIncomplete(0);
  read_deadline_ = kNever;
  if (slots_.empty()) Close();
}

void ListenerConnection::DropIncomplete() {
  const auto self = shared_from_this();
  const std::size_t bytes = account_.incomplete();
  StopReading();
  if (const auto owner = owner_.lock()) owner->OnDropped("memory", bytes);
}

void ListenerConnection::Close() {
  if (is_closed_) return;
  is_closed_ = true;
  std::error_code ec;
  std::array<char, 4096> discarded;
  for (std::size_t n = 0; n < kDiscardBytes && !ec;)
    n += socket_.read_some(asio::buffer(discarded), ec);
  socket_.shutdown(tcp::socket::shutdown_both, ec);
  socket_.close(ec);
  reader_.Reset();
  Free(unparsed_);
  read_deadline_ = write_deadline_ = kNever;
  account_.SetIncomplete(0);
  // The handlers still hold their requests; without this, a client could have
  // any number of them handled by closing its connections.
  std::erase_if(slots_, [](const Slot& it) { return it.is_answered; });
  std::size_t handled = 0;
  for (const Slot& it : slots_) handled += it.request_memory;
  account_.SetKept(handled);
  if (const auto owner = owner_.lock()) owner->OnClosed(id_);
}

void ListenerConnection::CheckDeadlines(Clock::time_point now) {
  if (now >= write_deadline_) return Close();
  if (now >= read_deadline_) StopReading();
}

std::optional<std::pair<int, ListenerConnection::Clock::time_point>>
ListenerConnection::DisplacementRank() const {
  if (is_closed_ || !slots_.empty()) return std::nullopt;
  // Connections that were opened and never used give way first.
  const bool is_used = last_sequence_ != 0;
  const bool is_stalled =
      reader_.has_begun() && Clock::now() - waiting_since_ > kStallTime;
  const int rank = is_stalled ? 1 : reader_.has_begun() ? 3 : is_used ? 2 : 0;
  return std::pair(rank, waiting_since_);
}

void ListenerConnection::UpdateReadDeadline() {
  const bool expects_bytes = !has_stopped_reading_ && !is_closed_ &&
                             (slots_.empty() || reader_.has_begun());
  if (!expects_bytes) {
    read_deadline_ = kNever;
  } else if (read_deadline_ == kNever) {
    waiting_since_ = Clock::now();
    read_deadline_ = waiting_since_ + options_->message_timeout;
  }
}

void ListenerConnection::UpdateKept() {
  if (is_closed_) return;
  std::size_t bytes = kConnectionBytes + writing_.capacity();
  for (const Slot& it : slots_)
    bytes += it.request_memory + it.response.capacity();
  if (!account_.SetKept(bytes)) Close();
}

void ListenerConnection::WaitForBytes() {
  if (!is_reading() || !unparsed_.empty() ||
      std::exchange(is_waiting_for_bytes_, true))
    return;
  socket_.async_wait(tcp::socket::wait_read,
                     [self = shared_from_this()](std::error_code ec) {
                       self->is_waiting_for_bytes_ = false;
                       if (self->is_closed_ || self->has_stopped_reading_)
                         return;
                       if (ec) return self->Close();
                       self->Read();
                     });
}

void ListenerConnection::Read() {
  const auto owner = owner_.lock();
  if (owner == nullptr) return StopReading();
  const std::span<char> buffer = owner->read_buffer();
  std::error_code ec;
  const std::size_t n =
      socket_.read_some(asio::buffer(buffer.data(), buffer.size()), ec);
  if (ec && ec != asio::error::would_block) return Close();
  Consume({buffer.data(), n});
}

void ListenerConnection::Consume(std::string_view bytes) {
  is_consuming_ = true;
  // A turn of the event loop takes a few requests of each connection: a peer
  // that sends many small ones must not hold up the others.
  const std::uint64_t last_of_turn = last_sequence_ + options_->max_pipelined;
  while (!bytes.empty() && is_reading() && last_sequence_ < last_of_turn)
    ReadNext(bytes);
  is_consuming_ = false;
  if (is_closed_ || has_stopped_reading_) return;
  Free(unparsed_);
  if (!bytes.empty()) unparsed_ = std::string(bytes);
  const std::size_t held =
      reader_.memory() + (bytes.empty() ? 0 : unparsed_.capacity());
  if (!account_.SetIncomplete(held)) return DropIncomplete();
  UpdateReadDeadline();
  if (bytes.empty() || !is_reading()) return WaitForBytes();
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Resume(); });
}

void ListenerConnection::ReadNext(std::string_view& bytes) {
  bytes.remove_prefix(reader_.Feed(bytes));
  switch (reader_.state()) {
    case RequestReader::State::kIncomplete:
      return;
    case RequestReader::State::kComplete:
      return Deliver();
    case RequestReader::State::kHeaderTooLarge:
      return Reject(431);
    case RequestReader::State::kUpgrade:
      return Reject(501);
    case RequestReader::State::kMalformed:
      return StopReading();
  }
}

void ListenerConnection::Deliver() {
  const std::size_t memory =
      reader_.header_memory() + kBodyCopies * reader_.body_bytes();
  // The blocks of the body are held until it is put together.
  if (!account_.SetIncomplete(reader_.memory()) ||
      !account_.SetKept(account_.kept() + memory))
    return DropIncomplete();
  const std::uint64_t sequence = ++last_sequence_;
  slots_.push_back({.sequence = sequence,
                    .request_memory = memory,
                    .keeps_connection = reader_.keeps_connection()});
  // The peer expects no response to what it sends after such a request.
  has_stopped_reading_ |= !reader_.keeps_connection();
  IncomingRequest request = reader_.Take();
  request.connection = id_;
  account_.SetIncomplete(0);
  read_deadline_ = kNever;
  const auto owner = owner_.lock();
  const bool is_taken = owner != nullptr &&
                        owner->OnRequest(std::move(request),
                                         [self = shared_from_this(), sequence](
                                             const OutgoingResponse& response) {
                                           self->Respond(sequence, response);
                                         });
  if (!is_taken) Respond(sequence, {.status = 501, .closes_connection = true});
}

void ListenerConnection::Reject(int status) {
  const std::uint64_t sequence = ++last_sequence_;
  slots_.push_back({.sequence = sequence});
  StopReading();
  Respond(sequence, {.status = status, .closes_connection = true});
}

void ListenerConnection::Respond(std::uint64_t sequence,
                                 const OutgoingResponse& response) {
  const auto self = shared_from_this();
  const auto slot =
      std::find_if(slots_.begin(), slots_.end(),
                   [&](const Slot& it) { return it.sequence == sequence; });
  if (slot == slots_.end() || slot->is_answered) return;
  if (is_closed_) {
    account_.SetKept(account_.kept() -
                     std::min(account_.kept(), slot->request_memory));
    slots_.erase(slot);
    return;
  }
  slot->is_answered = true;
  slot->request_memory = 0;
  slot->closes_connection =
      response.closes_connection || !slot->keeps_connection;
  // Further requests would be handled without an answer.
  if (slot->closes_connection) StopReading();
  slot->response = EncodeResponse(response, !slot->closes_connection);
  Flush();
  UpdateKept();
  Resume();
}

void ListenerConnection::Flush() {
  while (!is_closed_ && !is_writing_ && !slots_.empty() &&
         slots_.front().is_answered) {
    writing_ = std::move(slots_.front().response);
    std::error_code ec;
    const std::size_t n = socket_.write_some(asio::buffer(writing_), ec);
    if (ec && ec != asio::error::would_block) return Close();
    if (n < writing_.size()) return WriteRest(n);
    FinishFront();
  }
}

void ListenerConnection::WriteRest(std::size_t written) {
  is_writing_ = true;
  write_deadline_ = Clock::now() + options_->write_timeout;
  asio::async_write(
      socket_,
      asio::buffer(writing_.data() + written, writing_.size() - written),
      [self = shared_from_this()](std::error_code ec, std::size_t) {
        self->is_writing_ = false;
        self->write_deadline_ = kNever;
        if (self->is_closed_) return;
        if (ec) return self->Close();
        self->FinishFront();
        self->Flush();
        self->UpdateKept();
        self->Resume();
      });
}

void ListenerConnection::FinishFront() {
  Free(writing_);
  slots_.erase(slots_.begin());
  // Requests that were read before the last one get their responses first.
  if (has_stopped_reading_ && slots_.empty()) Close();
}

void ListenerConnection::Resume() {
  // A handler may respond before it returns; the loop goes on then.
  if (is_consuming_ || !is_reading()) return;
  if (!unparsed_.empty())
    return Consume(std::string(std::exchange(unparsed_, {})));
  UpdateReadDeadline();
  WaitForBytes();
}

}  // namespace pomelomill
