#pragma once

#include <http_parser.h>

#include <cstddef>
#include <memory>
#include <string_view>
#include <vector>

#include "pomelomill/http/http_listener.h"

namespace pomelomill {

/// Reads the requests of one connection, one after the other, with http_parser.
/// Memory depends on the bytes of a body, not on the chunks that they come in.
class RequestReader {
 public:
  enum class State {
    kIncomplete,
    kComplete,
    /// Target, names and values exceed the limit together; the request ends
    /// here.
    kHeaderTooLarge,
    /// The request asks for another protocol and ends here.
    kUpgrade,
    /// Not HTTP, or a single part of the request exceeds its limit.
    kMalformed
  };

  RequestReader(std::size_t max_header_bytes, std::size_t max_body_bytes);
  RequestReader(const RequestReader&) = delete;
  RequestReader& operator=(const RequestReader&) = delete;

  /// Takes bytes up to the end of the request and returns how many.
  std::size_t Feed(std::string_view bytes);
  State state() const { return state_; }

  /// Whether any byte of the request has arrived.
  bool has_begun() const { return has_begun_; }
  /// Memory allocated for the request.
  std::size_t memory() const;
  std::size_t header_memory() const { return header_memory_; }
  std::size_t body_bytes() const { return body_bytes_; }
  /// Whether the connection may be used again after the request.
  bool keeps_connection() const { return keeps_connection_; }

  /// The request, after kComplete; the next one begins.
  IncomingRequest Take();
  /// Frees what was read of a request.
  void Reset();

 private:
  /// Bodies are collected in blocks of a fixed size, so that one that grows
  /// needs no copy and leaves no holes of other sizes behind.
  struct Block {
    std::unique_ptr<char[]> bytes;
    std::size_t capacity = 0;
    std::size_t used = 0;
  };

  static RequestReader& Self(http_parser* parser) {
    return *static_cast<RequestReader*>(parser->data);
  }
  static int OnTarget(http_parser* parser, const char* text, std::size_t size);
  static int OnField(http_parser* parser, const char* text, std::size_t size);
  static int OnValue(http_parser* parser, const char* text, std::size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* text, std::size_t size);
  static int OnComplete(http_parser* parser);
  static const http_parser_settings& Callbacks();

  /// Whether `size` more bytes of the header are to be stored.
  bool CountHeaderBytes(std::size_t size);
  void Append(std::string_view bytes);
  void MeasureHeader();

  const std::size_t max_header_bytes_;
  const std::size_t max_body_bytes_;
  http_parser parser_{};
  IncomingRequest request_;
  std::vector<Block> blocks_;
  State state_ = State::kIncomplete;
  std::size_t header_bytes_ = 0;
  std::size_t part_bytes_ = 0;
  std::size_t fields_ = 0;
  std::size_t header_memory_ = 0;
  std::size_t body_bytes_ = 0;
  std::size_t block_memory_ = 0;
  bool has_begun_ = false;
  bool has_header_ = false;
  bool is_reading_value_ = false;
  bool keeps_connection_ = false;
};

}  // namespace pomelomill
