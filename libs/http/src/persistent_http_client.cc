#include "pomelomill/http/persistent_http_client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <charconv>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "connect_error.h"
#include "pomelomill/http/http_error.h"
#include "response_reader.h"

namespace pomelomill {
namespace {

using asio::ip::tcp;
using Clock = asio::steady_timer::clock_type;
using ExchangeId = std::uint64_t;

constexpr std::string_view kScheme = "http://";
/// All connections read into one buffer, as most of them are idle at a time.
constexpr std::size_t kReadBufferBytes = std::size_t{32} << 10;

constexpr int kKeepAliveIdleSeconds = 15;
constexpr int kKeepAliveIntervalSeconds = 5;
constexpr int kKeepAliveProbes = 3;

/// Host, port and path of a URL.
struct Target {
  tcp::endpoint endpoint;
  std::string authority;
  std::string path;
};

std::optional<Target> ParseUrl(std::string_view url) {
  if (!url.starts_with(kScheme)) return std::nullopt;
  url.remove_prefix(kScheme.size());
  const std::size_t slash = std::min(url.find('/'), url.size());
  const std::string_view authority = url.substr(0, slash);
  const std::size_t colon = authority.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::error_code ec;
  const auto address =
      asio::ip::make_address(std::string(authority.substr(0, colon)), ec);
  std::uint16_t port = 0;
  const char* const end = authority.data() + authority.size();
  const auto parsed = std::from_chars(authority.data() + colon + 1, end, port);
  if (ec || parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  Target target{{address, port}, std::string(authority), "/"};
  if (slash < url.size()) target.path = std::string(url.substr(slash));
  return target;
}

/// Returns the request as it is sent; empty when a part of it has a line break.
std::string EncodeRequest(const HttpRequest& request, const Target& target) {
  if (request.method.empty() || HasLineBreak(request.method) ||
      HasLineBreak(target.path) || target.path.find(' ') != std::string::npos)
    return {};
  std::string text;
  text.reserve(request.body.size() + 256);
  text += request.method + ' ' + target.path + " HTTP/1.1\r\n";
  bool has_host = false;
  for (const HttpHeader& it : request.headers) {
    if (HasLineBreak(it.name) || HasLineBreak(it.value)) return {};
    has_host |= IsSameHeaderName(it.name, "Host");
    text += it.name + ": " + it.value + "\r\n";
  }
  if (!has_host) text += "Host: " + target.authority + "\r\n";
  if (request.method != "GET" || !request.body.empty())
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  text += "\r\n";
  text += request.body;
  return text;
}

/// A connection to one peer, which carries one exchange at a time.
struct Connection {
  explicit Connection(asio::io_context& context) : socket(context) {}

  tcp::socket socket;
  ResponseReader reader;
  std::string authority;
  /// The exchange that the connection carries; 0 while it is idle.
  ExchangeId exchange = 0;
  bool is_waiting_for_bytes = false;
  /// A part of the request is still to be written.
  bool is_writing = false;
  bool is_closed = false;
};
using ConnectionPtr = std::shared_ptr<Connection>;

/// A peer whose machine lost power sends nothing any more: keep-alive probes of
/// the kernel end the connections that are idle then.
void SetOptions(tcp::socket& socket) {
  using KeepAliveIdle =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
  using KeepAliveInterval =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
  using KeepAliveProbes =
      asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
  // An option that the kernel refuses changes no result of an exchange.
  std::error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.set_option(tcp::socket::keep_alive(true), ignored);
  socket.set_option(KeepAliveIdle(kKeepAliveIdleSeconds), ignored);
  socket.set_option(KeepAliveInterval(kKeepAliveIntervalSeconds), ignored);
  socket.set_option(KeepAliveProbes(kKeepAliveProbes), ignored);
  socket.non_blocking(true, ignored);
}

void Close(Connection& connection) {
  connection.is_closed = true;
  connection.exchange = 0;
  std::error_code ignored;
  connection.socket.close(ignored);
}

/// One request on its way.
struct Exchange {
  HttpRequest request;
  PersistentHttpClient::Callback callback;
  Target target;
  /// The request as it is sent.
  std::string text;
  ConnectionPtr connection;
  Clock::time_point ends_at{};
  /// When the latest copy of the request was written.
  Clock::time_point written_at{};
  /// Key of its entry among the deadlines.
  Clock::time_point deadline{};
  bool is_connection_reused = false;
  bool may_have_been_sent = false;

  /// Whether the client may send the request again by itself after a reused
  /// connection has ended. Only the caller knows what an answer to a second
  /// copy of a request with effects says about the first one.
  bool may_be_repeated() const {
    return is_connection_reused && request.method == "GET";
  }
};

}  // namespace

class PersistentHttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, const PersistentHttpClientOptions& options)
      : context_(context), options_(options), timer_(context) {}

