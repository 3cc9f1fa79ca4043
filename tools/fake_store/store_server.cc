#include "store_server.h"

#include <asio/io_context.hpp>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <restinio/all.hpp>
#include <utility>

#include "pomelomill/base/asio_timer_service.h"
#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxValueBytes = 1 << 20;
constexpr std::uint64_t kMaxMillis = 3'600'000;

struct Reply {
  int status = 200;
  Json body;
};

int StatusOf(std::error_code ec) {
  if (ec == StoreError::kConflict) return 409;
  if (ec == StoreError::kNotFound || ec == StoreError::kLeaseLapsed) return 404;
  if (ec == StoreError::kRateLimited) return 429;
  return 503;
}

Json ItemJson(const StoreItem& item) {
  return {{"value", item.value}, {"version", item.version.value()}};
}

std::optional<std::uint64_t> ReadNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, ec] = std::from_chars(text.data(), end, number);
  if (ec != std::errc() || rest != end) return std::nullopt;
  return number;
}

/// One request, decoded.
struct Call {
  std::string method;
  std::string path;
  std::map<std::string, std::string> parameters;
  std::string body;

  std::optional<std::uint64_t> number(const std::string& name) const {
    const auto it = parameters.find(name);
    return it == parameters.end() ? std::nullopt : ReadNumber(it->second);
  }
  std::string text(const std::string& name) const {
    const auto it = parameters.find(name);
    return it == parameters.end() ? "" : it->second;
  }
  /// The rest of the path after `prefix`, when it begins with it.
  std::optional<std::string> After(const std::string& prefix) const {
    if (!path.starts_with(prefix) || path.size() == prefix.size())
      return std::nullopt;
    return path.substr(prefix.size());
  }
};

Reply BadRequest(const char* reason) { return {400, {{"error", reason}}}; }

Json CountersJson(const CallCounter& counter) {
  constexpr std::array<const char*, kStoreCallKinds> kNames = {
      "get",   "put",         "erase",       "watch",
      "range", "grant_lease", "renew_lease", "revoke_lease"};
  Json json;
  for (std::size_t i = 0; i < kStoreCallKinds; ++i) {
    const CallCount& it = counter.count(static_cast<StoreCallKind>(i));
    json[kNames[i]] = {{"started", it.started},
                       {"succeeded", it.succeeded},
                       {"refused", it.refused},
                       {"unavailable", it.unavailable},
                       {"rate_limited", it.rate_limited}};
  }
  json["started"] = counter.started();
  return json;
}

}  // namespace

class StoreServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, const StoreServerOptions& options)
      : context_(context),
        options_(options),
        timers_(context),
        model_(timers_, options.model) {}

  Status Open() {
    using Settings = restinio::server_settings_t<Traits>;
    // Watches wait without a response for as long as their callers ask.
    auto settings =
        Settings{}
            .address(options_.host)
            .port(options_.port)
            .handle_request_timeout(milliseconds(kMaxMillis + 60'000))
            .incoming_http_msg_limits(
                restinio::incoming_http_msg_limits_t{}.max_body_size(
                    2 * kMaxValueBytes))
            .acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& a) {
              port_ = a.local_endpoint().port();
            })
            .request_handler([weak = weak_from_this()](
                                 const restinio::request_handle_t& request) {
              const auto self = weak.lock();
              if (self == nullptr) return restinio::request_rejected();
              return self->Serve(request);
            });
    try {
      server_ = std::make_unique<restinio::http_server_t<Traits>>(
          restinio::external_io_context(context_), std::move(settings));
      server_->open_sync();
    } catch (const std::system_error& e) {
      return Unexpected(e.code());
    } catch (const std::exception&) {
      return Unexpected(make_error_code(std::errc::address_not_available));
    }
    return {};
  }

  void Close() {
    if (server_ != nullptr) server_->close_sync();
    server_.reset();
  }

  std::uint16_t port() const { return port_; }
  StoreModel& model() { return model_; }

 private:
  using Traits =
      restinio::single_thread_traits_t<restinio::asio_timer_manager_t,
                                       restinio::null_logger_t>;

  restinio::request_handling_status_t Serve(
      const restinio::request_handle_t& request) {
    Call call;
    try {
      const auto& header = request->header();
      call.method = header.method().c_str();
      call.path = restinio::utils::unescape_percent_encoding<
          restinio::utils::relaxed_unescape_traits>(header.path());
      for (const auto& [name, value] :
           restinio::parse_query<restinio::parse_query_traits::relaxed>(
               header.query()))
        call.parameters.emplace(name, value);
    } catch (const std::exception&) {
      Send(request, BadRequest("malformed URL"), false);
      return restinio::request_accepted();
    }
    call.body = request->body();

    const auto watched = call.After("/v1/watch/");
    if (watched && call.method == "GET") {
      Watch(request, *watched, call);
      return restinio::request_accepted();
    }
    const bool is_admin = call.path.starts_with("/admin/");
    Reply reply = is_admin ? Admin(call) : Run(call);
    const bool is_write = !is_admin && call.method != "GET";
    const bool is_lost = is_write && reply.status == 200 && lost_writes_ > 0;
    if (is_lost) --lost_writes_;
    if (is_admin) {
      Send(request, reply, false);
    } else {
      Respond(request, std::move(reply), is_lost);
    }
    return restinio::request_accepted();
  }

  Reply Run(const Call& call) {
    if (const auto key = call.After("/v1/kv/")) return RunKey(call, *key);
    if (call.path == "/v1/range" && call.method == "GET") {
      const auto items = model_.Range(call.text("prefix"));
      if (!items) return {StatusOf(items.error()), Json::object()};
      Json list = Json::array();
      for (const StoreItem& it : *items) {
        Json item = ItemJson(it);
        item["key"] = it.key;
        list.push_back(std::move(item));
      }
      return {200, {{"items", std::move(list)}}};
    }
    if (call.path == "/v1/leases" && call.method == "POST") {
      const auto ttl = call.number("ttl_ms");
      if (!ttl || *ttl == 0 || *ttl > 48 * kMaxMillis)
        return BadRequest("ttl_ms is missing or out of range");
      return LeaseReply(model_.Grant(milliseconds(*ttl)));
    }
    if (const auto rest = call.After("/v1/leases/")) {
      const std::string renew = "/renew";
      if (call.method == "POST" && rest->ends_with(renew)) {
        return LeaseReply(model_.Renew(
            LeaseId(rest->substr(0, rest->size() - renew.size()))));
      }
      if (call.method == "DELETE")
        return LeaseReply(model_.Revoke(LeaseId(*rest)));
    }
    return {404, {{"error", "no such path"}}};
  }

  Reply RunKey(const Call& call, const std::string& key) {
    if (call.method == "GET") {
      const auto item = model_.Get(key);
      if (!item) return {StatusOf(item.error()), Json::object()};
      return {200, ItemJson(*item)};
    }
    const auto expect = call.number("expect");
    if (!expect) return BadRequest("expect is missing");
    if (call.method == "PUT") {
      if (call.body.size() > kMaxValueBytes)
        return {413, {{"error", "the value exceeds 1 MiB"}}};
      return VersionReply(key, model_.Put(key, call.body, Version(*expect),
                                          LeaseId(call.text("lease"))));
    }
    if (call.method == "DELETE")
      return VersionReply(key, model_.Erase(key, Version(*expect)));
    return {405, {{"error", "no such method"}}};
  }

  Reply VersionReply(const std::string& key, const Result<Version>& result) {
    if (result) return {200, {{"version", result->value()}}};
    if (result.error() == StoreError::kConflict)
      return {409, {{"version", model_.version(key).value()}}};
    return {StatusOf(result.error()), Json::object()};
  }

  Reply LeaseReply(const Result<LeaseId>& result) {
    if (!result) return {StatusOf(result.error()), Json::object()};
    const auto ttl = ToMillis(model_.ttl(*result));
    return {200, {{"lease", result->value()}, {"ttl_ms", ttl}}};
  }

  Reply Admin(const Call& call) {
    if (call.path == "/admin/counters" && call.method == "GET")
      return {200, CountersJson(model_.counter())};
    if (call.method != "POST") return {405, {{"error", "no such method"}}};
    if (call.path == "/admin/down") {
      const auto on = call.number("on");
      if (!on || *on > 1) return BadRequest("on must be 0 or 1");
      model_.set_down(*on == 1);
    } else if (call.path == "/admin/latency") {
      const auto ms = call.number("ms");
      if (!ms || *ms > kMaxMillis) return BadRequest("ms is out of range");
      options_.latency = milliseconds(*ms);
    } else if (call.path == "/admin/lose") {
      const auto writes = call.number("writes");
      if (!writes) return BadRequest("writes is missing");
      lost_writes_ = *writes;
    } else if (call.path == "/admin/rates") {
      const auto writes = call.number("writes");
      const auto reads = call.number("reads");
      if (!writes || !reads) return BadRequest("writes or reads is missing");
      model_.set_options(
          {static_cast<double>(*writes), static_cast<double>(*reads)});
    } else {
      return {404, {{"error", "no such path"}}};
    }
    return {200, Json::object()};
  }

  void Watch(const restinio::request_handle_t& request, const std::string& key,
             const Call& call) {
    const auto after = call.number("after");
    const auto wait = call.number("wait_ms");
    if (!after || !wait || *wait > kMaxMillis)
      return Respond(request, BadRequest("after or wait_ms is out of range"),
                     false);
    model_.Watch(key, Version(*after), milliseconds(*wait),
                 [weak = weak_from_this(), request](Result<StoreItem> item) {
                   const auto self = weak.lock();
                   if (self == nullptr) return;
                   Reply reply;
                   if (!item) {
                     reply = {StatusOf(item.error()), Json::object()};
                   } else if (item->version == Version()) {
                     reply = {204, Json::object()};
                   } else {
                     reply = {200, ItemJson(*item)};
                   }
                   self->Respond(request, std::move(reply), false);
                 });
  }

  void Respond(const restinio::request_handle_t& request, Reply reply,
               bool is_lost) {
    timers_.ScheduleAfter(options_.latency,
                          [request, reply = std::move(reply), is_lost] {
                            Send(request, reply, is_lost);
                          });
  }

  static void Send(const restinio::request_handle_t& request,
                   const Reply& reply, bool is_lost) {
    const auto status = restinio::http_status_line_t(
        restinio::http_status_code_t(static_cast<std::uint16_t>(reply.status)),
        reply.status == 200 ? "OK" : "Status");
    const std::string body =
        reply.status == 204
            ? ""
            : reply.body.dump(-1, ' ', false, Json::error_handler_t::replace);
    if (is_lost) {
      // Ends one byte short, which no client may take for a response.
      request->create_response<restinio::user_controlled_output_t>(status)
          .append_header("Content-Type", "application/json")
          .set_content_length(body.size() + 1)
          .connection_close()
          .set_body(body)
          .done();
      return;
    }
    auto response = request->create_response(status);
    response.append_header("Content-Type", "application/json");
    response.set_body(body);
    response.done();
  }

  asio::io_context& context_;
  StoreServerOptions options_;
  AsioTimerService timers_;
  StoreModel model_;
  std::uint64_t lost_writes_ = 0;
  std::uint16_t port_ = 0;
  std::unique_ptr<restinio::http_server_t<Traits>> server_;
};

StoreServer::StoreServer(asio::io_context& context,
                         const StoreServerOptions& options)
    : impl_(std::make_shared<Impl>(context, options)) {}

StoreServer::~StoreServer() { impl_->Close(); }

Status StoreServer::Open() { return impl_->Open(); }

std::uint16_t StoreServer::port() const { return impl_->port(); }

StoreModel& StoreServer::model() { return impl_->model(); }

}  // namespace pomelomill
