#include "pomelomill/platform/region_state_json.h"

#include <array>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <unordered_set>
#include <utility>
#include <vector>

#include "pomelomill/platform/platform_error.h"

namespace pomelomill {
namespace {

using nlohmann::json;

/// Changes whenever a reader of the previous form would misread the text.
constexpr std::uint64_t kFormat = 1;

constexpr std::array kVmPhases = {"active", "draining", "stopped", "returning",
                                  "lost"};
constexpr std::array kIntentKinds = {"reboot", "move", "stop", "start"};
constexpr std::array kIntentSteps = {"drain", "stop", "restart", "verify",
                                     "done"};
constexpr std::array kWavePhases = {"waiting", "running", "stopped-by-itself",
                                    "done"};
constexpr std::array kSharePhases = {"active", "joining", "leaving"};

template <std::size_t N, typename Enum>
const char* NameOf(const std::array<const char*, N>& names, Enum value) {
  return names.at(static_cast<std::size_t>(value));
}

/// Gives each distinct name the next index.
class NameTable {
 public:
  std::size_t IndexOf(const std::string& name) {
    const auto [it, is_new] = indexes_.emplace(name, names_.size());
    if (is_new) names_.push_back(name);
    return it->second;
  }
  const std::vector<std::string>& names() const { return names_; }

 private:
  std::map<std::string, std::size_t> indexes_;
  std::vector<std::string> names_;
};

template <typename Id>
json IdList(const std::vector<Id>& ids) {
  json list = json::array();
  for (const Id& id : ids) list.push_back(id.value());
  return list;
}

/// Reads values and remembers whether any of them was malformed, so that the
/// callers need no check after each value.
class Reader {
 public:
  bool is_good() const { return is_good_; }
  void Fail() { is_good_ = false; }

  const json& Field(const json& object, const char* key) {
    static const json null_value;
    if (object.is_object()) {
      if (const auto it = object.find(key); it != object.end()) return *it;
    }
    Fail();
    return null_value;
  }

  std::uint64_t Number(const json& value) {
    if (value.is_number_unsigned()) return value.get<std::uint64_t>();
    Fail();
    return 0;
  }

  std::string Text(const json& value) {
    if (value.is_string()) return value.get_ref<const std::string&>();
    Fail();
    return {};
  }

  template <typename Enum, std::size_t N>
  Enum Choice(const json& value, const std::array<const char*, N>& names) {
    if (value.is_string()) {
      const auto& text = value.get_ref<const std::string&>();
      for (std::size_t i = 0; i < N; ++i) {
        if (text == names[i]) return static_cast<Enum>(i);
      }
    }
    Fail();
    return Enum{};
  }

  template <typename Id>
  std::vector<Id> Ids(const json& value) {
    std::vector<Id> ids;
    if (!value.is_array()) Fail();
    if (!is_good_) return ids;
    ids.reserve(value.size());
    for (const json& item : value) ids.emplace_back(Text(item));
    return ids;
  }

  template <typename Id>
  Id At(const std::vector<Id>& names, const json& index) {
    const std::uint64_t n = Number(index);
    if (n < names.size()) return names[n];
    Fail();
    return Id();
  }

