#include "pomelomill/store/http_store_client.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "pomelomill/store/store_error.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

/// Added to the wait of a watch for the way there and back.
constexpr Duration kWatchGrace = std::chrono::seconds(2);
constexpr std::size_t kMaxResponseBytes = std::size_t{16} << 20;

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' ||
         c == '~' || c == '/';
}

/// Percent-encoding of RFC 3986; '/' stays, since keys use it as in paths.
std::string Escaped(const std::string& text) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    if (IsUnreserved(c)) {
      escaped += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    escaped += '%';
    escaped += kHex[byte >> 4U];
    escaped += kHex[byte & 0xFU];
  }
  return escaped;
}

std::string Number(std::uint64_t n) { return std::to_string(n); }

/// A response as the protocol defines it, or the error that it stands for.
struct Answer {
  std::error_code error;
  int status = 0;
  Json body;
};

enum class Effect { kRead, kWrite };

Answer Decode(const HttpResult& result, Effect effect) {
  const bool is_write = effect == Effect::kWrite;
  Answer answer;
  if (result.error) {
    answer.error = result.may_have_been_sent && is_write
                       ? StoreError::kOutcomeUnknown
                       : StoreError::kUnavailable;
    return answer;
  }
  answer.status = result.response.status;
  switch (answer.status) {
    case 200:
      answer.body = Json::parse(result.response.body, nullptr, false);
      break;
    case 204:
    case 404:
    case 409:
      break;
    case 429:
      answer.error = StoreError::kRateLimited;
      break;
    case 503:
      answer.error = StoreError::kUnavailable;
      break;
    default:
      answer.error =
          is_write ? StoreError::kOutcomeUnknown : StoreError::kBadResponse;
  }
  return answer;
}

std::optional<StoreItem> ReadItem(const Json& json, std::string key) {
  if (!json.is_object()) return std::nullopt;
  const auto value = json.find("value");
  const auto version = json.find("version");
  if (value == json.end() || !value->is_string() || version == json.end() ||
      !version->is_number_unsigned())
    return std::nullopt;
  return StoreItem{std::move(key), value->get<std::string>(),
                   Version(version->get<std::uint64_t>())};
}

Result<StoreItem> ItemOf(const Answer& answer, const std::string& key) {
  if (answer.error) return Unexpected(answer.error);
  if (answer.status == 204) return StoreItem{key, "", Version()};
  if (answer.status == 404) return Unexpected(StoreError::kNotFound);
  const auto item = ReadItem(answer.body, key);
  if (!item) return Unexpected(StoreError::kBadResponse);
  return *item;
}

Result<Version> VersionOf(const Answer& answer, StoreError not_found) {
  if (answer.error) return Unexpected(answer.error);
  if (answer.status == 404) return Unexpected(not_found);
  if (answer.status == 409) return Unexpected(StoreError::kConflict);
  // The write took effect when the status says so; a body that does not name
  // the version leaves the writer to read it back.
  if (answer.status != 200 || !answer.body.is_object())
    return Unexpected(StoreError::kOutcomeUnknown);
  const auto version = answer.body.find("version");
  if (version == answer.body.end() || !version->is_number_unsigned())
    return Unexpected(StoreError::kOutcomeUnknown);
  return Version(version->get<std::uint64_t>());
}

Result<std::vector<StoreItem>> ItemsOf(const Answer& answer) {
  if (answer.error) return Unexpected(answer.error);
  if (answer.status != 200 || !answer.body.is_object() ||
      !answer.body.contains("items") || !answer.body["items"].is_array())
    return Unexpected(StoreError::kBadResponse);
  std::vector<StoreItem> items;
  for (const Json& it : answer.body["items"]) {
    if (!it.is_object() || !it.contains("key") || !it["key"].is_string())
      return Unexpected(StoreError::kBadResponse);
    auto item = ReadItem(it, it["key"].get<std::string>());
    if (!item) return Unexpected(StoreError::kBadResponse);
    items.push_back(*std::move(item));
  }
  return items;
}

Result<LeaseId> GrantOf(const Answer& answer, Duration ttl) {
  if (answer.error) return Unexpected(answer.error);
  if (answer.status != 200 || !answer.body.is_object())
    return Unexpected(StoreError::kOutcomeUnknown);
  const auto lease = answer.body.find("lease");
  const auto granted = answer.body.find("ttl_ms");
  // A lease that lives shorter than the holder counts on must not be used.
  if (lease == answer.body.end() || !lease->is_string() ||
      granted == answer.body.end() || !granted->is_number_integer() ||
      granted->get<std::int64_t>() < ToMillis(ttl))
    return Unexpected(StoreError::kBadResponse);
  return LeaseId(lease->get<std::string>());
}

Result<LeaseId> LeaseOf(const Answer& answer, const LeaseId& lease) {
  if (answer.error) return Unexpected(answer.error);
  if (answer.status == 404) return Unexpected(StoreError::kLeaseLapsed);
  if (answer.status != 200) return Unexpected(StoreError::kOutcomeUnknown);
  return lease;
}

