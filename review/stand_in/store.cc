#include "store.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "http.h"

namespace review {
namespace {

using Json = nlohmann::json;
using Milliseconds = std::chrono::milliseconds;

constexpr std::size_t kItemsPerPage = 500;
constexpr int kExpiryPeriodMs = 20;
constexpr int kMinTtlMs = 1'000;
/// The longest value of an item, `valueBytes` of the settings.
constexpr std::size_t kMaxValueBytes = 1'048'576;
/// Time from a request to its answer.
constexpr int kLatencyMs = 4;

std::string Encode64(const std::string& text) {
  constexpr const char* kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits <<= 8U;
      if (i + k < text.size()) bits |= static_cast<unsigned char>(text[i + k]);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool is_padding = k > 0 && i + k - 1 >= text.size();
      encoded += is_padding ? '=' : kDigits[(bits >> (18U - 6U * k)) & 63U];
    }
  }
  return encoded;
}

struct Item {
  std::string value;
  std::uint64_t revision = 0;
  std::uint64_t created = 0;
  std::uint64_t lease = 0;
  /// Steady time at which an entry of a runner ends; 0 for none.
  std::int64_t expires_ms = 0;
};

struct Lease {
  std::int64_t ttl_ms = 0;
  std::int64_t expires_ms = 0;
};

struct Front {
  std::int64_t busy_until_ms = 0;
  std::string lose_text;
  std::int64_t lose_busy_ms = 0;
};

constexpr std::int64_t kForever = std::int64_t{1} << 60;

class Store {
 public:
  explicit Store(std::size_t fronts) : fronts_(fronts) {}

  Response OnCall(std::size_t front, const Request& request) {
    std::this_thread::sleep_for(Milliseconds(kLatencyMs));
    std::unique_lock lock(mutex_);
    if (SteadyMs() < fronts_[front].busy_until_ms) return {.status = 503};
    const std::string& path = request.path;
    if (path.ends_with("/kv-key")) return Read(request.Query("key"));
    if (path.ends_with("/kv-range")) return ReadRange(request);
    if (path.ends_with("/kv-watch")) return Watch(lock, front, request);
    if (path.ends_with("/kv-txn")) return Commit(front, request);
    if (path.ends_with("/kv-lease")) return Grant(request);
    const std::uint64_t lease =
        std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
    if (path.find("/kv-keep/") != std::string::npos) return Renew(lease);
    if (path.find("/kv-lease-end/") != std::string::npos) {
      EndLease(lease);
      return {.body = "{}"};
    }
    return {.status = 400};
  }

  Response OnOperator(const Request& request) {
    const std::lock_guard lock(mutex_);
    if (request.path == "/put") {
      Item item{.value = Encode64(request.body)};
      const std::int64_t ttl =
          std::strtoll(request.Query("ttlMs").c_str(), nullptr, 10);
      if (ttl > 0) item.expires_ms = SteadyMs() + ttl;
      Put(request.Query("key"), item, ++revision_);
      values_[request.Query("key")] = request.body;
      return {.body = "{}"};
    }
    if (request.path == "/get") {
      const auto it = items_.find(request.Query("key"));
      if (it == items_.end()) return {.status = 404};
      return {.body = values_[request.Query("key")]};
    }
    const std::size_t index =
        std::strtoul(request.Query("front").c_str(), nullptr, 10);
    if (index >= fronts_.size()) return {.status = 400};
    Front& front = fronts_[index];
    if (request.path == "/mode") {
      front.busy_until_ms = request.Query("mode") == "busy" ? kForever : 0;
      changed_.notify_all();
      return {.body = "{}"};
    }
    if (request.path == "/lose") {
      front.lose_text = request.Query("text");
      front.lose_busy_ms =
          std::strtoll(request.Query("busyMs").c_str(), nullptr, 10);
      return {.body = "{}"};
    }
    return {.status = 404};
  }

