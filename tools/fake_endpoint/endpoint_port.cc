#include "endpoint_port.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "connection.h"

namespace pomelomill::fake_endpoint {
namespace {

constexpr std::size_t kMaxRecords = 2'000'000;

std::string Response(const std::string& status, const std::string& headers,
                     const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

bool ParseMode(std::string_view name, Mode& mode) {
  constexpr std::array<std::pair<std::string_view, Mode>, 8> kModes = {{
      {"normal", Mode::kNormal},
      {"slow", Mode::kSlow},
      {"failing", Mode::kFailing},
      {"truncated", Mode::kTruncated},
      {"close", Mode::kCloseBeforeResponse},
      {"close-reused", Mode::kCloseReused},
      {"draining", Mode::kDraining},
      {"down", Mode::kDown},
  }};
  for (const auto& [text, value] : kModes) {
    if (text != name) continue;
    mode = value;
    return true;
  }
  return false;
}

EndpointPort::EndpointPort(asio::io_context& context, TimerService& timers,
                           std::uint16_t port, EndpointOptions options,
                           std::uint64_t seed)
    : timers_(timers),
      acceptor_(context, {asio::ip::address_v4::loopback(), port}),
      options_(options),
      random_(seed),
      warm_at_(timers.Now() + options.cold_start) {
  Accept();
}

void EndpointPort::Accept() {
  acceptor_.async_accept([this](std::error_code ec,
                                asio::ip::tcp::socket socket) {
    if (ec) return;
    const bool is_full = *open_connections_ >= options_.connections;
    if (!is_full) {
      std::make_shared<Connection>(*this, open_connections_, std::move(socket))
          ->Start();
    }
    Accept();
  });
}

Duration EndpointPort::ServiceTime() {
  const double mean = ToSeconds(options_.service_mean);
  const double s = options_.is_exponential ? random_.Exponential(mean) : mean;
  const Duration time(static_cast<std::int64_t>(s * 1e9));
  return mode_ == Mode::kSlow ? 10 * time : time;
}

EndpointPort::Reply EndpointPort::Refuse() const {
  return {.text = Response("503 Service Unavailable",
                           "Pomelomill-Not-Processed: 1\r\n", "")};
}

EndpointPort::Reply EndpointPort::Handle(const std::string& method,
                                         const std::string& target,
                                         const std::string& id,
                                         const std::string& key,
                                         bool is_reused) {
  const bool is_off = mode_ == Mode::kDown || timers_.Now() < warm_at_;
  if (is_off && !target.starts_with("/-/")) return {.closes = true};
  if (target == "/healthz") {
    std::ostringstream body;
    body << "{\"active\": " << active_ << ", \"slots\": " << options_.slots
         << ", \"draining\": " << (mode_ == Mode::kDraining ? "true" : "false")
         << ", \"generation\": " << generation_ << "}";
    return {.text = Response("200 OK", "Content-Type: application/json\r\n",
                             body.str())};
  }
  if (target.starts_with("/-/")) return HandleAdmin(method, target);
  if (mode_ == Mode::kCloseReused && is_reused) return {.closes = true};
  if (mode_ == Mode::kDraining || active_ >= options_.slots) {
    ++refused_;
    return Refuse();
  }
  ++active_;
  peak_ = std::max(peak_, active_);
  if (records_.size() < kMaxRecords) records_.push_back({id, key, target});
  Reply reply{.delay = mode_ == Mode::kFailing ? Duration(0) : ServiceTime(),
              .text = Response("200 OK", "X-Request-Id: " + id + "\r\n",
                               "run " + id + "\n"),
              .is_run = true,
              .record = records_.size() - 1};
  if (mode_ == Mode::kFailing) {
    reply.text = Response("500 Internal Server Error", "", "failing\n");
  } else if (mode_ == Mode::kTruncated) {
    reply.text.resize(reply.text.size() - 3);
    reply.closes = true;
  } else if (mode_ == Mode::kCloseBeforeResponse) {
    reply.text.clear();
    reply.closes = true;
  }
  return reply;
}

void EndpointPort::OnRunEnded(const Reply& reply, bool is_answered) {
  if (!reply.is_run) return;
  --active_;
  if (reply.record < records_.size()) {
    records_[reply.record].is_answered = is_answered;
  }
}

EndpointPort::Reply EndpointPort::HandleAdmin(const std::string& method,
                                              const std::string& target) {
  if (method == "GET" && target == "/-/records") {
    std::ostringstream body;
    for (const RunRecord& it : records_) {
      body << (it.id.empty() ? "-" : it.id) << ' '
           << (it.key.empty() ? "-" : it.key) << ' ' << it.target << ' '
           << (it.is_answered ? "answered" : "open") << '\n';
    }
    return {.text = Response("200 OK", "", body.str())};
  }
  if (method == "GET" && target == "/-/counters") {
    std::ostringstream body;
    body << "{\"cut\": " << cut_ << ", \"refused\": " << refused_
         << ", \"peak\": " << peak_ << "}";
    return {.text = Response("200 OK", "", body.str())};
  }
  constexpr std::string_view kAdmin = "/-/admin?";
  if (method == "POST" && target.starts_with(kAdmin))
    return HandlePlatform(target.substr(kAdmin.size()));
  constexpr std::string_view kMode = "/-/mode?";
  if (method == "POST" && target.starts_with(kMode) &&
      ParseMode(target.substr(kMode.size()), mode_)) {
    return {.text = Response("200 OK", "", "")};
  }
  if (method == "POST" && target == "/-/restart") {
    ++generation_;
    mode_ = Mode::kNormal;
    warm_at_ = timers_.Now() + options_.cold_start;
    return {.text = Response("200 OK", "", "")};
  }
  if (method == "POST" && target == "/-/clear") {
    if (active_ > 0) return {.text = Response("409 Conflict", "", "busy\n")};
    records_.clear();
    return {.text = Response("200 OK", "", "")};
  }
  return {.text = Response("404 Not Found", "", "")};
}

EndpointPort::Reply EndpointPort::HandlePlatform(const std::string& query) {
  const auto value = [&](const std::string& name) {
    const auto at = query.find(name + "=");
    if (at == std::string::npos) return std::string();
    const auto begin = at + name.size() + 1;
    return query.substr(begin, query.find('&', begin) - begin);
  };
  const std::string mode = value("mode");
  if (mode == "up") {
    mode_ = Mode::kNormal;
    warm_at_ = timers_.Now() + options_.cold_start;
  } else if (mode == "down") {
    if (mode_ != Mode::kDown) cut_ += active_;
    mode_ = Mode::kDown;
  } else if (mode == "draining") {
    mode_ = Mode::kDraining;
  } else {
    return {.text = Response("400 Bad Request", "", "")};
  }
  const std::string generation = value("generation");
  if (!generation.empty()) generation_ = std::stoull(generation);
  return {.text = Response("200 OK", "", "")};
}

}  // namespace pomelomill::fake_endpoint