class Protocol {
 public:
  Protocol(HttpClient& http, std::string url)
      : http_(http), url_(std::move(url)) {}

  /// Sends one call and passes its answer through `read` to `done`.
  template <typename T, typename Read>
  void Send(HttpRequest request, const std::string& path, Effect effect,
            Duration timeout, StoreCallback<T> done, Read read) {
    request.url = url_ + path;
    request.timeout = timeout;
    request.use_fresh_connection = effect == Effect::kWrite;
    request.max_response_bytes = kMaxResponseBytes;
    http_.Send(
        std::move(request),
        [effect, done = std::move(done), read = std::move(read)](
            const HttpResult& result) { done(read(Decode(result, effect))); });
  }

 private:
  HttpClient& http_;
  std::string url_;
};

std::string KeyPath(const std::string& key) { return "/v1/kv/" + Escaped(key); }

std::string LeasePath(const LeaseId& lease) {
  return "/v1/leases/" + Escaped(lease.value());
}

void FillKeyHooks(StoreClient& client, const std::shared_ptr<Protocol>& http) {
  client.get = [http](const std::string& key, Duration timeout,
                      StoreCallback<StoreItem> done) {
    http->Send<StoreItem>(
        {}, KeyPath(key), Effect::kRead, timeout, std::move(done),
        [key](const Answer& answer) { return ItemOf(answer, key); });
  };
  client.put = [http](const std::string& key, std::string value, Version expect,
                      const LeaseId& lease, Duration timeout,
                      StoreCallback<Version> done) {
    HttpRequest request;
    request.method = "PUT";
    request.body = std::move(value);
    std::string path = KeyPath(key) + "?expect=" + Number(expect.value());
    if (!lease.empty()) path += "&lease=" + Escaped(lease.value());
    http->Send<Version>(std::move(request), path, Effect::kWrite, timeout,
                        std::move(done), [](const Answer& answer) {
                          return VersionOf(answer, StoreError::kLeaseLapsed);
                        });
  };
  client.erase = [http](const std::string& key, Version expect,
                        Duration timeout, StoreCallback<Version> done) {
    HttpRequest request;
    request.method = "DELETE";
    http->Send<Version>(
        std::move(request), KeyPath(key) + "?expect=" + Number(expect.value()),
        Effect::kWrite, timeout, std::move(done), [](const Answer& answer) {
          return VersionOf(answer, StoreError::kNotFound);
        });
  };
  client.watch = [http](const std::string& key, Version after, Duration wait,
                        StoreCallback<StoreItem> done) {
    const std::string path =
        "/v1/watch/" + Escaped(key) + "?after=" + Number(after.value()) +
        "&wait_ms=" + Number(static_cast<std::uint64_t>(ToMillis(wait)));
    http->Send<StoreItem>(
        {}, path, Effect::kRead, wait + kWatchGrace, std::move(done),
        [key](const Answer& answer) { return ItemOf(answer, key); });
  };
  client.range = [http](const std::string& prefix, Duration timeout,
                        StoreCallback<std::vector<StoreItem>> done) {
    http->Send<std::vector<StoreItem>>(
        {}, "/v1/range?prefix=" + Escaped(prefix), Effect::kRead, timeout,
        std::move(done), ItemsOf);
  };
}

void FillLeaseHooks(StoreClient& client,
                    const std::shared_ptr<Protocol>& http) {
  client.grant_lease = [http](Duration ttl, Duration timeout,
                              StoreCallback<LeaseId> done) {
    HttpRequest request;
    request.method = "POST";
    const auto millis = static_cast<std::uint64_t>(ToMillis(ttl));
    http->Send<LeaseId>(
        std::move(request), "/v1/leases?ttl_ms=" + Number(millis),
        Effect::kWrite, timeout, std::move(done),
        [ttl](const Answer& answer) { return GrantOf(answer, ttl); });
  };
  client.renew_lease = [http](const LeaseId& lease, Duration timeout,
                              StoreCallback<LeaseId> done) {
    HttpRequest request;
    request.method = "POST";
    http->Send<LeaseId>(
        std::move(request), LeasePath(lease) + "/renew", Effect::kWrite,
        timeout, std::move(done),
        [lease](const Answer& answer) { return LeaseOf(answer, lease); });
  };
  client.revoke_lease = [http](const LeaseId& lease, Duration timeout,
                               StoreCallback<LeaseId> done) {
    HttpRequest request;
    request.method = "DELETE";
    http->Send<LeaseId>(
        std::move(request), LeasePath(lease), Effect::kWrite, timeout,
        std::move(done),
        [lease](const Answer& answer) { return LeaseOf(answer, lease); });
  };
}

}  // namespace

StoreClient HttpStoreClient(HttpClient& http, std::string url) {
  const auto protocol = std::make_shared<Protocol>(http, std::move(url));
  StoreClient client;
  FillKeyHooks(client, protocol);
  FillLeaseHooks(client, protocol);
  return client;
}

}  // namespace pomelomill
