#include "connect_error.h"

#include <cerrno>

#include "pomelomill/http/http_error.h"

namespace pomelomill {

std::error_code ConnectError(long os_error) {
  switch (os_error) {
    case ECONNREFUSED:
      return HttpError::kConnectionRefused;
    case 0:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
      return HttpError::kNoSocket;
    default:
      return HttpError::kConnectFailed;
  }
}

}  // namespace pomelomill
