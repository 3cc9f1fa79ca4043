#include "runner.h"

#include <algorithm>
#include <asio/buffer.hpp>
#include <asio/write.hpp>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <string_view>
#include <system_error>
#include <thread>
#include <utility>

namespace pomelomill::review {
namespace {

using asio::ip::tcp;
using platform::stand_in::FreeAddress;
using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;
using platform::stand_in::UnixMillis;
using platform::stand_in::WireReply;
using Json = nlohmann::json;

/// `holdMaxMs` and `heartbeatMs` of cenovka-mill, a stop within its
/// `stopGraceMs`, and the three heartbeats after which an entry is removed.
constexpr std::int64_t kHoldMaxMs = 6'000;
constexpr std::int64_t kStopMs = 200;
constexpr std::int64_t kHeartbeatMs = 1'500;
constexpr std::int64_t kEntryTtlMs = 3 * kHeartbeatMs;
constexpr std::int64_t kTickMs = 5;
constexpr std::int64_t kStoreTimeoutMs = 2'000;
constexpr std::size_t kEndsOfAnswer = 500;
constexpr std::size_t kChunkBytes = 65'536;
constexpr std::string_view kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string EncodeBase64(const std::string& bytes) {
  std::string text;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char c : bytes) {
    bits = bits << 8U | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kDigits[bits >> count & 63U];
    }
  }
  if (count > 0) text += kDigits[bits << (6 - count) & 63U];
  while (text.size() % 4 != 0) text += '=';
  return text;
}

std::string DecodeBase64(const std::string& text) {
  std::string bytes;
  std::uint32_t bits = 0;
  unsigned count = 0;
  for (const char c : text) {
    const std::size_t digit = kDigits.find(c);
    if (digit == std::string_view::npos) break;
    bits = bits << 6U | static_cast<std::uint32_t>(digit);
    count += 6;
    if (count < 8) continue;
    count -= 8;
    bytes += static_cast<char>(bits >> count & 255U);
  }
  return bytes;
}

std::uint16_t PortOf(const std::string& address) {
  return static_cast<std::uint16_t>(
      std::strtoul(address.substr(address.find(':') + 1).c_str(), nullptr, 10));
}

std::string SubmissionOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

/// Reads one request; false when the connection has ended.
bool ReadRequest(tcp::socket& socket, std::string& buffer,
                 WireRequest& request) {
  std::error_code ec;
  const auto fill = [&] {
    std::string chunk(kChunkBytes, '\0');
    const std::size_t n = socket.read_some(asio::buffer(chunk), ec);
    buffer.append(chunk, 0, n);
    return !ec && n > 0;
  };
  std::size_t head = 0;
  while ((head = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill()) return false;
  std::size_t begin = buffer.find("\r\n");
  const std::string first = buffer.substr(0, begin);
  const std::size_t space = first.find(' ');
  request.method = first.substr(0, space);
  request.path = first.substr(space + 1, first.rfind(' ') - space - 1);
  while (begin < head) {
    begin += 2;
    const std::size_t end = buffer.find("\r\n", begin);
    const std::string line = buffer.substr(begin, end - begin);
    const std::size_t colon = std::min(line.find(':'), line.size());
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    const std::size_t value = line.find_first_not_of(" :", colon);
    request.headers[name] =
        value == std::string::npos ? "" : line.substr(value);
    begin = end;
  }
  buffer.erase(0, head + 4);
  const std::size_t size =
      std::strtoul(request.headers["content-length"].c_str(), nullptr, 10);
  while (buffer.size() < size)
    if (!fill()) return false;
  request.body = buffer.substr(0, size);
  buffer.erase(0, size);
  return true;
}

}  // namespace

RestartableServer::RestartableServer(Handler handler)
    : handler_(std::move(handler)), address_(FreeAddress()) {}

RestartableServer::~RestartableServer() { Crash(); }

void RestartableServer::Open() {
  const std::lock_guard lock(mutex_);
  acceptor_ = std::make_shared<tcp::acceptor>(
      context_,
      tcp::endpoint(asio::ip::address_v4::loopback(), PortOf(address_)));
  std::thread([this, acceptor = acceptor_] { Accept(acceptor); }).detach();
}

