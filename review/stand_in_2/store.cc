#include "store.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string_view>
#include <thread>

namespace pomelomill::review {
namespace {

using platform::stand_in::SleepMillis;
using platform::stand_in::SteadyMillis;

constexpr std::size_t kItemsOfPage = 500;
constexpr std::int64_t kMinTtlMs = 1'000;
constexpr std::int64_t kExpiryMs = 20;
constexpr std::int64_t kLatencyMs = 2;

std::string Base64(const std::string& bytes) {
  constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  std::uint32_t bits = 0;
  int count = 0;
  for (const char c : bytes) {
    bits = bits << 8U | static_cast<unsigned char>(c);
    count += 8;
    while (count >= 6) {
      count -= 6;
      text += kDigits[bits >> static_cast<unsigned>(count) & 63U];
    }
  }
  if (count > 0)
    text += kDigits[bits << static_cast<unsigned>(6 - count) & 63U];
  while (text.size() % 4 != 0) text += '=';
  return text;
}

std::size_t DecodedSize(const std::string& text) {
  const std::size_t padding =
      text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
  return text.size() / 4 * 3 - padding;
}

}  // namespace

Store::Store(std::size_t entries, std::function<void(const std::string&)> note)
    : note_(std::move(note)), machines_([this](const WireRequest& request) {
        return OnMachines(request);
      }) {
  for (std::size_t i = 0; i < entries; ++i) {
    servers_.push_back(std::make_unique<WireServer>(
        [this, i](const WireRequest& request) { return OnCall(i, request); }));
  }
  std::thread([this] {
    while (true) {
      SleepMillis(kExpiryMs);
      RemoveExpired();
    }
  }).detach();
}

std::string Store::address(std::size_t entry) const {
  return servers_[entry]->address();
}

void Store::SetGate(Gate gate) {
  const std::lock_guard lock(mutex_);
  gate_ = std::move(gate);
}

void Store::Put(const std::string& key, const Json& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, {.value = Base64(value.dump())});
}

void Store::Erase(const std::string& key) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Remove(key);
}

void Store::PutMachine(const std::string& machine, const Json& row) {
  const std::lock_guard lock(mutex_);
  machine_rows_[machine] = row;
}

std::string Store::Value(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto it = items_.find(key);
  return it == items_.end() ? "" : it->second.value;
}

std::size_t Store::largest_value() {
  const std::lock_guard lock(mutex_);
  return largest_value_;
}

std::size_t Store::refused_values() {
  const std::lock_guard lock(mutex_);
  return refused_values_;
}

WireReply Store::OnCall(std::size_t entry, const WireRequest& request) {
  SleepMillis(kLatencyMs);
  Gate gate;
  {
    const std::lock_guard lock(mutex_);
    gate = gate_;
  }
  WireReply refusal;
  if (gate && gate(entry, request, refusal)) return refusal;
  std::unique_lock lock(mutex_);
  const std::string& path = request.path;
  if (path.ends_with("/kv-key")) return Get(request.Parameter("key"));
  if (path.ends_with("/kv-range")) return Range(request);
  if (path.ends_with("/kv-watch")) return Watch(lock, request);
  if (path.ends_with("/kv-txn")) {
    lock.unlock();
    const Json body = Json::parse(request.body, nullptr, false);
    lock.lock();
    return body.is_object() ? Commit(body) : WireReply{.status = 400};
  }
  if (path.ends_with("/kv-lease")) {
    const std::int64_t ttl = std::max(
        kMinTtlMs, Json::parse(request.body).value("ttlMs", std::int64_t{0}));
    ++last_lease_;
    leases_[last_lease_] = {ttl, SteadyMillis() + ttl};
    return {.body = Json{{"lease", last_lease_}, {"ttlMs", ttl}}.dump()};
  }
  const std::uint64_t id =
      std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
  if (path.find("/kv-lease-end/") != std::string::npos) {
    EndLease(id);
    return {};
  }
  if (path.find("/kv-keep/") == std::string::npos) return {.status = 400};
  const auto it = leases_.find(id);
  if (it == leases_.end()) return {.status = 404};
  it->second.expires_at = SteadyMillis() + it->second.ttl_ms;
  return {.body = Json{{"ttlMs", it->second.ttl_ms}}.dump()};
}

WireReply Store::OnMachines(const WireRequest& request) {
  if (request.method != "GET")
    return {.status = 409, .body = R"({"reason":"busy"})"};
  const std::lock_guard lock(mutex_);
  Json machines = Json::array();
  for (const auto& [machine, row] : machine_rows_) machines.push_back(row);
  return {.body = Json{{"machines", machines}, {"nextToken", ""}}.dump()};
}

WireReply Store::Get(const std::string& key) {
  const auto it = items_.find(key);
  if (it == items_.end()) return {.status = 404};
  Json row = Row(key, it->second);
  row["currentRev"] = revision_;
  return {.body = row.dump()};
}