  void Send(HttpRequest request, Callback callback) {
    const ExchangeId id = next_id_++;
    auto target = ParseUrl(request.url);
    std::string text;
    if (target) text = EncodeRequest(request, *target);
    Exchange& exchange = exchanges_[id];
    exchange.request = std::move(request);
    exchange.callback = std::move(callback);
    if (text.empty()) return FinishLater(id, HttpError::kBadRequest);
    // The text holds the body from here on.
    exchange.request.body.clear();
    exchange.target = std::move(*target);
    exchange.text = std::move(text);
    exchange.ends_at = Clock::now() + exchange.request.timeout;
    SetDeadline(id, exchange, exchange.ends_at);
    if (exchange.request.distrusts_idle_connections)
      CloseIdle(exchange.target.authority);
    if (!exchange.request.use_fresh_connection) {
      if (ConnectionPtr idle = TakeIdle(id, exchange.target.authority)) {
        exchange.is_connection_reused = true;
        exchange.connection = std::move(idle);
        return WriteRequest(id, exchange);
      }
    }
    Connect(id, exchange);
  }

  std::size_t in_flight() const { return exchanges_.size(); }

  void Stop() {
    is_stopped_ = true;
    for (auto& [id, exchange] : exchanges_) {
      if (exchange.connection != nullptr) Close(*exchange.connection);
    }
    exchanges_.clear();
    deadlines_.clear();
    for (auto& [authority, connections] : idle_) {
      for (const ConnectionPtr& it : connections) Close(*it);
    }
    idle_.clear();
    timer_.cancel();
  }

 private:
  Exchange* Find(ExchangeId id) {
    const auto it = exchanges_.find(id);
    return it == exchanges_.end() || is_stopped_ ? nullptr : &it->second;
  }

  ConnectionPtr TakeIdle(ExchangeId id, const std::string& authority) {
    const auto it = idle_.find(authority);
    if (it == idle_.end()) return nullptr;
    ConnectionPtr connection;
    while (connection == nullptr && !it->second.empty()) {
      connection = std::move(it->second.back());
      it->second.pop_back();
      std::error_code ec;
      connection->socket.receive(asio::buffer(read_buffer_),
                                 tcp::socket::message_peek, ec);
      if (ec == asio::error::would_block) continue;
      // The event loop has not come to the end of this connection yet.
      if (ec == asio::error::eof && !IsInUse(authority, id))
        closed_by_peer_.insert(authority);
      Close(*connection);
      connection.reset();
    }
    if (it->second.empty()) idle_.erase(it);
    return connection;
  }

  void KeepIdle(const ConnectionPtr& connection) {
    auto& kept = idle_[connection->authority];
    if (kept.size() >= options_.max_idle_connections_per_host)
      return Close(*connection);
    connection->exchange = 0;
    kept.push_back(connection);
    // Shows when the peer closes the connection.
    WaitForBytes(connection);
  }

  void CloseIdle(const std::string& authority) {
    const auto it = idle_.find(authority);
    if (it == idle_.end()) return;
    for (const ConnectionPtr& connection : it->second) Close(*connection);
    idle_.erase(it);
  }

  void DropIdle(const ConnectionPtr& connection) {
    Close(*connection);
    const auto it = idle_.find(connection->authority);
    if (it == idle_.end()) return;
    std::erase(it->second, connection);
    if (it->second.empty()) idle_.erase(it);
  }