void RestartableServer::Crash() {
  const std::lock_guard lock(mutex_);
  std::error_code ec;
  if (acceptor_ != nullptr) {
    // Ends the accept() that waits; closing alone would not.
    ::shutdown(acceptor_->native_handle(), SHUT_RDWR);
    acceptor_->close(ec);
    acceptor_.reset();
  }
  for (const Socket& it : sockets_)
    it->shutdown(tcp::socket::shutdown_both, ec);
}

void RestartableServer::Accept(const std::shared_ptr<tcp::acceptor>& acceptor) {
  while (true) {
    std::error_code ec;
    auto socket = std::make_shared<tcp::socket>(context_);
    acceptor->accept(*socket, ec);
    const std::lock_guard lock(mutex_);
    if (ec || acceptor != acceptor_) {
      socket->close(ec);
      return;
    }
    socket->set_option(tcp::no_delay(true), ec);
    sockets_.push_back(socket);
    std::thread([this, socket] { Serve(socket); }).detach();
  }
}

void RestartableServer::Serve(const Socket& socket) {
  std::error_code ec;
  std::string buffer;
  WireRequest request;
  while (ReadRequest(*socket, buffer, request)) {
    const Reply reply = handler_(request);
    request = {};
    if (!reply) continue;
    asio::write(*socket,
                asio::buffer("HTTP/1.1 " + std::to_string(reply->first) +
                             " Status\r\nContent-Type: application/json\r\n"
                             "Content-Length: " +
                             std::to_string(reply->second.size()) + "\r\n\r\n" +
                             reply->second),
                ec);
    if (ec) break;
  }
  const std::lock_guard lock(mutex_);
  sockets_.remove(socket);
  socket->close(ec);
}

std::uint64_t StoreLine::GrantLease(std::int64_t ttl_ms) {
  const std::lock_guard lock(mutex_);
  const WireReply reply =
      client_.Call("POST", "/pomelomill/kv-lease",
                   Json{{"ttlMs", ttl_ms}}.dump(), kStoreTimeoutMs);
  return Json::parse(reply.body).at("lease").get<std::uint64_t>();
}

void StoreLine::KeepLease(std::uint64_t lease) {
  const std::lock_guard lock(mutex_);
  client_.Call("POST", "/pomelomill/kv-keep/" + std::to_string(lease), "",
               kStoreTimeoutMs);
}

void StoreLine::Put(const std::string& key, const Json& value,
                    std::uint64_t lease) {
  const std::lock_guard lock(mutex_);
  const Json write = {
      {"key", key}, {"value", EncodeBase64(value.dump())}, {"lease", lease}};
  client_.Call("POST", "/pomelomill/kv-txn",
               Json{{"writes", Json::array({write})}}.dump(), kStoreTimeoutMs);
}

std::string StoreLine::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const WireReply reply =
      client_.Call("GET", "/pomelomill/kv-key?key=" + key, "", kStoreTimeoutMs);
  if (reply.status != 200) return "";
  return DecodeBase64(Json::parse(reply.body).value("value", ""));
}

Runner::Runner(std::string id, const Options& options, StoreLine& store,
               soak::Record& record)
    : id_(std::move(id)),
      options_(options),
      store_(store),
      record_(record),
      server_([this](const WireRequest& request) { return OnCall(request); }) {
  std::thread([this] {
    while (true) {
      SleepMillis(kTickMs);
      Tick();
    }
  }).detach();
}

void Runner::Boot() {
  {
    const std::lock_guard lock(mutex_);
    ++boots_;
    born_ = UnixMillis();
    booted_at_ = SteadyMillis();
    deadline_ = 0;
    token_ = last_end_ = sequence_ = 0;
    running_.clear();
    highest_.clear();
    ended_.clear();
    lease_ = store_.GrantLease(kEntryTtlMs);
    is_up_ = true;
    record_.Note("runner " + id_ + " starts, boot " + std::to_string(boots_) +
                 " at " + address());
  }
  server_.Open();
  Register();
}

