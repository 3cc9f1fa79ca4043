#include "section_reader.h"

#include <algorithm>
#include <charconv>

#include "values.h"

namespace pomelomill {
namespace {

constexpr const char* kNameRule =
    "must be a name of lower-case letters, digits, '.', '_' and '-' with at "
    "most 63 bytes";

std::string Quoted(const std::string& text) { return ", not \"" + text + '"'; }

}  // namespace

const IniEntry* SectionReader::Find(std::string_view key) const {
  for (const IniEntry& it : section_.entries) {
    if (it.key == key) return &it;
  }
  return nullptr;
}

void SectionReader::Report(std::string_view key, std::string reason) {
  const IniEntry* const entry = key.empty() ? nullptr : Find(key);
  std::string where = section_.title();
  if (!key.empty()) where += ' ' + std::string(key);
  errors_.push_back({file_, entry != nullptr ? entry->line : section_.line,
                     std::move(where), std::move(reason)});
}

std::optional<std::string> SectionReader::Take(std::string_view key) {
  known_.emplace(key);
  const IniEntry* const entry = Find(key);
  if (entry == nullptr) return std::nullopt;
  if (entry->parts.size() > 1) {
    Report(key, "takes a single line");
    return std::nullopt;
  }
  return entry->parts.front();
}

void SectionReader::Require(std::string_view key) {
  if (!has(key)) Report(key, "the key is required");
}

void SectionReader::ReportUnknownKeys() {
  for (const IniEntry& it : section_.entries) {
    if (!known_.contains(it.key)) Report(it.key, "unknown key");
  }
}

void SectionReader::Read(std::string_view key, std::uint32_t& target,
                         std::uint32_t min, std::uint32_t max) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  std::uint32_t number = 0;
  const char* const end = text->data() + text->size();
  const auto [rest, ec] = std::from_chars(text->data(), end, number);
  if (ec != std::errc() || rest != end || number < min || number > max) {
    Report(key, "must be a whole number from " + std::to_string(min) + " to " +
                    std::to_string(max) + Quoted(*text));
    return;
  }
  target = number;
}

void SectionReader::Read(std::string_view key, double& target, double min,
                         double max) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  const std::optional<double> number = ReadNumber(*text);
  if (!number || *number < min || *number > max) {
    Report(key, "must be a number from " + NumberText(min) + " to " +
                    NumberText(max) + Quoted(*text));
    return;
  }
  target = *number;
}

void SectionReader::ReadBetween(std::string_view key, double& target,
                                double above, double below) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  const std::optional<double> number = ReadNumber(*text);
  if (!number || *number <= above || *number >= below) {
    Report(key, "must be greater than " + NumberText(above) +
                    " and less than " + NumberText(below) + Quoted(*text));
    return;
  }
  target = *number;
}

void SectionReader::Read(std::string_view key, Duration& target, Duration min,
                         Duration max) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  const std::optional<Duration> duration = ReadDuration(*text);
  if (!duration) {
    Report(key, "must be a duration such as 250ms, 2s, 5m, 1h, 1d or 6w" +
                    Quoted(*text));
    return;
  }
  if (*duration < min || *duration > max) {
    Report(key, "must be from " + DurationText(min) + " to " +
                    DurationText(max) + Quoted(*text));
    return;
  }
  target = *duration;
}

void SectionReader::Read(std::string_view key, bool& target) {
  ReadChoice<bool>(key, target, {{"yes", true}, {"no", false}});
}

void SectionReader::ReadTimeOfDay(std::string_view key,
                                  std::optional<std::uint32_t>& target) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  target = pomelomill::ReadTimeOfDay(*text);
  if (!target)
    Report(key, "must be a time of day such as 04:00" + Quoted(*text));
}

void SectionReader::ReadTitle(std::string_view key, std::string& target) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  // Leaves room for the key on a line of the canonical text.
  constexpr std::size_t kMaxTitleBytes = 120;
  if (text->size() > kMaxTitleBytes) {
    Report(key, "must have at most 120 bytes");
    return;
  }
  target = *text;
}

void SectionReader::ReadAddress(std::string_view key, std::string& target) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  if (!IsAddress(*text)) {
    Report(key, "must be HOST:PORT" + Quoted(*text));
    return;
  }
  target = *text;
}

void SectionReader::ReadUrl(std::string_view key, std::string& target) {
  const std::optional<std::string> text = Take(key);
  if (!text) return;
  constexpr std::string_view kScheme = "http://";
  if (!text->starts_with(kScheme) ||
      !IsAddress(std::string_view{*text}.substr(kScheme.size()))) {
    Report(key, "must be http://HOST:PORT" + Quoted(*text));
    return;
  }
  target = *text;
}

bool SectionReader::ReadName(std::string_view key, std::string& target) {
  const std::optional<std::string> text = Take(key);
  if (!text) return false;
  if (!IsName(*text)) {
    Report(key, kNameRule + Quoted(*text));
    return false;
  }
  target = *text;
  return true;
}

std::vector<std::string> SectionReader::ReadItems(std::string_view key,
                                                  bool are_addresses) {
  known_.emplace(key);
  std::vector<std::string> items;
  const IniEntry* const entry = Find(key);
  if (entry == nullptr) return items;
  for (const std::string& part : entry->parts) {
    std::size_t begin = part.find_first_not_of(" \t");
    while (begin != std::string::npos) {
      const std::size_t end = part.find_first_of(" \t", begin);
      std::string item = part.substr(begin, end - begin);
      begin = part.find_first_not_of(" \t", end);
      if (are_addresses ? !IsAddress(item) : !IsName(item)) {
        Report(key, (are_addresses ? "must be HOST:PORT" : kNameRule) +
                        Quoted(item));
      } else if (std::find(items.begin(), items.end(), item) != items.end()) {
        Report(key, "\"" + item + "\" is listed twice");
      } else {
        items.push_back(std::move(item));
      }
    }
  }
  return items;
}

}  // namespace pomelomill
