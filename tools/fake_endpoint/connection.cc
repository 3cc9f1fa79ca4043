#include "connection.h"

#include <strings.h>

#include <asio/write.hpp>
#include <utility>

namespace pomelomill::fake_endpoint {

Connection::Connection(EndpointPort& owner,
                       std::shared_ptr<std::size_t> open_connections,
                       asio::ip::tcp::socket socket)
    : owner_(owner),
      open_connections_(std::move(open_connections)),
      socket_(std::move(socket)) {
  ++*open_connections_;
  std::error_code ec;
  socket_.set_option(asio::ip::tcp::no_delay(true), ec);
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
}

Connection::~Connection() { --*open_connections_; }

int Connection::OnUrl(http_parser* parser, const char* at, std::size_t n) {
  static_cast<Connection*>(parser->data)->target_.append(at, n);
  return 0;
}

int Connection::OnField(http_parser* parser, const char* at, std::size_t n) {
  auto* self = static_cast<Connection*>(parser->data);
  if (self->is_in_value_) self->field_.clear();
  self->is_in_value_ = false;
  self->field_.append(at, n);
  return 0;
}

int Connection::OnValue(http_parser* parser, const char* at, std::size_t n) {
  auto* self = static_cast<Connection*>(parser->data);
  self->is_in_value_ = true;
  if (strcasecmp(self->field_.c_str(), "X-Request-Id") == 0) {
    self->id_.append(at, n);
  } else if (strcasecmp(self->field_.c_str(), "Idempotency-Key") == 0) {
    self->key_.append(at, n);
  }
  return 0;
}

int Connection::OnComplete(http_parser* parser) {
  static_cast<Connection*>(parser->data)->is_complete_ = true;
  http_parser_pause(parser, 1);
  return 0;
}

void Connection::Read() {
  socket_.async_read_some(
      asio::buffer(buf_),
      [self = shared_from_this()](std::error_code ec, std::size_t n) {
        if (ec) return;
        self->input_.append(self->buf_.data(), n);
        self->Parse();
      });
}

void Connection::Parse() {
  http_parser_settings settings;
  http_parser_settings_init(&settings);
  settings.on_url = &OnUrl;
  settings.on_header_field = &OnField;
  settings.on_header_value = &OnValue;
  settings.on_message_complete = &OnComplete;
  const std::size_t n =
      http_parser_execute(&parser_, &settings, input_.data(), input_.size());
  const http_errno error = HTTP_PARSER_ERRNO(&parser_);
  if (is_complete_) {
    http_parser_pause(&parser_, 0);
    input_.erase(0, n);
    return Answer();
  }
  if (error != HPE_OK) return;
  input_.clear();
  Read();
}

void Connection::Answer() {
  const EndpointPort::Reply reply =
      owner_.Handle(http_method_str(static_cast<http_method>(parser_.method)),
                    target_, id_, key_, requests_ > 0);
  ++requests_;
  is_complete_ = false;
  target_.clear();
  field_.clear();
  id_.clear();
  key_.clear();
  if (reply.delay <= Duration(0)) return Write(reply);
  owner_.timers().ScheduleAfter(
      reply.delay, [self = shared_from_this(), reply] { self->Write(reply); });
}

void Connection::Write(const EndpointPort::Reply& reply) {
  output_ = reply.text;
  // The slot is free before the caller can know that the response is there.
  owner_.OnRunEnded(reply, !reply.closes);
  asio::async_write(socket_, asio::buffer(output_),
                    [self = shared_from_this(), closes = reply.closes](
                        std::error_code ec, std::size_t) {
                      if (ec || closes) return;
                      if (self->input_.empty()) return self->Read();
                      self->Parse();
                    });
}

}  // namespace pomelomill::fake_endpoint
