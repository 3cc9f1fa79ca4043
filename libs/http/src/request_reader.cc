#include "request_reader.h"

#include <algorithm>
#include <cstring>
#include <string>
#include <utility>

namespace pomelomill {
namespace {

constexpr std::size_t kMaxHeaderFields = 100;
constexpr std::size_t kMaxHeaderName = 256;
/// Most bodies have a few KB.
constexpr std::size_t kFirstBlockBytes = std::size_t{2} << 10;
constexpr std::size_t kBlockBytes = std::size_t{8} << 10;

/// Memory of a string on the heap.
std::size_t HeapBytes(const std::string& text) {
  return text.capacity() > std::string().capacity() ? text.capacity() + 1 : 0;
}

}  // namespace

RequestReader::RequestReader(std::size_t max_header_bytes,
                             std::size_t max_body_bytes)
    : max_header_bytes_(max_header_bytes), max_body_bytes_(max_body_bytes) {
  Reset();
}

void RequestReader::Reset() {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  // Assignment of an empty request would keep the capacity of its strings.
  IncomingRequest empty;
  std::swap(request_, empty);
  blocks_ = std::vector<Block>();
  state_ = State::kIncomplete;
  header_bytes_ = part_bytes_ = fields_ = header_memory_ = 0;
  body_bytes_ = block_memory_ = 0;
  has_begun_ = has_header_ = is_reading_value_ = keeps_connection_ = false;
}

const http_parser_settings& RequestReader::Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_url = &RequestReader::OnTarget;
    it.on_header_field = &RequestReader::OnField;
    it.on_header_value = &RequestReader::OnValue;
    it.on_headers_complete = &RequestReader::OnHeadersComplete;
    it.on_body = &RequestReader::OnBody;
    it.on_message_complete = &RequestReader::OnComplete;
    return it;
  }();
  return callbacks;
}

std::size_t RequestReader::Feed(std::string_view bytes) {
  has_begun_ |= !bytes.empty();
  const std::size_t n =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  if (!has_header_) MeasureHeader();
  if (state_ == State::kIncomplete &&
      (n != bytes.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK))
    state_ = State::kMalformed;
  return n;
}

std::size_t RequestReader::memory() const {
  return header_memory_ + block_memory_ + blocks_.capacity() * sizeof(Block);
}

IncomingRequest RequestReader::Take() {
  IncomingRequest request = std::move(request_);
  request.body.reserve(body_bytes_);
  for (const Block& it : blocks_) request.body.append(it.bytes.get(), it.used);
  Reset();
  return request;
}

bool RequestReader::CountHeaderBytes(std::size_t size) {
  header_bytes_ += size;
  part_bytes_ += size;
  return header_bytes_ <= max_header_bytes_;
}

void RequestReader::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    if (blocks_.empty() || blocks_.back().used == blocks_.back().capacity) {
      const std::size_t capacity =
          blocks_.empty() ? kFirstBlockBytes : kBlockBytes;
      blocks_.push_back({std::make_unique<char[]>(capacity), capacity, 0});
      block_memory_ += capacity;
    }
    Block& block = blocks_.back();
    const std::size_t n = std::min(bytes.size(), block.capacity - block.used);
    std::memcpy(block.bytes.get() + block.used, bytes.data(), n);
    block.used += n;
    bytes.remove_prefix(n);
  }
}

void RequestReader::MeasureHeader() {
  header_memory_ = HeapBytes(request_.method) + HeapBytes(request_.target) +
                   request_.headers.capacity() * sizeof(HttpHeader);
  for (const HttpHeader& it : request_.headers)
    header_memory_ += HeapBytes(it.name) + HeapBytes(it.value);
}

int RequestReader::OnTarget(http_parser* parser, const char* text,
                            std::size_t size) {
  RequestReader& self = Self(parser);
  if (self.CountHeaderBytes(size)) self.request_.target.append(text, size);
  return self.part_bytes_ > self.max_header_bytes_ ? 1 : 0;
}

int RequestReader::OnField(http_parser* parser, const char* text,
                           std::size_t size) {
  RequestReader& self = Self(parser);
  // Trailers after a chunked body are counted and ignored.
  if (self.has_header_) return self.CountHeaderBytes(size) ? 0 : 1;
  auto& headers = self.request_.headers;
  if (self.fields_ == 0 || self.is_reading_value_) {
    if (++self.fields_ > kMaxHeaderFields) return 1;
    self.part_bytes_ = 0;
    self.is_reading_value_ = false;
    if (self.header_bytes_ <= self.max_header_bytes_) headers.emplace_back();
  }
  if (self.CountHeaderBytes(size)) headers.back().name.append(text, size);
  return self.part_bytes_ > kMaxHeaderName ? 1 : 0;
}

int RequestReader::OnValue(http_parser* parser, const char* text,
                           std::size_t size) {
  RequestReader& self = Self(parser);
  if (self.has_header_) return self.CountHeaderBytes(size) ? 0 : 1;
  if (!self.is_reading_value_) self.part_bytes_ = 0;
  self.is_reading_value_ = true;
  if (self.CountHeaderBytes(size))
    self.request_.headers.back().value.append(text, size);
  return self.part_bytes_ > self.max_header_bytes_ ? 1 : 0;
}

int RequestReader::OnHeadersComplete(http_parser* parser) {
  RequestReader& self = Self(parser);
  self.request_.method =
      http_method_str(static_cast<http_method>(parser->method));
  self.MeasureHeader();
  self.has_header_ = true;
  if (parser->upgrade != 0 || (parser->flags & F_CONNECTION_UPGRADE) != 0) {
    self.state_ = State::kUpgrade;
    return -1;
  }
  const bool has_length = (parser->flags & F_CONTENTLENGTH) != 0;
  return has_length && parser->content_length > self.max_body_bytes_ ? -1 : 0;
}

int RequestReader::OnBody(http_parser* parser, const char* text,
                          std::size_t size) {
  RequestReader& self = Self(parser);
  if (size > self.max_body_bytes_ - self.body_bytes_) return 1;
  self.body_bytes_ += size;
  // A request whose header is too large is rejected when it is complete.
  if (self.header_bytes_ <= self.max_header_bytes_) self.Append({text, size});
  return 0;
}

int RequestReader::OnComplete(http_parser* parser) {
  RequestReader& self = Self(parser);
  self.state_ = self.header_bytes_ > self.max_header_bytes_
                    ? State::kHeaderTooLarge
                    : State::kComplete;
  self.keeps_connection_ = http_should_keep_alive(parser) != 0;
  // The next request is read after this one was taken.
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace pomelomill