  /// Lists the machines of the runners that are registered. None is ever moved
  /// or maintained: the scripts have one pool and no wave.
  Response OnMachines(const Request& request) {
    std::this_thread::sleep_for(Milliseconds(kLatencyMs));
    if (request.method != "GET")
      return {.status = 409, .body = R"({"reason":"busy"})"};
    const std::lock_guard lock(mutex_);
    Json machines = Json::array();
    const std::string prefix = "servers/";
    for (const auto& [key, item] : items_) {
      if (!key.starts_with(prefix)) continue;
      const Json entry = Json::parse(values_[key]);
      machines.push_back({{"machine", "m-" + entry["addr"].get<std::string>()},
                          {"pool", entry["service"]},
                          {"state", "up"},
                          {"zone", entry["zone"]},
                          {"labels", entry["labels"]},
                          {"capacity", entry["capacity"]},
                          {"id", key.substr(prefix.size())}});
    }
    return {.body =
                Json{{"machines", machines}, {"nextToken", nullptr}}.dump()};
  }

  void RemoveExpired() {
    const std::lock_guard lock(mutex_);
    const std::int64_t now = SteadyMs();
    std::vector<std::uint64_t> lapsed;
    for (const auto& [id, lease] : leases_)
      if (now >= lease.expires_ms) lapsed.push_back(id);
    for (const std::uint64_t it : lapsed) EndLease(it);
    std::vector<std::string> expired;
    for (const auto& [key, item] : items_)
      if (item.expires_ms != 0 && now >= item.expires_ms)
        expired.push_back(key);
    for (const std::string& it : expired) Remove(it, ++revision_);
  }

 private:
  Json ToJson(const std::string& key, const Item& item) const {
    return {{"key", key},
            {"value", item.value},
            {"revision", item.revision},
            {"createRevision", item.created},
            {"lease", item.lease}};
  }

  void Put(const std::string& key, Item item, std::uint64_t revision) {
    const auto it = items_.find(key);
    item.revision = revision;
    item.created = it == items_.end() ? revision : it->second.created;
    items_[key] = item;
    events_.emplace_back(revision, ToJson(key, item));
    changed_.notify_all();
  }

  void Remove(const std::string& key, std::uint64_t revision) {
    if (items_.erase(key) == 0) return;
    events_.emplace_back(
        revision,
        Json{{"key", key}, {"revision", revision}, {"removed", true}});
    changed_.notify_all();
  }

  Response Read(const std::string& key) {
    const auto it = items_.find(key);
    if (it == items_.end()) return {.status = 404, .body = "{}"};
    Json json = ToJson(key, it->second);
    json["currentRev"] = revision_;
    return {.body = json.dump()};
  }

  Response ReadRange(const Request& request) {
    const std::string prefix = request.Query("prefix");
    const std::string after = request.Query("after");
    Json items = Json::array();
    bool has_more = false;
    for (auto it = items_.lower_bound(prefix);
         it != items_.end() && it->first.starts_with(prefix); ++it) {
      if (!after.empty() && it->first <= after) continue;
      if (items.size() == kItemsPerPage) {
        has_more = true;
        break;
      }
      items.push_back(ToJson(it->first, it->second));
    }
    return {.body = Json{{"items", items},
                         {"hasMore", has_more},
                         {"currentRev", revision_}}
                        .dump()};
  }

  Response Watch(std::unique_lock<std::mutex>& lock, std::size_t front,
                 const Request& request) {
    const std::string prefix = request.Query("prefix");
    const std::uint64_t after =
        std::strtoull(request.Query("after").c_str(), nullptr, 10);
    const std::int64_t until =
        SteadyMs() + std::strtoll(request.Query("waitMs").c_str(), nullptr, 10);
    while (true) {
      if (SteadyMs() < fronts_[front].busy_until_ms) return {.status = 503};
      Json events = Json::array();
      const auto begin = std::upper_bound(
          events_.begin(), events_.end(), after,
          [](std::uint64_t n, const auto& it) { return n < it.first; });
      for (auto it = begin; it != events_.end(); ++it) {
        if (it->second["key"].get_ref<const std::string&>().starts_with(prefix))
          events.push_back(it->second);
      }
      const std::int64_t left = until - SteadyMs();
      if (!events.empty() || left <= 0) {
        return {.body =
                    Json{{"events", events}, {"currentRev", revision_}}.dump()};
      }
      changed_.wait_for(lock, Milliseconds(left));
    }
  }

