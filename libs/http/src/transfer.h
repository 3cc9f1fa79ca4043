#pragma once

#include <curl/curl.h>

#include <memory>
#include <string>

#include "pomelomill/http/http_client.h"

namespace pomelomill {

/// One exchange: a libcurl easy handle with its request and response.
class Transfer {
 public:
  Transfer(HttpClient::RequestId id, HttpRequest request,
           HttpClient::Callback callback);

  /// False when libcurl refuses the request.
  bool Prepare();

  /// The result for libcurl's final code.
  HttpResult Finish(CURLcode code);

  HttpClient::RequestId id() const { return id_; }
  CURL* handle() const { return handle_.get(); }
  HttpClient::Callback& callback() { return callback_; }

 private:
  struct HandleDeleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
  };
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
  std::unique_ptr<CURL, HandleDeleter> handle_;
  std::unique_ptr<curl_slist, ListDeleter> header_list_;
};

}  // namespace pomelomill
