#pragma once

#include <curl/curl.h>

#include <memory>
#include <string>
#include <utility>

#include "pomelomill/http/http_client.h"

namespace pomelomill {

struct EasyHandleDeleter {
  void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using EasyHandle = std::unique_ptr<CURL, EasyHandleDeleter>;

/// One exchange: a libcurl easy handle with its request and response.
class Transfer {
 public:
  /// Returns a handle with the options that all exchanges share; null when
  /// libcurl has no memory. `close_socket` is called with `client` for each
  /// socket that libcurl opened for the handle, and must close it.
  static EasyHandle MakeHandle(curl_closesocket_callback close_socket,
                               void* client);

  /// `handle` comes from MakeHandle() or from an earlier exchange.
  Transfer(HttpClient::RequestId id, HttpRequest request,
           HttpClient::Callback callback, EasyHandle handle);

  /// False when libcurl refuses the request.
  bool Prepare();

  /// The result for libcurl's final code.
  HttpResult Finish(CURLcode code);

  HttpClient::RequestId id() const { return id_; }
  CURL* handle() const { return handle_.get(); }
  /// Returns the handle for a later exchange; null when it may carry something
  /// of this one over, as libcurl keeps the error number of a failed
  /// connection.
  EasyHandle ReleaseHandle();
  HttpClient::Callback& callback() { return callback_; }

 private:
  struct ListDeleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
  };

  static std::size_t OnBody(char* data, std::size_t size, std::size_t count,
                            void* self);
  static std::size_t OnHeader(char* data, std::size_t size, std::size_t count,
                              void* self);

  bool AddHeaders();
  bool MayHaveBeenSent() const;
  /// True when Content-Length, chunked coding or the status marks the end of
  /// the response (RFC 9112, section 6.3). A body that ends with the
  /// connection cannot be told from a truncated one.
  bool IsFramed() const;

  HttpClient::RequestId id_;
  HttpRequest request_;
  HttpClient::Callback callback_;
  HttpResponse response_;
  bool is_too_large_ = false;
  bool is_handle_reusable_ = false;
  std::unique_ptr<curl_slist, ListDeleter> header_list_;
  EasyHandle handle_;
};

}  // namespace pomelomill
