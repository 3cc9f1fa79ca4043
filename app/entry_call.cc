#include "entry_call.h"

#include <ostream>
#include <utility>

#include "exit_code.h"
#include "http_call.h"

namespace pomelomill {
namespace {

using Json = nlohmann::json;

std::string ValueText(const Json& json) {
  return json.is_string()
             ? json.get<std::string>()
             : json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

EntryAnswer CallEntry(const std::string& command, const std::string& method,
                      const std::string& entry, const std::string& path,
                      std::ostream& err) {
  HttpRequest request;
  request.method = method;
  request.url = AdminUrl(entry, path);
  request.use_fresh_connection = method != "GET";
  const HttpResult result = CallAndWait(std::move(request));
  if (result.error) {
    const bool may_have_effect = method != "GET" && result.may_have_been_sent;
    err << command << ": " << entry << ": " << result.error.message()
        << (may_have_effect ? "; the call may or may not have taken effect"
                            : "")
        << '\n';
    return {may_have_effect ? kExitUnknown : kExitUnavailable, 0, Json()};
  }
  Json body = Json::parse(result.response.body, nullptr, false);
  const int status = result.response.status;
  if (status >= 300 || body.is_discarded()) {
    err << command << ": " << entry << ": response " << status;
    if (body.is_object() && body.contains("error"))
      err << ", " << ValueText(body["error"]);
    err << '\n';
    return {kExitFailed, status, std::move(body)};
  }
  return {kExitOk, status, std::move(body)};
}

void PrintLines(const Json& json, std::ostream& out, int indent) {
  const std::string blanks(static_cast<std::size_t>(indent), ' ');
  if (!json.is_structured()) {
    out << blanks << ValueText(json) << '\n';
    return;
  }
  for (const auto& [name, value] : json.items()) {
    out << blanks << (json.is_array() ? "-" : name + ':');
    if (value.is_structured() && !value.empty()) {
      out << '\n';
      PrintLines(value, out, indent + 2);
    } else {
      out << ' ' << ValueText(value) << '\n';
    }
  }
}

}  // namespace pomelomill
