#include "response_reader.h"

namespace pomelomill {
namespace {

/// Limit on the names and values of the headers of one response together.
constexpr std::size_t kMaxHeaderBytes = std::size_t{32} << 10;

std::size_t HeaderBytes(const HttpResponse& response) {
  std::size_t n = 0;
  for (const HttpHeader& it : response.headers)
    n += it.name.size() + it.value.size();
  return n;
}

bool IsInterim(const http_parser& parser) {
  return parser.status_code >= 100 && parser.status_code < 200;
}

}  // namespace

ResponseReader::ResponseReader() { Begin(0); }

void ResponseReader::Begin(std::size_t max_body_bytes) {
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  response_ = {};
  max_body_bytes_ = max_body_bytes;
  state_ = State::kIncomplete;
  has_begun_ = false;
  keeps_connection_ = false;
  is_reading_value_ = false;
}

const http_parser_settings& ResponseReader::Callbacks() {
  static const http_parser_settings callbacks = [] {
    http_parser_settings it;
    http_parser_settings_init(&it);
    it.on_status = &ResponseReader::OnStatus;
    it.on_header_field = &ResponseReader::OnField;
    it.on_header_value = &ResponseReader::OnValue;
    it.on_headers_complete = &ResponseReader::OnHeadersComplete;
    it.on_body = &ResponseReader::OnBody;
    it.on_message_complete = &ResponseReader::OnComplete;
    return it;
  }();
  return callbacks;
}

ResponseReader::State ResponseReader::Feed(std::string_view bytes) {
  has_begun_ |= !bytes.empty();
  const std::size_t n =
      http_parser_execute(&parser_, &Callbacks(), bytes.data(), bytes.size());
  if (state_ == State::kTooLarge || state_ == State::kUnframed) return state_;
  if (state_ == State::kComplete && n == bytes.size()) return state_;
  if (n != bytes.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
    state_ = State::kMalformed;
  return state_;
}

bool ResponseReader::IsFramed() const {
  const int status = response_.status;
  if (status == 204 || status == 304) return true;
  return !response_.header("Content-Length").empty() ||
         !response_.header("Transfer-Encoding").empty();
}

int ResponseReader::OnStatus(http_parser* parser, const char*, std::size_t) {
  Self(parser).response_.status = static_cast<int>(parser->status_code);
  return 0;
}

int ResponseReader::OnField(http_parser* parser, const char* text,
                            std::size_t size) {
  ResponseReader& self = Self(parser);
  auto& headers = self.response_.headers;
  if (headers.empty() || self.is_reading_value_) headers.emplace_back();
  self.is_reading_value_ = false;
  headers.back().name.append(text, size);
  return HeaderBytes(self.response_) > kMaxHeaderBytes ? 1 : 0;
}

int ResponseReader::OnValue(http_parser* parser, const char* text,
                            std::size_t size) {
  ResponseReader& self = Self(parser);
  self.is_reading_value_ = true;
  self.response_.headers.back().value.append(text, size);
  return HeaderBytes(self.response_) > kMaxHeaderBytes ? 1 : 0;
}

int ResponseReader::OnHeadersComplete(http_parser* parser) {
  ResponseReader& self = Self(parser);
  self.response_.status = static_cast<int>(parser->status_code);
  if (IsInterim(*parser) || self.IsFramed()) return 0;
  self.state_ = State::kUnframed;
  return -1;
}

int ResponseReader::OnBody(http_parser* parser, const char* text,
                           std::size_t size) {
  ResponseReader& self = Self(parser);
  if (self.response_.body.size() + size > self.max_body_bytes_) {
    self.state_ = State::kTooLarge;
    return 1;
  }
  self.response_.body.append(text, size);
  return 0;
}

int ResponseReader::OnComplete(http_parser* parser) {
  ResponseReader& self = Self(parser);
  if (IsInterim(*parser)) {
    // The final response follows.
    self.response_ = {};
    self.is_reading_value_ = false;
    return 0;
  }
  self.state_ = State::kComplete;
  self.keeps_connection_ = http_should_keep_alive(parser) != 0;
  // Otherwise bytes that follow would be read as another response.
  http_parser_pause(parser, 1);
  return 0;
}

}  // namespace pomelomill
