#include "pomelomill/http/http_client.h"

#include <curl/curl.h>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <map>
#include <unordered_map>
#include <utility>

#include "pomelomill/http/http_error.h"
#include "transfer.h"

namespace pomelomill {
namespace {

struct MultiDeleter {
  void operator()(CURLM* multi) const { curl_multi_cleanup(multi); }
};

void InitializeCurl() {
  static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
  static_cast<void>(code);
}

/// Readiness of one socket that libcurl owns.
struct SocketWatch {
  SocketWatch(asio::io_context& context, curl_socket_t fd)
      : descriptor(context, fd) {}

  asio::posix::stream_descriptor descriptor;
  int wanted = 0;
  bool is_reading = false;
  bool is_writing = false;
  bool is_removed = false;
};

}  // namespace

class HttpClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& context, const HttpClientOptions& options)
      : context_(context),
        timer_(context),
        max_idle_connections_(options.max_idle_connections) {
    InitializeCurl();
    multi_.reset(curl_multi_init());
    CURLM* m = multi_.get();
    curl_multi_setopt(m, CURLMOPT_SOCKETFUNCTION, &Impl::OnSocket);
    curl_multi_setopt(m, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m, CURLMOPT_TIMERFUNCTION, &Impl::OnTimer);
    curl_multi_setopt(m, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m, CURLMOPT_MAX_HOST_CONNECTIONS,
                      static_cast<long>(options.max_connections_per_host));
    LimitConnections();
  }

  RequestId Send(HttpRequest request, Callback callback) {
    const RequestId id = next_id_++;
    auto transfer =
        std::make_unique<Transfer>(id, std::move(request), std::move(callback));
    const bool is_accepted =
        transfer->Prepare() &&
        curl_multi_add_handle(multi_.get(), transfer->handle()) == CURLM_OK;
    Transfer& ref = *transfer;
    transfers_.emplace(id, std::move(transfer));
    LimitConnections();
    if (!is_accepted) Refuse(ref);
    return id;
  }

  void Cancel(RequestId id) {
    const auto it = transfers_.find(id);
    if (it == transfers_.end()) return;
    curl_multi_remove_handle(multi_.get(), it->second->handle());
    transfers_.erase(it);
    LimitConnections();
  }

  void Stop() {
    is_stopped_ = true;
    while (!transfers_.empty()) Cancel(transfers_.begin()->first);
    timer_.cancel();
    // Closes the idle connections, which removes their watches.
    multi_.reset();
    for (auto& [fd, watch] : watches_) Remove(*watch);
    watches_.clear();
  }

  std::size_t in_flight() const { return transfers_.size(); }

 private:
  /// libcurl's limit covers the connections in use as well, and closes an idle
  /// one after each exchange while it is exceeded.
  void LimitConnections() {
    curl_multi_setopt(
        multi_.get(), CURLMOPT_MAXCONNECTS,
        static_cast<long>(max_idle_connections_ + transfers_.size()));
  }

  void Refuse(Transfer& transfer) {
    asio::post(context_, [self = shared_from_this(), id = transfer.id()] {
      const auto it = self->transfers_.find(id);
      if (it == self->transfers_.end()) return;
      const Callback callback = std::move(it->second->callback());
      self->transfers_.erase(it);
      HttpResult result;
      result.error = HttpError::kBadRequest;
      result.may_have_been_sent = false;
      callback(std::move(result));
    });
  }

  static int OnSocket(CURL*, curl_socket_t fd, int what, void* self, void*) {
    static_cast<Impl*>(self)->Watch(fd, what);
    return 0;
  }

  static int OnTimer(CURLM*, long timeout_ms, void* self) {
    static_cast<Impl*>(self)->SetTimer(timeout_ms);
    return 0;
  }

  void Watch(curl_socket_t fd, int what) {
    auto it = watches_.find(fd);
    if (what == CURL_POLL_REMOVE) {
      if (it == watches_.end()) return;
      Remove(*it->second);
      watches_.erase(it);
      return;
    }
    if (it == watches_.end()) {
      it = watches_.emplace(fd, std::make_shared<SocketWatch>(context_, fd))
               .first;
    }
    it->second->wanted = what;
    Arm(it->second);
  }

  static void Remove(SocketWatch& watch) {
    watch.is_removed = true;
    // libcurl owns the socket and closes it.
    watch.descriptor.release();
  }

  void Arm(const std::shared_ptr<SocketWatch>& watch) {
    using Wait = asio::posix::stream_descriptor;
    if ((watch->wanted & CURL_POLL_IN) != 0 && !watch->is_reading) {
      watch->is_reading = true;
      watch->descriptor.async_wait(
          Wait::wait_read,
          [self = shared_from_this(), watch](std::error_code ec) {
            watch->is_reading = false;
            self->OnReady(watch, CURL_CSELECT_IN, ec);
          });
    }
    if ((watch->wanted & CURL_POLL_OUT) != 0 && !watch->is_writing) {
      watch->is_writing = true;
      watch->descriptor.async_wait(
          Wait::wait_write,
          [self = shared_from_this(), watch](std::error_code ec) {
            watch->is_writing = false;
            self->OnReady(watch, CURL_CSELECT_OUT, ec);
          });
    }
  }

  void OnReady(const std::shared_ptr<SocketWatch>& watch, int event,
               std::error_code ec) {
    if (watch->is_removed || is_stopped_) return;
    const int wanted = event == CURL_CSELECT_IN ? CURL_POLL_IN : CURL_POLL_OUT;
    if ((watch->wanted & wanted) == 0) return;
    Drive(watch->descriptor.native_handle(), ec ? CURL_CSELECT_ERR : event);
    if (!watch->is_removed && !is_stopped_) Arm(watch);
  }

  void SetTimer(long timeout_ms) {
    timer_.cancel();
    if (timeout_ms < 0 || is_stopped_) return;
    timer_.expires_after(std::chrono::milliseconds(timeout_ms));
    timer_.async_wait([self = shared_from_this()](std::error_code ec) {
      if (!ec && !self->is_stopped_) self->Drive(CURL_SOCKET_TIMEOUT, 0);
    });
  }

  void Drive(curl_socket_t fd, int events) {
    int running = 0;
    curl_multi_socket_action(multi_.get(), fd, events, &running);
    ReportFinished();
  }

  void ReportFinished() {
    int left = 0;
    while (!is_stopped_) {
      CURLMsg* msg = curl_multi_info_read(multi_.get(), &left);
      if (msg == nullptr) return;
      if (msg->msg != CURLMSG_DONE) continue;
      const CURLcode code = msg->data.result;
      Transfer* transfer = nullptr;
      curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &transfer);
      HttpResult result = transfer->Finish(code);
      const Callback callback = std::move(transfer->callback());
      curl_multi_remove_handle(multi_.get(), transfer->handle());
      transfers_.erase(transfer->id());
      LimitConnections();
      callback(std::move(result));
    }
  }

  asio::io_context& context_;
  asio::steady_timer timer_;
  const std::size_t max_idle_connections_;
  std::unique_ptr<CURLM, MultiDeleter> multi_;
  std::map<RequestId, std::unique_ptr<Transfer>> transfers_;
  std::unordered_map<curl_socket_t, std::shared_ptr<SocketWatch>> watches_;
  RequestId next_id_ = 1;
  bool is_stopped_ = false;
};

HttpClient::HttpClient(asio::io_context& context,
                       const HttpClientOptions& options)
    : impl_(std::make_shared<Impl>(context, options)) {}

HttpClient::~HttpClient() { impl_->Stop(); }

HttpClient::RequestId HttpClient::Send(HttpRequest request, Callback callback) {
  return impl_->Send(std::move(request), std::move(callback));
}

void HttpClient::Cancel(RequestId id) { impl_->Cancel(id); }

std::size_t HttpClient::in_flight() const { return impl_->in_flight(); }

}  // namespace pomelomill
