#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <thread>
#include <utility>

namespace review {
namespace {

constexpr std::size_t kBufferBytes = 65'536;
constexpr int kBacklog = 256;

sockaddr_in ParseAddress(const std::string& text) {
  const std::size_t colon = text.find(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(
      std::strtoul(text.c_str() + colon + 1, nullptr, 10)));
  inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return text;
}

std::string Decode(const std::string& text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      decoded += static_cast<char>(
          std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
      i += 2;
    } else {
      decoded += text[i];
    }
  }
  return decoded;
}

void ParseTarget(const std::string& target, Request& request) {
  const std::size_t mark = std::min(target.find('?'), target.size());
  request.path = Decode(target.substr(0, mark));
  for (std::size_t begin = mark + 1; begin < target.size();) {
    const std::size_t end = std::min(target.find('&', begin), target.size());
    const std::string field = target.substr(begin, end - begin);
    const std::size_t equals = std::min(field.find('='), field.size());
    request.query[field.substr(0, equals)] =
        equals < field.size() ? Decode(field.substr(equals + 1)) : "";
    begin = end + 1;
  }
}

/// Reads from a socket until a whole message is there.
class MessageReader {
 public:
  explicit MessageReader(int socket) : socket_(socket) {}

  /// Reads the first line, the headers and the body; false when the connection
  /// ends before.
  bool Read(std::string& first_line,
            std::map<std::string, std::string>& headers, std::string& body) {
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Receive()) return false;
    }
    const std::string head = buffer_.substr(0, end);
    buffer_.erase(0, end + 4);
    std::size_t begin = head.find("\r\n");
    first_line = head.substr(0, begin);
    headers.clear();
    while (begin != std::string::npos) {
      begin += 2;
      const std::size_t next = head.find("\r\n", begin);
      const std::string line = head.substr(begin, next - begin);
      const std::size_t colon = line.find(':');
      if (colon != std::string::npos) {
        std::size_t value = colon + 1;
        while (value < line.size() && line[value] == ' ') ++value;
        headers[Lower(line.substr(0, colon))] = line.substr(value);
      }
      begin = next;
    }
    const auto length = headers.find("content-length");
    const std::size_t size =
        length == headers.end()
            ? 0
            : std::strtoul(length->second.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
      if (!Receive()) return false;
    }
    body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return true;
  }

 private:
  bool Receive() {
    std::string part(kBufferBytes, '\0');
    const ssize_t n = recv(socket_, part.data(), part.size(), 0);
    if (n <= 0) return false;
    buffer_.append(part, 0, static_cast<std::size_t>(n));
    return true;
  }

  const int socket_;
  std::string buffer_;
};

bool SendAll(int socket, const std::string& text) {
  for (std::size_t sent = 0; sent < text.size();) {
    const ssize_t n =
        send(socket, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void Reset(int socket) {
  const linger at_once{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
}

void ServeConnection(int socket, const Handler& handler) {
  const int on = 1;
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  MessageReader reader(socket);
  std::string first_line;
  Request request;
  while (reader.Read(first_line, request.headers, request.body)) {
    const std::size_t space = first_line.find(' ');
    const std::size_t end = first_line.find(' ', space + 1);
    request.method = first_line.substr(0, space);
    request.query.clear();
    ParseTarget(first_line.substr(space + 1, end - space - 1), request);
    const Response response = handler(request);
    if (response.is_reset) {
      Reset(socket);
      break;
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(response.status) +
        " Status\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!SendAll(socket, text)) break;
  }
  close(socket);
}

}  // namespace

std::string Request::Query(const std::string& name) const {
  const auto it = query.find(name);
  return it == query.end() ? "" : it->second;
}

std::string Request::Header(const std::string& name) const {
  const auto it = headers.find(name);
  return it == headers.end() ? "" : it->second;
}

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::int64_t SteadyMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void Serve(const std::string& address, Handler handler) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in target = ParseAddress(address);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&target),
           sizeof(target)) != 0 ||
      listen(listener, kBacklog) != 0) {
    std::cerr << address << ": " << std::strerror(errno) << "\n";
    std::_Exit(2);
  }
  std::thread([listener, handler = std::move(handler)] {
    while (true) {
      const int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (client >= 0)
        std::thread([client, &handler] {
          ServeConnection(client, handler);
        }).detach();
    }
  }).detach();
}

Response Call(const std::string& address, const std::string& method,
              const std::string& target, const std::string& host,
              const std::string& body, int timeout_ms) {
  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{timeout_ms / 1'000, (timeout_ms % 1000) * 1'000L};
  setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  setsockopt(client, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  const sockaddr_in peer = ParseAddress(address);
  Response response{.status = 0};
  std::string first_line;
  std::map<std::string, std::string> headers;
  MessageReader reader(client);
  if (connect(client, reinterpret_cast<const sockaddr*>(&peer), sizeof(peer)) ==
          0 &&
      SendAll(client,
              method + " " + target + " HTTP/1.1\r\nHost: " + host +
                  "\r\nContent-Type: application/json\r\nContent-Length: " +
                  std::to_string(body.size()) + "\r\n\r\n" + body) &&
      reader.Read(first_line, headers, response.body)) {
    response.status = static_cast<int>(
        std::strtol(first_line.c_str() + first_line.find(' '), nullptr, 10));
  }
  close(client);
  return response;
}

}  // namespace review
