#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "pomelomill/http/http_message.h"

namespace pomelomill {

/// Reads the responses of one connection, one after the other, with
/// http_parser.
class ResponseReader {
 public:
  enum class State {
    kIncomplete,
    kComplete,
    /// The body exceeds the limit.
    kTooLarge,
    /// Nothing but the end of the connection marks the end of the body, so that
    /// a truncated one could not be told from a complete one.
    kUnframed,
    kMalformed
  };

  ResponseReader();
  ResponseReader(const ResponseReader&) = delete;
  ResponseReader& operator=(const ResponseReader&) = delete;

  /// Expects the next response, of at most `max_body_bytes`.
  void Begin(std::size_t max_body_bytes);
  /// Takes bytes of the connection; bytes beyond the end of the response are
  /// malformed.
  State Feed(std::string_view bytes);

  /// Whether any byte of the response has arrived.
  bool has_begun() const { return has_begun_; }
  /// Whether the connection may be used again after the response.
  bool keeps_connection() const { return keeps_connection_; }
  /// The response; call once, after kComplete.
  HttpResponse TakeResponse() { return std::move(response_); }

 private:
  static ResponseReader& Self(http_parser* parser) {
    return *static_cast<ResponseReader*>(parser->data);
  }
  static int OnStatus(http_parser* parser, const char* text, std::size_t size);
  static int OnField(http_parser* parser, const char* text, std::size_t size);
  static int OnValue(http_parser* parser, const char* text, std::size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* text, std::size_t size);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  bool IsFramed() const;

  http_parser parser_{};
  HttpResponse response_;
  std::size_t max_body_bytes_ = 0;
  State state_ = State::kIncomplete;
  bool has_begun_ = false;
  bool keeps_connection_ = false;
  bool is_reading_value_ = false;
};

}  // namespace pomelomill
