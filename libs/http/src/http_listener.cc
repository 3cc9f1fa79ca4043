#include "pomelomill/http/http_listener.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <limits>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include "listener_connection.h"
#include "pomelomill/http/http_error.h"

namespace pomelomill {
namespace {

using asio::ip::tcp;
using Clock = ListenerConnection::Clock;

constexpr std::size_t kReadBufferBytes = std::size_t{16} << 10;
/// How late deadlines of connections are noticed; they are of seconds.
constexpr auto kDeadlineCheckInterval = std::chrono::milliseconds(100);
/// Descriptors are usually short for a moment only, and an accept that fails at
/// once would keep the event loop busy.
constexpr auto kAcceptPause = std::chrono::milliseconds(100);

std::shared_ptr<const HttpListenerOptions> WithBudget(
    HttpListenerOptions options) {
  if (options.memory_budget == nullptr) {
    options.memory_budget =
        std::make_shared<MemoryBudget>(std::numeric_limits<std::size_t>::max());
  }
  return std::make_shared<const HttpListenerOptions>(std::move(options));
}

}  // namespace

std::string_view IncomingRequest::header(std::string_view name) const {
  for (const HttpHeader& it : headers) {
    if (IsSameHeaderName(it.name, name)) return it.value;
  }
  return {};
}

class HttpListener::Impl : public ConnectionOwner,
                           public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, HttpListenerOptions options,
       HttpListenerHooks hooks)
      : context_(context),
        options_(WithBudget(std::move(options))),
        hooks_(std::make_shared<const HttpListenerHooks>(std::move(hooks))),
        acceptor_(context),
        accept_timer_(context),
        deadline_timer_(context) {}

  Status Start() {
    std::error_code ec;
    const auto address = asio::ip::make_address(
        options_->address == "localhost" ? "127.0.0.1" : options_->address, ec);
    if (ec) return Unexpected(HttpError::kListenFailed);
    const tcp::endpoint endpoint(address, options_->port);
    acceptor_.open(endpoint.protocol(), ec);
    if (!ec) acceptor_.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec) acceptor_.bind(endpoint, ec);
    if (!ec) acceptor_.listen(tcp::acceptor::max_listen_connections, ec);
    if (!ec) port_ = acceptor_.local_endpoint(ec).port();
    if (ec) {
      StopAccepting();
      return Unexpected(HttpError::kListenFailed);
    }
    Accept();
    return {};
  }

  void StopAccepting() {
    std::error_code ec;
    acceptor_.close(ec);
    accept_timer_.cancel();
  }

  /// Afterwards no hook is called. Connections with pending responses go on
  /// without the listener.
  void Detach() {
    hooks_ = std::make_shared<const HttpListenerHooks>();
    StopAccepting();
    deadline_timer_.cancel();
    const auto connections = std::exchange(connections_, {});
    for (const auto& it : connections) it.second->StopReading();
  }

  std::uint16_t port() const { return port_; }
  std::size_t open_connections() const { return connections_.size(); }

  std::span<char> read_buffer() override { return read_buffer_; }

  bool OnRequest(IncomingRequest request, RespondHook respond) override {
    // The handler may destroy the listener.
    const auto hooks = hooks_;
    if (!hooks->on_request) return false;
    hooks->on_request(std::move(request), std::move(respond));
    return true;
  }

  void OnClosed(std::uint64_t connection) override {
    if (connections_.erase(connection) == 0) return;
    // A connection may be closed in the middle of a call from the handler.
    asio::post(context_, [weak = weak_from_this(), connection] {
      const auto self = weak.lock();
      if (self == nullptr) return;
      const auto hooks = self->hooks_;
      if (hooks->on_closed) hooks->on_closed(connection);
    });
  }

  void OnDropped(std::string_view reason, std::size_t bytes) override {
    const auto hooks = hooks_;
    if (hooks->on_dropped) hooks->on_dropped(reason, bytes);
  }

 private:
  void Accept() {
    acceptor_.async_accept(
        [weak = weak_from_this()](std::error_code ec, tcp::socket socket) {
          const auto self = weak.lock();
          if (self == nullptr || !self->acceptor_.is_open()) return;
          if (ec && ec != asio::error::connection_aborted)
            return self->PauseAccepting();
          if (!ec) self->Open(std::move(socket));
          if (self->acceptor_.is_open()) self->Accept();
        });
  }

  /// No descriptors or memory are left.
  void PauseAccepting() {
    Displace();
    accept_timer_.expires_after(kAcceptPause);
    accept_timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self != nullptr && self->acceptor_.is_open()) self->Accept();
    });
  }

  void Open(tcp::socket socket) {
    if (connections_.size() >= options_->max_connections && !Displace()) return;
    std::error_code ec;
    socket.non_blocking(true, ec);
    if (!ec) socket.set_option(tcp::no_delay(true), ec);
    if (ec) return;
    const std::uint64_t id = ++last_id_;
    const auto connection = std::make_shared<ListenerConnection>(
        std::move(socket), id, options_, weak_from_this());
    if (!connection->Start()) return;
    connections_.emplace(id, connection);
    if (connections_.size() == 1) CheckDeadlinesLater();
  }

  /// Closes the connection that gives way first; returns false when all have
  /// complete requests or responses.
  bool Displace() {
    if (!options_->displaces_connections) return false;
    std::shared_ptr<ListenerConnection> chosen;
    for (const auto& it : connections_) {
      const auto rank = it.second->DisplacementRank();
      if (rank && (chosen == nullptr || *rank < *chosen->DisplacementRank()))
        chosen = it.second;
    }
    if (chosen == nullptr) return false;
    const std::size_t bytes = chosen->memory();
    chosen->Close();
    OnDropped("connections", bytes);
    return true;
  }

  void CheckDeadlinesLater() {
    deadline_timer_.expires_after(kDeadlineCheckInterval);
    deadline_timer_.async_wait([weak = weak_from_this()](std::error_code ec) {
      const auto self = weak.lock();
      if (!ec && self != nullptr) self->CheckDeadlines();
    });
  }

  void CheckDeadlines() {
    const auto now = Clock::now();
    // Connections are removed as they close.
    std::vector<std::shared_ptr<ListenerConnection>> overdue;
    for (const auto& it : connections_)
      if (it.second->IsOverdue(now)) overdue.push_back(it.second);
    for (const auto& it : overdue) it->CheckDeadlines(now);
    if (!connections_.empty()) CheckDeadlinesLater();
  }

  asio::io_context& context_;
  const std::shared_ptr<const HttpListenerOptions> options_;
  std::shared_ptr<const HttpListenerHooks> hooks_;
  tcp::acceptor acceptor_;
  asio::steady_timer accept_timer_;
  asio::steady_timer deadline_timer_;
  std::unordered_map<std::uint64_t, std::shared_ptr<ListenerConnection>>
      connections_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  std::uint64_t last_id_ = 0;
  std::uint16_t port_ = 0;
};

HttpListener::HttpListener(asio::io_context& context,
                           HttpListenerOptions options, HttpListenerHooks hooks)
    : impl_(std::make_shared<Impl>(context, std::move(options),
                                   std::move(hooks))) {}

HttpListener::~HttpListener() { impl_->Detach(); }

Status HttpListener::Start() { return impl_->Start(); }
void HttpListener::StopAccepting() { impl_->StopAccepting(); }
std::uint16_t HttpListener::port() const { return impl_->port(); }
std::size_t HttpListener::open_connections() const {
  return impl_->open_connections();
}

}  // namespace pomelomill