  void Connect(ExchangeId id, Exchange& exchange) {
    exchange.is_connection_reused = false;
    exchange.connection = std::make_shared<Connection>(context_);
    exchange.connection->authority = exchange.target.authority;
    std::error_code ec;
    exchange.connection->socket.open(exchange.target.endpoint.protocol(), ec);
    if (ec) return FinishLater(id, ConnectError(ec.value()));
    SetDeadline(id, exchange,
                std::min(exchange.ends_at,
                         Clock::now() + exchange.request.connect_timeout));
    exchange.connection->socket.async_connect(
        exchange.target.endpoint,
        [self = shared_from_this(), id,
         connection = exchange.connection](std::error_code result) {
          Exchange* const it = self->Find(id);
          if (it == nullptr || it->connection != connection) return;
          if (result) return self->Finish(id, ConnectError(result.value()));
          SetOptions(connection->socket);
          self->SetDeadline(id, *it, it->ends_at);
          self->WriteRequest(id, *it);
        });
  }

  void WriteRequest(ExchangeId id, Exchange& exchange) {
    const ConnectionPtr connection = exchange.connection;
    connection->exchange = id;
    connection->reader.Begin(exchange.request.max_response_bytes);
    exchange.may_have_been_sent = true;
    exchange.written_at = Clock::now();
    std::error_code ec;
    const std::size_t n =
        connection->socket.write_some(asio::buffer(exchange.text), ec);
    if (ec && ec != asio::error::would_block) {
      asio::post(context_, [self = shared_from_this(), id, connection] {
        self->OnConnectionEnd(id, connection);
      });
      return;
    }
    WaitForBytes(connection);
    if (n == exchange.text.size()) return;
    // A copy, which outlives an exchange that ends early.
    auto rest = std::make_shared<std::string>(exchange.text.substr(n));
    connection->is_writing = true;
    asio::async_write(connection->socket, asio::buffer(*rest),
                      [self = shared_from_this(), id, connection, rest](
                          std::error_code result, std::size_t) {
                        connection->is_writing = false;
                        if (result) self->OnConnectionEnd(id, connection);
                      });
  }

  void WaitForBytes(const ConnectionPtr& connection) {
    if (std::exchange(connection->is_waiting_for_bytes, true)) return;
    connection->socket.async_wait(
        tcp::socket::wait_read,
        [self = shared_from_this(), connection](std::error_code ec) {
          connection->is_waiting_for_bytes = false;
          if (connection->is_closed || self->is_stopped_) return;
          self->Read(connection, ec);
        });
  }

  void Read(const ConnectionPtr& connection, std::error_code ec) {
    const ExchangeId id = connection->exchange;
    std::size_t n = 0;
    if (!ec) n = connection->socket.read_some(asio::buffer(read_buffer_), ec);
    if (ec == asio::error::would_block) return WaitForBytes(connection);
    // A peer may close an idle connection while it responds on others.
    if (ec == asio::error::eof && (id != 0 || !IsInUse(connection->authority)))
      closed_by_peer_.insert(connection->authority);
    // An idle connection has nothing to say but that it ends.
    if (id == 0) return DropIdle(connection);
    if (ec) return OnConnectionEnd(id, connection);
    switch (connection->reader.Feed({read_buffer_.data(), n})) {
      case ResponseReader::State::kIncomplete:
        return WaitForBytes(connection);
      case ResponseReader::State::kComplete:
        return FinishWithResponse(id, connection);
      case ResponseReader::State::kTooLarge:
        return Finish(id, HttpError::kTooLarge);
      case ResponseReader::State::kUnframed:
        return Finish(id, HttpError::kTruncated);
      case ResponseReader::State::kMalformed:
        return Finish(id, HttpError::kFailed);
    }
  }

  /// Whether another exchange with the peer than `except` is under way.
  bool IsInUse(const std::string& authority, ExchangeId except = 0) const {
    return std::any_of(
        exchanges_.begin(), exchanges_.end(), [&](const auto& it) {
          return it.first != except && it.second.target.authority == authority;
        });
  }

  void OnConnectionEnd(ExchangeId id, const ConnectionPtr& connection) {
    Exchange* const exchange = Find(id);
    if (exchange == nullptr || exchange->connection != connection) return;
    if (connection->reader.has_begun())
      return Finish(id, HttpError::kTruncated);
    if (!exchange->may_be_repeated())
      return Finish(id, HttpError::kConnectionClosed);
    Close(*connection);
    if (options_.on_repeat) options_.on_repeat(exchange->request);
    Connect(id, *exchange);
  }

