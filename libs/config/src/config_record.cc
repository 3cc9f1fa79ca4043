#include "pomelomill/config/config_record.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "pomelomill/base/hash.h"
#include "pomelomill/config/config_error.h"
#include "pomelomill/config/parse.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

bool ReadText(const Json& json, const char* key, std::string& target) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_string()) return false;
  target = it->get<std::string>();
  return true;
}

bool ReadCount(const Json& json, const char* key, std::uint64_t& target) {
  const auto it = json.find(key);
  if (it == json.end() || !it->is_number_unsigned()) return false;
  target = it->get<std::uint64_t>();
  return true;
}

bool ReadEarlier(const Json& json, std::vector<AcceptedApply>& target) {
  const auto list = json.find("earlier");
  if (list == json.end() || !list->is_array() ||
      list->size() > kMaxRememberedApplies)
    return false;
  for (const Json& it : *list) {
    std::string apply_id;
    std::uint64_t revision = 0;
    std::uint64_t hash = 0;
    if (!it.is_object() || !ReadText(it, "apply_id", apply_id) ||
        !ReadCount(it, "revision", revision) ||
        !ReadCount(it, "text_hash", hash))
      return false;
    target.push_back({ApplyId(std::move(apply_id)), Revision(revision), hash});
  }
  return true;
}

}  // namespace

std::vector<AcceptedApply> AppliesUpTo(const ConfigRecord& record) {
  std::vector<AcceptedApply> applies = {
      {record.apply_id, record.revision, StableHash(record.text)}};
  applies.insert(applies.end(), record.earlier.begin(), record.earlier.end());
  if (applies.size() > kMaxRememberedApplies)
    applies.resize(kMaxRememberedApplies);
  return applies;
}

std::string ToJson(const ConfigRecord& record) {
  Json earlier = Json::array();
  for (const AcceptedApply& it : record.earlier) {
    earlier.push_back({{"apply_id", it.apply_id.value()},
                       {"revision", it.revision.value()},
                       {"text_hash", it.text_hash}});
  }
  const Json json = {
      {"earlier", std::move(earlier)},   {"revision", record.revision.value()},
      {"author", record.author},         {"apply_id", record.apply_id.value()},
      {"writer", record.writer},         {"sequence", record.sequence},
      {"applied_at", record.applied_at}, {"text", record.text}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ConfigRecord> ReadConfigRecord(const std::string& json) {
  const Json parsed = Json::parse(json, nullptr, false);
  ConfigRecord record;
  std::uint64_t revision = 0;
  std::string apply_id;
  if (!parsed.is_object() || !ReadCount(parsed, "revision", revision) ||
      revision == 0 || !ReadText(parsed, "author", record.author) ||
      !ReadText(parsed, "apply_id", apply_id) ||
      !ReadText(parsed, "writer", record.writer) ||
      !ReadCount(parsed, "sequence", record.sequence) ||
      !ReadText(parsed, "applied_at", record.applied_at) ||
      !ReadText(parsed, "text", record.text) ||
      !ReadEarlier(parsed, record.earlier))
    return Unexpected(ConfigError::kMalformedRecord);
  record.revision = Revision(revision);
  record.apply_id = ApplyId(std::move(apply_id));
  return record;
}

Result<bool> ConfigState::Offer(const ConfigRecord& record) {
  if (record.revision < record_.revision)
    return Unexpected(ConfigError::kOldRevision);
  if (record.revision == record_.revision) {
    if (record.text != record_.text)
      return Unexpected(ConfigError::kRevisionConflict);
    return false;
  }
  auto parsed = Parse(record.text, kConfigKey);
  if (!parsed) return Unexpected(ConfigError::kMalformed);
  declarations_ = std::make_shared<const Declarations>(*std::move(parsed));
  record_ = record;
  return true;
}

}  // namespace pomelomill
