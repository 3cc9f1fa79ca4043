#include "pomelomill/http/http_error.h"

#include <string>

namespace pomelomill {
namespace {

class Category : public std::error_category {
 public:
  const char* name() const noexcept override { return "http"; }
  std::string message(int value) const override {
    switch (static_cast<HttpError>(value)) {
      case HttpError::kConnectFailed:
        return "the connection could not be established";
      case HttpError::kTimeout:
        return "no complete response in time";
      case HttpError::kTruncated:
        return "the response is truncated";
      case HttpError::kConnectionClosed:
        return "the connection was closed before the response";
      case HttpError::kTooLarge:
        return "the response is too large";
      case HttpError::kBadRequest:
        return "the request is malformed";
      case HttpError::kFailed:
        return "the transfer failed";
      case HttpError::kListenFailed:
        return "the listening address cannot be used";
      case HttpError::kConnectionRefused:
        return "the connection was refused";
      case HttpError::kNoSocket:
        return "no descriptor, port or memory is left for a connection";
    }
    return "unknown HTTP error";
  }
};

}  // namespace

const std::error_category& HttpCategory() {
  static const Category category;
  return category;
}

}  // namespace pomelomill
