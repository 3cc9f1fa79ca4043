#include <cstdio>
#include <memory>

#include "ini_document.h"
#include "pomelomill/config/config_error.h"
#include "pomelomill/config/parse.h"

namespace pomelomill {

Result<std::string> ReadFile(const std::string& path) {
  const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(
      std::fopen(path.c_str(), "rb"), &std::fclose);
  if (file == nullptr) return Unexpected(ConfigError::kUnreadable);
  std::string text(kMaxFileBytes + 1, '\0');
  text.resize(std::fread(text.data(), 1, text.size(), file.get()));
  if (std::ferror(file.get()) != 0) return Unexpected(ConfigError::kUnreadable);
  if (text.size() > kMaxFileBytes) return Unexpected(ConfigError::kTooLarge);
  return text;
}

}  // namespace pomelomill