  Response Commit(std::size_t front_index, const Request& request) {
    const Json json = Json::parse(request.body);
    bool is_met = true;
    Json current = Json::array();
    for (const Json& it : json["expectRev"]) {
      const auto item = items_.find(it["key"]);
      const std::uint64_t revision =
          item == items_.end() ? 0 : item->second.revision;
      is_met = is_met && revision == it["revision"];
      if (item != items_.end())
        current.push_back(ToJson(item->first, item->second));
    }
    if (!is_met)
      return {.status = 412, .body = Json{{"items", current}}.dump()};
    for (const Json& it : json["writes"]) {
      const std::string& value = it["value"].get_ref<const std::string&>();
      if (value.size() / 4 * 3 > kMaxValueBytes + 2)
        return {.status = 400, .body = R"({"reason":"value too long"})"};
      if (it.value("lease", std::uint64_t{0}) != 0 &&
          !leases_.contains(it["lease"]))
        return {.status = 404, .body = "{}"};
    }
    const std::uint64_t revision = ++revision_;
    bool is_named = false;
    Front& front = fronts_[front_index];
    for (const Json& it : json["writes"]) {
      const std::string key = it["key"];
      is_named = is_named || (!front.lose_text.empty() &&
                              key.find(front.lose_text) != std::string::npos);
      Put(key,
          {.value = it["value"], .lease = it.value("lease", std::uint64_t{0})},
          revision);
    }
    for (const Json& it : json["remove"]) Remove(it, revision);
    if (is_named) {
      front.lose_text.clear();
      front.busy_until_ms = SteadyMs() + front.lose_busy_ms;
      changed_.notify_all();
      return {.is_reset = true};
    }
    return {.body = Json{{"revision", revision}}.dump()};
  }

  Response Grant(const Request& request) {
    const std::int64_t ttl = std::max<std::int64_t>(
        kMinTtlMs, Json::parse(request.body).value("ttlMs", 0));
    const std::uint64_t id = ++last_lease_;
    leases_[id] = {ttl, SteadyMs() + ttl};
    return {.body = Json{{"lease", id}, {"ttlMs", ttl}}.dump()};
  }

  Response Renew(std::uint64_t id) {
    const auto it = leases_.find(id);
    if (it == leases_.end()) return {.status = 404, .body = "{}"};
    it->second.expires_ms = SteadyMs() + it->second.ttl_ms;
    return {.body = Json{{"ttlMs", it->second.ttl_ms}}.dump()};
  }

  void EndLease(std::uint64_t id) {
    if (id == 0 || leases_.erase(id) == 0) return;
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_)
      if (item.lease == id) keys.push_back(key);
    if (keys.empty()) return;
    const std::uint64_t revision = ++revision_;
    for (const std::string& it : keys) Remove(it, revision);
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Front> fronts_;
  std::map<std::string, Item> items_;
  /// Values of the items that the operator and the runners wrote.
  std::map<std::string, std::string> values_;
  std::map<std::uint64_t, Lease> leases_;
  /// All changes with their revisions, in order.
  std::vector<std::pair<std::uint64_t, Json>> events_;
  std::uint64_t revision_ = 1;
  std::uint64_t last_lease_ = 100;
};

}  // namespace

int RunStore(const std::vector<std::string>& fronts,
             const std::string& machines_address,
             const std::string& operator_address) {
  // Never destroyed: the threads of the connections use it.
  Store& store = *new Store(fronts.size());
  for (std::size_t i = 0; i < fronts.size(); ++i) {
    Serve(fronts[i], [&store, i](const Request& request) {
      return store.OnCall(i, request);
    });
  }
  Serve(machines_address,
        [&store](const Request& request) { return store.OnMachines(request); });
  Serve(operator_address,
        [&store](const Request& request) { return store.OnOperator(request); });
  while (true) {
    std::this_thread::sleep_for(Milliseconds(kExpiryPeriodMs));
    store.RemoveExpired();
  }
}

}  // namespace review