void Runner::Crash() {
  server_.Crash();
  const std::lock_guard lock(mutex_);
  is_up_ = false;
  record_.Note("runner " + id_ + " crashes");
  for (const auto& [task, run] : running_)
    record_.Ended(id_, task, run.number, "lost in a crash");
  running_.clear();
  changed_.notify_all();
}

void Runner::KeepNextStart(const std::string& submission) {
  const std::lock_guard lock(mutex_);
  kept_submission_ = submission;
}

std::optional<std::string> Runner::kept_start() {
  const std::lock_guard lock(mutex_);
  if (!kept_) return std::nullopt;
  return kept_->body;
}

int Runner::CarryOutKeptStart() {
  WireRequest request;
  {
    const std::lock_guard lock(mutex_);
    if (!kept_) return 0;
    request = *kept_;
    record_.Note("the kept order arrives at runner " + id_ + ": " +
                 request.body);
  }
  const Reply reply = OnCall(request);
  record_.Note("its answer, which nobody gets: " +
               std::to_string(reply ? reply->first : 0) + " " +
               (reply ? reply->second : ""));
  return reply ? reply->first : 0;
}

void Runner::SetHealthy(bool is_healthy) {
  const std::lock_guard lock(mutex_);
  is_healthy_ = is_healthy;
  record_.Note("runner " + id_ +
               (is_healthy ? " is healthy" : " is unhealthy: 503 to starts"));
}

bool Runner::Runs(const std::string& submission) {
  const std::lock_guard lock(mutex_);
  return std::any_of(running_.begin(), running_.end(), [&](const auto& it) {
    return SubmissionOf(it.first) == submission;
  });
}

int Runner::StartsOf(const std::string& submission) {
  const std::lock_guard lock(mutex_);
  return starts_[submission];
}

Runner::Reply Runner::OnCall(const WireRequest& request) {
  const auto intended = request.headers.find("expect-instance");
  if (intended != request.headers.end() && intended->second != id_)
    return {{421, "{}"}};
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) return {{400, "{}"}};
  if (request.path.ends_with("/run-start")) return Start(request, body);
  if (request.path.ends_with("/run-stop")) return Stop(body);
  if (request.path.ends_with("/hold")) return Hold(body);
  return {{404, "{}"}};
}

Runner::Reply Runner::Start(const WireRequest& request, const Json& body) {
  const std::lock_guard lock(mutex_);
  if (!is_up_) return std::nullopt;
  const std::string task = body.at("task");
  const std::string submission = SubmissionOf(task);
  if (!kept_submission_.empty() && submission == kept_submission_) {
    kept_submission_.clear();
    kept_ = request;
    record_.Note("runner " + id_ +
                 " gets no order yet: it is on its way: " + request.body);
    return std::nullopt;
  }
  if (!is_healthy_) {
    record_.Note("runner " + id_ + " refuses " + task + " with 503");
    return {{503, Json{{"clockMs", Clock()}}.dump()}};
  }
  if (IsFenced(body)) return Refuse("fence");
  const std::uint32_t number = body.at("run");
  if (body.at("deadlineMs") < Clock()) return Refuse("late");
  Extend(body);
  const auto present = running_.find(task);
  if (present != running_.end() && present->second.number == number)
    return Answer();
  if (present != running_.end() || number <= highest_[task])
    return Refuse("old");
  const std::int64_t duration =
      std::strtoll(body.value("spec", "").c_str(), nullptr, 10);
  running_[task] = {.number = number,
                    .ends_at = duration == 0 ? 0 : Clock() + duration};
  ++starts_[submission];
  record_.Started(id_, task, number);
  return Answer();
}

Runner::Reply Runner::Stop(const Json& body) {
  const std::lock_guard lock(mutex_);
  if (!is_up_) return std::nullopt;
  if (IsFenced(body)) return Refuse("fence");
  const std::string task = body.at("task");
  const std::uint32_t number = body.at("run");
  const auto it = running_.find(task);
  if (it != running_.end() && it->second.number == number) {
    const std::int64_t end = Clock() + kStopMs;
    it->second.ends_at =
        it->second.ends_at == 0 ? end : std::min(it->second.ends_at, end);
    it->second.how = "stopped";
  }
  highest_[task] = std::max(highest_[task], number);
  return Answer();
}

