#include "transfer.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "connect_error.h"
#include "pomelomill/http/http_error.h"

namespace pomelomill {
namespace {

std::string_view Trim(std::string_view s) {
  const auto first = s.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) return {};
  return s.substr(first, s.find_last_not_of(" \t\r\n") - first + 1);
}

std::error_code ErrorOf(CURLcode code, long os_error) {
  switch (code) {
    case CURLE_OK:
      return {};
    case CURLE_COULDNT_CONNECT:
      // libcurl leaves 0 when it could not create a socket.
      return ConnectError(os_error);
    case CURLE_COULDNT_RESOLVE_HOST:
      return HttpError::kConnectFailed;
    case CURLE_OPERATION_TIMEDOUT:
      return HttpError::kTimeout;
    case CURLE_PARTIAL_FILE:
      return HttpError::kTruncated;
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
      return HttpError::kConnectionClosed;
    default:
      return HttpError::kFailed;
  }
}

long Millis(Duration d) {
  // libcurl reads 0 as "no limit".
  return static_cast<long>(std::max<std::int64_t>(1, ToMillis(d)));
}

}  // namespace

Transfer::Transfer(HttpClient::RequestId id, HttpRequest request,
                   HttpClient::Callback callback)
    : id_(id),
      request_(std::move(request)),
      callback_(std::move(callback)),
      handle_(curl_easy_init()) {}

bool Transfer::AddHeaders() {
  curl_slist* list = nullptr;
  const auto append = [&](const std::string& line) {
    list = curl_slist_append(list, line.c_str());
  };
  // An empty value removes a header that libcurl would add by itself.
  append("Expect:");
  bool has_content_type = false;
  for (const HttpHeader& it : request_.headers) {
    if (HasLineBreak(it.name) || HasLineBreak(it.value)) {
      curl_slist_free_all(list);
      return false;
    }
    has_content_type |= IsSameHeaderName(it.name, "Content-Type");
    // libcurl wants ";" in place of ":" to send a header without a value.
    append(it.value.empty() ? it.name + ";" : it.name + ": " + it.value);
  }
  if (!has_content_type) append("Content-Type:");
  header_list_.reset(list);
  return true;
}

bool Transfer::Prepare() {
  CURL* h = handle_.get();
  if (h == nullptr || !AddHeaders() || HasLineBreak(request_.method) ||
      request_.method.empty())
    return false;
  if (curl_easy_setopt(h, CURLOPT_URL, request_.url.c_str()) != CURLE_OK)
    return false;
  curl_easy_setopt(h, CURLOPT_PRIVATE, this);
  curl_easy_setopt(h, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(h, CURLOPT_PROXY, "");
  curl_easy_setopt(h, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt(h, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(h, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt(h, CURLOPT_TIMEOUT_MS, Millis(request_.timeout));
  curl_easy_setopt(h, CURLOPT_CONNECTTIMEOUT_MS,
                   Millis(request_.connect_timeout));
  curl_easy_setopt(h, CURLOPT_HTTPHEADER, header_list_.get());
  curl_easy_setopt(h, CURLOPT_WRITEFUNCTION, &Transfer::OnBody);
  curl_easy_setopt(h, CURLOPT_WRITEDATA, this);
  curl_easy_setopt(h, CURLOPT_HEADERFUNCTION, &Transfer::OnHeader);
  curl_easy_setopt(h, CURLOPT_HEADERDATA, this);
  if (request_.use_fresh_connection) {
    curl_easy_setopt(h, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(h, CURLOPT_FORBID_REUSE, 1L);
  }
  if (request_.method == "HEAD") {
    curl_easy_setopt(h, CURLOPT_NOBODY, 1L);
  } else if (request_.method != "GET" || !request_.body.empty()) {
    curl_easy_setopt(h, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request_.body.size()));
    curl_easy_setopt(h, CURLOPT_POSTFIELDS, request_.body.data());
    curl_easy_setopt(h, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
  }
  return true;
}

std::size_t Transfer::OnBody(char* data, std::size_t size, std::size_t count,
                             void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  std::string& body = transfer->response_.body;
  const std::size_t n = size * count;
  if (body.size() + n > transfer->request_.max_response_bytes) {
    transfer->is_too_large_ = true;
    return 0;
  }
  body.append(data, n);
  return n;
}

std::size_t Transfer::OnHeader(char* data, std::size_t size, std::size_t count,
                               void* self) {
  auto* transfer = static_cast<Transfer*>(self);
  const std::size_t n = size * count;
  const std::string_view line(data, n);
  if (line.starts_with("HTTP/")) {
    // The final response follows interim ones such as 100.
    transfer->response_.headers.clear();
    return n;
  }
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return n;
  transfer->response_.headers.push_back(
      {std::string(Trim(line.substr(0, colon))),
       std::string(Trim(line.substr(colon + 1)))});
  return n;
}

bool Transfer::MayHaveBeenSent() const {
  long request_bytes = 0;
  curl_off_t pretransfer_us = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_REQUEST_SIZE, &request_bytes);
  curl_easy_getinfo(handle_.get(), CURLINFO_PRETRANSFER_TIME_T,
                    &pretransfer_us);
  // Either says that sending may have begun; the byte count alone misses a
  // first write that the kernel took only in part.
  return request_bytes > 0 || pretransfer_us > 0;
}

bool Transfer::IsFramed() const {
  const int status = response_.status;
  if (request_.method == "HEAD" || status == 204 || status == 304) return true;
  return !response_.header("Content-Length").empty() ||
         !response_.header("Transfer-Encoding").empty();
}

HttpResult Transfer::Finish(CURLcode code) {
  HttpResult result;
  result.may_have_been_sent = MayHaveBeenSent();
  long os_error = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_OS_ERRNO, &os_error);
  result.error = ErrorOf(code, os_error);
  long status = 0;
  curl_easy_getinfo(handle_.get(), CURLINFO_RESPONSE_CODE, &status);
  response_.status = static_cast<int>(status);
  if (is_too_large_) result.error = HttpError::kTooLarge;
  if (result.error == HttpError::kConnectionClosed && status != 0)
    result.error = HttpError::kTruncated;
  if (!result.error && !IsFramed()) result.error = HttpError::kTruncated;
  if (!result.error) result.response = std::move(response_);
  return result;
}

}  // namespace pomelomill