 private:
  bool is_good_ = true;
};

json VmToJson(const VmState& vm, NameTable& pools, NameTable& zones,
              NameTable& racks) {
  json item = {vm.address,
               pools.IndexOf(vm.pool.value()),
               zones.IndexOf(vm.zone.value()),
               racks.IndexOf(vm.rack.value()),
               vm.generation.value(),
               vm.maintained_at_s};
  if (vm.phase != VmPhase::kActive) item.push_back(NameOf(kVmPhases, vm.phase));
  return item;
}

struct Names {
  std::vector<PoolId> pools;
  std::vector<ZoneId> zones;
  std::vector<RackId> racks;
};

VmState VmFromJson(Reader& reader, const json& item, const Names& names) {
  VmState vm;
  if (!item.is_array() || item.size() < 6 || item.size() > 7) {
    reader.Fail();
    return vm;
  }
  vm.address = reader.Text(item[0]);
  vm.pool = reader.At(names.pools, item[1]);
  vm.zone = reader.At(names.zones, item[2]);
  vm.rack = reader.At(names.racks, item[3]);
  vm.generation = Generation(reader.Number(item[4]));
  const std::uint64_t at = reader.Number(item[5]);
  if (at > static_cast<std::uint64_t>(INT64_MAX)) reader.Fail();
  vm.maintained_at_s = static_cast<std::int64_t>(at);
  if (item.size() == 7) {
    vm.phase = reader.Choice<VmPhase>(item[6], kVmPhases);
  }
  return vm;
}

Intent IntentFromJson(Reader& reader, const std::string& id, const json& item) {
  Intent intent;
  intent.id = IntentId(id);
  intent.vm = VmId(reader.Text(reader.Field(item, "vm")));
  intent.kind =
      reader.Choice<IntentKind>(reader.Field(item, "kind"), kIntentKinds);
  intent.target_pool = PoolId(reader.Text(reader.Field(item, "target_pool")));
  intent.generation =
      Generation(reader.Number(reader.Field(item, "generation")));
  intent.wave = WaveId(reader.Text(reader.Field(item, "wave")));
  intent.step =
      reader.Choice<IntentStep>(reader.Field(item, "step"), kIntentSteps);
  intent.since = Version(reader.Number(reader.Field(item, "since")));
  return intent;
}

WaveState WaveFromJson(Reader& reader, const std::string& id,
                       const json& item) {
  WaveState wave;
  wave.id = WaveId(id);
  wave.phase =
      reader.Choice<WavePhase>(reader.Field(item, "phase"), kWavePhases);
  wave.reason = reader.Text(reader.Field(item, "reason"));
  wave.pending = reader.Ids<VmId>(reader.Field(item, "pending"));
  wave.done = reader.Ids<VmId>(reader.Field(item, "done"));
  wave.failed = reader.Ids<VmId>(reader.Field(item, "failed"));
  return wave;
}

EntryShare ShareFromJson(Reader& reader, const json& item) {
  EntryShare share;
  share.entry = EntryId(reader.Text(reader.Field(item, "entry")));
  share.incarnation =
      IncarnationId(reader.Text(reader.Field(item, "incarnation")));
  const std::uint64_t weight = reader.Number(reader.Field(item, "weight"));
  if (weight > UINT32_MAX) reader.Fail();
  share.weight = static_cast<std::uint32_t>(weight);
  share.phase =
      reader.Choice<SharePhase>(reader.Field(item, "phase"), kSharePhases);
  return share;
}

/// Runs `read` on each member of an object and each element of an array.
template <typename Read>
void ForEach(Reader& reader, const json& value, bool is_object, Read read) {
  if (is_object ? !value.is_object() : !value.is_array()) reader.Fail();
  if (!reader.is_good()) return;
  for (auto it = value.begin(); it != value.end(); ++it) {
    read(is_object ? it.key() : std::string(), *it);
  }
}

/// The parsed text, or a discarded value when it is malformed or an object
/// has a key twice; the parser alone would keep the last value.
json ParseWithoutDuplicates(std::string_view text) {
  std::vector<std::unordered_set<std::string>> keys;
  bool has_duplicate = false;
  const json::parser_callback_t check =
      [&](int /*depth*/, json::parse_event_t event, json& parsed) {
        if (event == json::parse_event_t::object_start) keys.emplace_back();
        if (event == json::parse_event_t::object_end) keys.pop_back();
        if (event == json::parse_event_t::key) {
          has_duplicate |=
              !keys.back().insert(parsed.get_ref<const std::string&>()).second;
        }
        return true;
      };
  json root = json::parse(text, check, /*allow_exceptions=*/false);
  if (has_duplicate) return json(json::value_t::discarded);
  return root;
}

}  // namespace

std::string ToJson(const RegionState& state) {
  NameTable pools;
  NameTable zones;
  NameTable racks;
  json root;
  json vms = json::object();
  for (const auto& [id, vm] : state.vms) {
    vms[id.value()] = VmToJson(vm, pools, zones, racks);
  }
  json intents = json::object();
  for (const auto& [id, intent] : state.intents) {
    intents[id.value()] = {{"vm", intent.vm.value()},
                           {"kind", NameOf(kIntentKinds, intent.kind)},
                           {"target_pool", intent.target_pool.value()},
                           {"generation", intent.generation.value()},
                           {"wave", intent.wave.value()},
                           {"step", NameOf(kIntentSteps, intent.step)},
                           {"since", intent.since.value()}};
  }
  json waves = json::object();
  for (const auto& [id, wave] : state.waves) {
    waves[id.value()] = {{"phase", NameOf(kWavePhases, wave.phase)},
                         {"reason", wave.reason},
                         {"pending", IdList(wave.pending)},
                         {"done", IdList(wave.done)},
                         {"failed", IdList(wave.failed)}};
  }
  json shares = json::array();
  for (const EntryShare& share : state.shares) {
    shares.push_back({{"entry", share.entry.value()},
                      {"incarnation", share.incarnation.value()},
                      {"weight", share.weight},
                      {"phase", NameOf(kSharePhases, share.phase)}});
  }
  root["format"] = kFormat;
  root["region"] = state.region.value();
  root["epoch"] = state.epoch.value();
  root["writer"] = state.writer.value();
  root["sequence"] = state.sequence;
  root["config_revision"] = state.config_revision.value();
  root["pools"] = pools.names();
  root["zones"] = zones.names();
  root["racks"] = racks.names();
  root["vms"] = std::move(vms);
  root["intents"] = std::move(intents);
  root["waves"] = std::move(waves);
  root["shares"] = std::move(shares);
  // Ids come from checked declarations and from the platform; a byte that is
  // not UTF-8 is replaced rather than thrown for.
  return root.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<RegionState> RegionStateFromJson(std::string_view text) {
  if (text.size() > kMaxRegionStateBytes) {
    return Unexpected(PlatformError::kBadRegionState);
  }
  const json root = ParseWithoutDuplicates(text);
  if (!root.is_object()) return Unexpected(PlatformError::kBadRegionState);

  Reader reader;
  RegionState state;
  if (reader.Number(reader.Field(root, "format")) != kFormat) reader.Fail();
  state.region = RegionId(reader.Text(reader.Field(root, "region")));
  state.epoch = Epoch(reader.Number(reader.Field(root, "epoch")));
  state.writer = IncarnationId(reader.Text(reader.Field(root, "writer")));
  state.sequence = reader.Number(reader.Field(root, "sequence"));
  state.config_revision =
      Revision(reader.Number(reader.Field(root, "config_revision")));
  const Names names{.pools = reader.Ids<PoolId>(reader.Field(root, "pools")),
                    .zones = reader.Ids<ZoneId>(reader.Field(root, "zones")),
                    .racks = reader.Ids<RackId>(reader.Field(root, "racks"))};
  ForEach(reader, reader.Field(root, "vms"), true,
          [&](const std::string& id, const json& item) {
            state.vms.emplace(VmId(id), VmFromJson(reader, item, names));
          });
  ForEach(reader, reader.Field(root, "intents"), true,
          [&](const std::string& id, const json& item) {
            state.intents.emplace(IntentId(id),
                                  IntentFromJson(reader, id, item));
          });
  ForEach(reader, reader.Field(root, "waves"), true,
          [&](const std::string& id, const json& item) {
            state.waves.emplace(WaveId(id), WaveFromJson(reader, id, item));
          });
  ForEach(reader, reader.Field(root, "shares"), false,
          [&](const std::string&, const json& item) {
            state.shares.push_back(ShareFromJson(reader, item));
          });
  if (!reader.is_good()) return Unexpected(PlatformError::kBadRegionState);
  return state;
}

}  // namespace pomelomill
