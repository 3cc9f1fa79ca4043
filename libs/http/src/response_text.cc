#include "response_text.h"

namespace pomelomill {
namespace {

const char* Reason(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

}  // namespace

std::string EncodeResponse(const OutgoingResponse& response,
                           bool keeps_connection) {
  std::string text =
      "HTTP/1.1 " + std::to_string(response.status) + ' ' +
      Reason(response.status) +
      "\r\nConnection: " + (keeps_connection ? "keep-alive" : "close") +
      "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
  std::size_t size = text.size() + 2 + response.body.size();
  for (const HttpHeader& it : response.headers)
    size += it.name.size() + it.value.size() + 4;
  text.reserve(size);
  for (const HttpHeader& it : response.headers) {
    text += it.name;
    text += ": ";
    text += it.value;
    text += "\r\n";
  }
  text += "\r\n";
  text += response.body;
  return text;
}

}  // namespace pomelomill