Runner::Reply Runner::Hold(const Json& body) {
  std::unique_lock lock(mutex_);
  if (!is_up_) return std::nullopt;
  if (IsFenced(body)) return Refuse("fence");
  Extend(body);
  const std::uint64_t seen = body.value("lastSeen", std::uint64_t{0});
  while (!ended_.empty() && ended_.begin()->first <= seen) {
    const Json& end = ended_.begin()->second;
    record_.Acknowledged(end[1], end[3]);
    ended_.erase(ended_.begin());
  }
  const std::uint64_t boot = boots_;
  changed_.wait_for(lock, std::chrono::milliseconds(body.value("waitMs", 0)),
                    [&] { return !ended_.empty() || !is_up_; });
  if (!is_up_ || boot != boots_) return std::nullopt;
  Json running = Json::array();
  for (const auto& [task, run] : running_)
    running.push_back({task, run.number, "", 100, 10});
  Json ended = Json::array();
  for (const auto& [number, end] : ended_)
    if (ended.size() < kEndsOfAnswer) ended.push_back(end);
  return {{200, Json{{"clockMs", Clock()},
                     {"born", born_},
                     {"running", std::move(running)},
                     {"ended", std::move(ended)}}
                    .dump()}};
}

Runner::Reply Runner::Answer() const {
  return {{200, Json{{"clockMs", Clock()}}.dump()}};
}

Runner::Reply Runner::Refuse(const char* reason) const {
  return {{409, Json{{"clockMs", Clock()}, {"reason", reason}}.dump()}};
}

bool Runner::IsFenced(const Json& body) {
  const std::uint64_t token = body.value("fenceToken", std::uint64_t{0});
  if (token < token_) return true;
  token_ = token;
  return false;
}

void Runner::Extend(const Json& body) {
  const std::int64_t wanted = body.value("deadlineMs", std::int64_t{0});
  deadline_ = std::max(deadline_, std::min(wanted, Clock() + kHoldMaxMs));
}

void Runner::Tick() {
  bool is_due = false;
  {
    const std::lock_guard lock(mutex_);
    if (!is_up_) return;
    const bool is_lapsed = Clock() > deadline_;
    for (auto it = running_.begin(); it != running_.end();) {
      const auto& [task, run] = *it;
      const bool has_ended = run.ends_at != 0 && Clock() >= run.ends_at;
      if (!is_lapsed && !has_ended) {
        ++it;
        continue;
      }
      const std::string how = is_lapsed ? "lapsed" : run.how;
      highest_[task] = std::max(highest_[task], run.number);
      ++last_end_;
      ended_[last_end_] = {last_end_, task, run.number, how, ""};
      record_.Ended(id_, task, run.number, how);
      it = running_.erase(it);
      changed_.notify_all();
    }
    is_due = SteadyMillis() - registered_at_ >= kHeartbeatMs;
  }
  if (is_due) Register();
}

void Runner::Register() {
  Json entry;
  std::uint64_t lease = 0;
  {
    const std::lock_guard lock(mutex_);
    registered_at_ = SteadyMillis();
    lease = lease_;
    entry = {{"service", options_.pool},
             {"addr", address()},
             {"zone", "z0"},
             {"version", "v1"},
             {"slots", 8},
             {"state", "ready"},
             {"coldLeftMs", 0},
             {"capacity", {{"cpu", 32'000}, {"memMb", 65'536}, {"gpu", 0}}},
             {"labels", options_.labels},
             {"born", born_},
             {"sequence", ++sequence_}};
  }
  store_.KeepLease(lease);
  store_.Put("servers/" + id_, entry, lease);
}

std::int64_t Runner::Clock() const { return SteadyMillis() - booted_at_ + 1; }

}  // namespace pomelomill::review
