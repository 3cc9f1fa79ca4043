#include "ini_document.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <map>
#include <utility>

namespace pomelomill {
namespace {

constexpr std::string_view kBlanks = " \t\r\n\v\f";

std::string_view Trim(std::string_view s) {
  const std::size_t begin = s.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) return {};
  return s.substr(begin, s.find_last_not_of(kBlanks) - begin + 1);
}

// Debian's build of libinih passes no line numbers to the handler, does not
// report sections without keys, cuts section names to 49 bytes, reports only
// the first malformed line and splits lines that exceed its buffer. The reader
// callback sees each line first and makes up for these.
class Reader {
 public:
  Reader(std::string_view text, const std::string& file,
         std::vector<Diagnostic>& errors)
      : text_(text), file_(file), errors_(errors) {}

  std::vector<IniSection> Run() {
    ini_parse_stream(&Reader::NextLine, this, &Reader::Handle, this);
    FinishLine();
    return std::move(sections_);
  }

 private:
  static char* NextLine(char* buf, int size, void* stream) {
    return static_cast<Reader*>(stream)->Next(buf, size);
  }

  static int Handle(void* user, const char*, const char* name,
                    const char* value) {
    static_cast<Reader*>(user)->Add(name, value);
    return 1;
  }

  char* Next(char* buf, int size) {
    FinishLine();
    if (text_.empty()) return nullptr;
    const std::size_t end = std::min(text_.find('\n'), text_.size() - 1) + 1;
    std::string_view line = text_.substr(0, end);
    text_.remove_prefix(end);
    ++line_;

    constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";
    if (line_ == 1 && line.starts_with(kByteOrderMark))
      line.remove_prefix(kByteOrderMark.size());
    if (!line.empty() && line.back() == '\n') line.remove_suffix(1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);

    const auto longest = static_cast<std::size_t>(size) - 2;
    const std::string_view content = Trim(line);
    is_indented_ = !content.empty() && content.data() != line.data();
    if (line.size() > longest) {
      Report("",
             "the line is longer than " + std::to_string(longest) + " bytes");
      line = {};
    } else if (std::any_of(line.begin(), line.end(), [](char c) {
                 const auto byte = static_cast<unsigned char>(c);
                 return (byte < 0x20 && c != '\t') || byte == 0x7f;
               })) {
      Report("", "the line contains a control character");
      line = {};
    } else if (content.starts_with('[') && !IsContinuation()) {
      OpenSection(content);
      line = "[section]";
    } else if (!content.empty() && content[0] != ';' && content[0] != '#') {
      expects_entry_ = true;
    }
    if (!line.empty()) std::memcpy(buf, line.data(), line.size());
    std::memcpy(buf + line.size(), "\n", 2);
    return buf;
  }

  // libinih reads an indented line after a key as a part of its value.
  bool IsContinuation() const { return is_indented_ && has_key_; }

  void FinishLine() {
    if (expects_entry_) Report("", "malformed line, expected KEY = VALUE");
    expects_entry_ = false;
  }

  void OpenSection(std::string_view content) {
    has_key_ = false;
    IniSection section;
    section.line = line_;
    const std::size_t close = content.find(']');
    const std::string_view rest =
        close == std::string_view::npos ? "" : Trim(content.substr(close + 1));
    if (close == std::string_view::npos) {
      Report("", "malformed section, expected [KIND] or [KIND NAME]");
    } else if (!rest.empty() && rest[0] != ';' && rest[0] != '#') {
      Report("", "unexpected text after the section name");
    }
    std::string_view title =
        Trim(content.substr(1, std::min(close, content.size()) - 1));
    const std::size_t blank = title.find_first_of(kBlanks);
    section.kind = title.substr(0, blank);
    if (blank != std::string_view::npos)
      section.name = Trim(title.substr(blank));
    if (close != std::string_view::npos) {
      const auto [first, added] = lines_.emplace(section.title(), line_);
      if (!added) {
        Report(section.title(), "duplicate section, first on line " +
                                    std::to_string(first->second));
      }
    }
    sections_.push_back(std::move(section));
  }

  void Add(std::string_view key, std::string_view value) {
    expects_entry_ = false;
    if (key.empty()) {
      Report("", "malformed line, expected KEY = VALUE");
      return;
    }
    if (sections_.empty()) {
      Report(std::string(key), "key outside of a section");
      return;
    }
    auto& entries = sections_.back().entries;
    if (IsContinuation()) {
      if (!is_duplicate_key_) entries.back().parts.emplace_back(value);
      return;
    }
    has_key_ = true;
    const auto same =
        std::find_if(entries.begin(), entries.end(),
                     [&](const IniEntry& e) { return e.key == key; });
    is_duplicate_key_ = same != entries.end();
    if (is_duplicate_key_) {
      Report(sections_.back().title() + ' ' + std::string(key),
             "duplicate key, first on line " + std::to_string(same->line));
      return;
    }
    entries.push_back({std::string(key), {std::string(value)}, line_});
  }

  void Report(std::string key, std::string reason) {
    errors_.push_back({file_, line_, std::move(key), std::move(reason)});
  }

  std::string_view text_;
  const std::string& file_;
  std::vector<Diagnostic>& errors_;
  std::vector<IniSection> sections_;
  std::map<std::string, std::size_t> lines_;
  std::size_t line_ = 0;
  bool is_indented_ = false;
  bool has_key_ = false;
  bool is_duplicate_key_ = false;
  bool expects_entry_ = false;
};

}  // namespace

std::string IniSection::title() const {
  return '[' + kind + (name.empty() ? "" : ' ' + name) + ']';
}

std::vector<IniSection> ReadIni(std::string_view text, const std::string& file,
                                std::vector<Diagnostic>& errors) {
  if (text.size() > kMaxFileBytes) {
    errors.push_back({file, 0, "", "the file is larger than 1 MiB"});
    return {};
  }
  return Reader(text, file, errors).Run();
}

}  // namespace pomelomill
