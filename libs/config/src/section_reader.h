#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ini_document.h"
#include "pomelomill/base/time.h"
#include "pomelomill/config/serve_settings.h"

namespace pomelomill {

/// Reads the keys of one section into typed values. Each function leaves the
/// target unchanged when the key is absent and reports a value that is
/// malformed or out of range.
class SectionReader {
 public:
  SectionReader(const IniSection& section, const std::string& file,
                std::vector<Diagnostic>& errors)
      : section_(section), file_(file), errors_(errors) {}

  const IniSection& section() const { return section_; }
  bool has(std::string_view key) const { return Find(key) != nullptr; }

  void Read(std::string_view key, std::uint32_t& target, std::uint32_t min,
            std::uint32_t max);
  /// `min` and `max` are allowed values, `above` is not.
  void Read(std::string_view key, double& target, double min, double max);
  void ReadBetween(std::string_view key, double& target, double above,
                   double below);
  void Read(std::string_view key, Duration& target, Duration min, Duration max);
  void Read(std::string_view key, bool& target);
  void ReadTimeOfDay(std::string_view key,
                     std::optional<std::uint32_t>& target);
  /// Text for people, at most 120 bytes.
  void ReadTitle(std::string_view key, std::string& target);
  void ReadAddress(std::string_view key, std::string& target);
  void ReadUrl(std::string_view key, std::string& target);

  template <typename Enum>
  void ReadChoice(std::string_view key, Enum& target,
                  const std::vector<std::pair<std::string_view, Enum>>& all) {
    const std::optional<std::string> text = Take(key);
    if (!text) return;
    std::string names;
    for (const auto& [name, value] : all) {
      if (name == *text) {
        target = value;
        return;
      }
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    Report(key, "must be one of " + names + ", not \"" + *text + '"');
  }

  void ReadLogLevel(std::string_view key, LogLevel& target) {
    ReadChoice<LogLevel>(key, target,
                         {{"debug", LogLevel::kDebug},
                          {"info", LogLevel::kInfo},
                          {"warning", LogLevel::kWarning},
                          {"error", LogLevel::kError}});
  }

  template <typename Id>
  void ReadId(std::string_view key, Id& target) {
    std::string name;
    if (ReadName(key, name)) target = Id(std::move(name));
  }

  /// Names separated by blanks, without repetition.
  template <typename Id>
  void ReadIds(std::string_view key, std::vector<Id>& target) {
    for (std::string& it : ReadItems(key, false)) target.emplace_back(it);
  }
  void ReadAddresses(std::string_view key, std::vector<std::string>& target) {
    target = ReadItems(key, true);
  }

  /// Reports the key when it is absent.
  void Require(std::string_view key);

  /// Reports every key that no call has asked for.
  void ReportUnknownKeys();

  /// Adds an error at the line of `key`, or of the section when the key is
  /// empty or absent.
  void Report(std::string_view key, std::string reason);

 private:
  const IniEntry* Find(std::string_view key) const;
  std::optional<std::string> Take(std::string_view key);
  bool ReadName(std::string_view key, std::string& target);
  std::vector<std::string> ReadItems(std::string_view key, bool are_addresses);

  const IniSection& section_;
  const std::string& file_;
  std::vector<Diagnostic>& errors_;
  std::set<std::string, std::less<>> known_;
};

}  // namespace pomelomill