  void FinishWithResponse(ExchangeId id, const ConnectionPtr& connection) {
    auto node = exchanges_.extract(id);
    Exchange& exchange = node.mapped();
    deadlines_.erase({exchange.deadline, id});
    HttpResult result;
    result.response = connection->reader.TakeResponse();
    closed_by_peer_.erase(connection->authority);
    last_response_at_[connection->authority] = Clock::now();
    if (connection->reader.keeps_connection() && !connection->is_writing &&
        !exchange.request.use_fresh_connection) {
      KeepIdle(connection);
    } else {
      Close(*connection);
    }
    exchange.callback(std::move(result));
  }

  /// Ends the exchange without a response and closes its connection.
  void Finish(ExchangeId id, std::error_code error) {
    auto node = exchanges_.extract(id);
    if (node.empty()) return;
    Exchange& exchange = node.mapped();
    deadlines_.erase({exchange.deadline, id});
    if (exchange.connection != nullptr) Close(*exchange.connection);
    HttpResult result;
    result.error = error;
    result.may_have_been_sent = exchange.may_have_been_sent;
    result.has_peer_closed =
        closed_by_peer_.contains(exchange.target.authority);
    exchange.callback(std::move(result));
  }

  void FinishLater(ExchangeId id, std::error_code error) {
    asio::post(context_, [self = shared_from_this(), id, error] {
      if (self->Find(id) != nullptr) self->Finish(id, error);
    });
  }

  void SetDeadline(ExchangeId id, Exchange& exchange, Clock::time_point at) {
    deadlines_.erase({exchange.deadline, id});
    exchange.deadline = at;
    deadlines_.emplace(at, id);
    ArmTimer();
  }

  /// Most exchanges end long before their deadlines, so the timer is not moved
  /// for each of them: a wait that ends earlier arms the next one.
  void ArmTimer() {
    if (deadlines_.empty()) return;
    const auto first = deadlines_.begin()->first;
    if (is_waiting_ && wait_ends_at_ <= first) return;
    is_waiting_ = true;
    wait_ends_at_ = first;
    timer_.expires_at(first);
    timer_.async_wait([self = shared_from_this()](std::error_code ec) {
      if (ec || self->is_stopped_) return;
      self->is_waiting_ = false;
      self->OnTimer();
    });
  }

  void OnTimer() {
    const auto now = Clock::now();
    while (!is_stopped_ && !deadlines_.empty() &&
           deadlines_.begin()->first <= now)
      OnTimeout(deadlines_.begin()->second);
    if (!is_stopped_) ArmTimer();
  }

  void OnTimeout(ExchangeId id) {
    const Exchange& exchange = exchanges_.at(id);
    const std::string& authority = exchange.target.authority;
    // Connections may go silent without a reset, all of those to a peer at
    // once. A peer that has responded on another one meanwhile is only slow, or
    // leaves single calls unanswered.
    const auto last_response = last_response_at_.find(authority);
    const bool is_silent = exchange.may_have_been_sent &&
                           !exchange.connection->reader.has_begun() &&
                           (last_response == last_response_at_.end() ||
                            last_response->second <= exchange.written_at);
    if (is_silent) CloseIdle(authority);
    Finish(id, HttpError::kTimeout);
  }

  asio::io_context& context_;
  const PersistentHttpClientOptions options_;
  asio::steady_timer timer_;
  bool is_waiting_ = false;
  Clock::time_point wait_ends_at_{};
  std::map<ExchangeId, Exchange> exchanges_;
  std::set<std::pair<Clock::time_point, ExchangeId>> deadlines_;
  /// Idle connections by "host:port"; the one used last is the last.
  std::map<std::string, std::vector<ConnectionPtr>> idle_;
  /// Peers by "host:port", see HttpResult::has_peer_closed.
  std::set<std::string> closed_by_peer_;
  /// When each peer, by "host:port", last responded.
  std::map<std::string, Clock::time_point> last_response_at_;
  std::array<char, kReadBufferBytes> read_buffer_{};
  ExchangeId next_id_ = 1;
  bool is_stopped_ = false;
};

PersistentHttpClient::PersistentHttpClient(
    asio::io_context& context, const PersistentHttpClientOptions& options)
    : impl_(std::make_shared<Impl>(context, options)) {}

PersistentHttpClient::~PersistentHttpClient() { impl_->Stop(); }

void PersistentHttpClient::Send(HttpRequest request, Callback callback) {
  impl_->Send(std::move(request), std::move(callback));
}

std::size_t PersistentHttpClient::in_flight() const {
  return impl_->in_flight();
}

}  // namespace pomelomill