WireReply Store::Range(const WireRequest& request) {
  const std::string prefix = request.Parameter("prefix");
  const std::string after = request.Parameter("after");
  auto it = after.empty() ? items_.lower_bound(prefix)
                          : items_.upper_bound(std::max(after, prefix));
  Json rows = Json::array();
  std::size_t bytes = 0;
  bool has_more = false;
  for (; it != items_.end() && it->first.starts_with(prefix); ++it) {
    has_more = rows.size() == kItemsOfPage || bytes > kValueBytes;
    if (has_more) break;
    bytes += it->second.value.size();
    rows.push_back(Row(it->first, it->second));
  }
  return {.body = Json{{"items", std::move(rows)},
                       {"hasMore", has_more},
                       {"currentRev", revision_}}
                      .dump()};
}

WireReply Store::Watch(std::unique_lock<std::mutex>& lock,
                       const WireRequest& request) {
  const std::string prefix = request.Parameter("prefix");
  const std::uint64_t after = request.Number("after");
  const std::int64_t end =
      SteadyMillis() + static_cast<std::int64_t>(request.Number("waitMs"));
  while (true) {
    Json rows = Json::array();
    auto it = std::upper_bound(
        events_.begin(), events_.end(), after,
        [](std::uint64_t a, const auto& event) { return a < event.first; });
    for (; it != events_.end(); ++it) {
      if (it->second.at("key").get_ref<const std::string&>().starts_with(
              prefix))
        rows.push_back(it->second);
    }
    const std::int64_t left = end - SteadyMillis();
    if (!rows.empty() || left <= 0) {
      return {.body =
                  Json{{"events", std::move(rows)}, {"currentRev", revision_}}
                      .dump()};
    }
    changed_.wait_for(lock, std::chrono::milliseconds(left));
  }
}

WireReply Store::Commit(const Json& body) {
  const Json none = Json::array();
  const auto part = [&](const char* name) -> const Json& {
    const auto it = body.find(name);
    return it == body.end() ? none : *it;
  };
  for (const Json& it : part("writes")) {
    const std::size_t size =
        DecodedSize(it.at("value").get_ref<const std::string&>());
    largest_value_ = std::max(largest_value_, size);
    if (size <= kValueBytes) continue;
    if (refused_values_++ == 0)
      note_("store refuses a value of " + std::to_string(size) +
            " bytes for the key " + it.at("key").get<std::string>() +
            ", valueBytes is " + std::to_string(kValueBytes));
    return {.status = 400, .body = R"({"reason":"valueBytes"})"};
  }
  bool is_met = true;
  Json current = Json::array();
  for (const Json& it : part("expectRev")) {
    const auto item = items_.find(it.at("key"));
    const std::uint64_t revision =
        item == items_.end() ? 0 : item->second.revision;
    is_met = is_met && it.at("revision") == revision;
    if (item != items_.end()) current.push_back(Row(item->first, item->second));
  }
  if (!is_met) return {.status = 412, .body = Json{{"items", current}}.dump()};
  for (const Json& it : part("writes")) {
    const std::uint64_t lease = it.value("lease", std::uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) return {.status = 404};
  }
  ++revision_;
  for (const Json& it : part("writes")) {
    Write(it.at("key"), {.value = it.at("value"),
                         .lease = it.value("lease", std::uint64_t{0})});
  }
  for (const Json& it : part("remove")) Remove(it);
  return {.body = Json{{"revision", revision_}}.dump()};
}

void Store::Write(const std::string& key, Item item) {
  const auto it = items_.find(key);
  item.revision = revision_;
  item.created = it == items_.end() ? revision_ : it->second.created;
  events_.emplace_back(revision_, Row(key, item));
  // Nobody reads events of progress; they would only take memory.
  if (key.starts_with("progress/")) events_.pop_back();
  items_[key] = std::move(item);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  if (items_.erase(key) == 0) return;
  events_.emplace_back(
      revision_,
      Json{{"key", key}, {"revision", revision_}, {"removed", true}});
  changed_.notify_all();
}

void Store::EndLease(std::uint64_t id) {
  if (leases_.erase(id) == 0) return;
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_)
    if (item.lease == id) keys.push_back(key);
  if (!keys.empty()) ++revision_;
  for (const std::string& it : keys) Remove(it);
}

void Store::RemoveExpired() {
  const std::lock_guard lock(mutex_);
  const std::int64_t now = SteadyMillis();
  std::vector<std::uint64_t> lapsed;
  for (const auto& [id, lease] : leases_)
    if (now >= lease.expires_at) lapsed.push_back(id);
  for (const std::uint64_t it : lapsed) EndLease(it);
}

Store::Json Store::Row(const std::string& key, const Item& item) {
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"createRevision", item.created},
          {"lease", item.lease}};
}

}  // namespace pomelomill::review
