#include <doctest/doctest.h>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <fstream>
#include <functional>
#include <future>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "command_line.h"
#include "exit_code.h"
#include "pomelomill/config.h"
#include "pomelomill/store.h"
#include "store_server.h"

namespace pomelomill {
namespace {

struct Outcome {
  int code = 0;
  std::string out;
  std::string err;
};

Outcome Run(const std::vector<std::string>& arguments) {
  std::ostringstream out;
  std::ostringstream err;
  const int code = RunCommandLine(arguments, out, err);
  return {code, out.str(), err.str()};
}

const std::string kBanderuole =
    std::string(POMELOMILL_SOURCE_DIR) + "/examples/banderuole.ini";
const std::string kEtiketa =
    std::string(POMELOMILL_SOURCE_DIR) + "/examples/etiketa.ini";

/// A store on a thread of its own, since the commands block.
class StoreThread {
 public:
  StoreThread() {
    std::promise<void> is_open;
    thread_ = std::thread([&] {
      StoreServer server(context_, {});
      REQUIRE(server.Open());
      server_ = &server;
      url_ = "http://127.0.0.1:" + std::to_string(server.port());
      is_open.set_value();
      context_.run();
    });
    is_open.get_future().wait();
  }
  ~StoreThread() {
    context_.stop();
    thread_.join();
  }

  const std::string& url() const { return url_; }
  void Do(const std::function<void(StoreModel&)>& action) {
    std::promise<void> is_done;
    asio::post(context_, [&] {
      action(server_->model());
      is_done.set_value();
    });
    is_done.get_future().wait();
  }
  ConfigRecord Current() {
    std::string value;
    Do([&](StoreModel& model) { value = model.Get(kConfigKey)->value; });
    return ReadConfigRecord(value).value();
  }
  Outcome Apply(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), "apply");
    arguments.insert(arguments.end(), {"--store", url_});
    return Run(arguments);
  }

 private:
  asio::io_context context_{1};
  StoreServer* server_ = nullptr;
  std::string url_;
  std::thread thread_;
};

/// Sends one admin call of the fake store.
void Admin(const std::string& url, const std::string& path) {
  asio::io_context context;
  HttpClient http(context);
  int status = 0;
  http.Send({.method = "POST", .url = url + path},
            [&](const HttpResult& r) { status = r.response.status; });
  while (status == 0) context.run_one();
  REQUIRE(status == 200);
}

// Guards against arguments that are ignored or end without a reason.
TEST_CASE("every wrong command line has its own error and exit code 2") {
  struct Case {
    std::vector<std::string> arguments;
    std::string reason;
  };
  const std::vector<Case> cases = {
      {{}, "Commands:"},
      {{"frobnicate"}, "unknown command \"frobnicate\""},
      {{"check"}, "expected FILE, got 0 arguments"},
      {{"check", "a", "b"}, "expected FILE, got 2 arguments"},
      {{"check", "a", "--colour"}, "colour"},
      {{"apply", "a"}, "--store is required"},
      {{"apply", "a", "--store", "ftp://x:1"}, "must be http://HOST:PORT"},
      {{"apply", "a", "--store", "http://x:1", "--wait"},
       "--wait needs at least one --entry"},
      {{"apply", "a", "--store", "http://x:1", "--base-revision", "-3"}, "-3"},
      {{"apply", "a", "--store", "http://x:1", "--timeout-s", "0"},
       "--timeout-s must be from 1 to 3600"},
      {{"status"}, "--entry is required"},
      {{"status", "--entry", "host"}, "--entry must be HOST:PORT"},
      {{"explain", "vm", "--entry", "h:1"}, "expected KIND NAME"},
      {{"drain", "--entry", "h:1"}, "expected VM"},
      {{"drain", "vm-1", "--entry", "h:99999"}, "--entry must be HOST:PORT"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.reason);
    const Outcome outcome = Run(it.arguments);
    CHECK(outcome.code == kExitUsage);
    CHECK_MESSAGE(outcome.err.find(it.reason) != std::string::npos,
                  outcome.err);
    CHECK(outcome.out.empty());
  }
  for (const char* command : {"check", "apply", "status", "explain", "drain"}) {
    const Outcome help = Run({command, "--help"});
    CHECK(help.code == kExitOk);
    CHECK(help.out.find("Examples:") != std::string::npos);
  }
  CHECK(Run({"--version"}).out.starts_with("pomelomill "));
}

// Guards against a file that check accepts and apply refuses, or the reverse.
TEST_CASE("check reports errors with file and line") {
  CHECK(Run({"check", kBanderuole}).code == kExitOk);
  const std::string bad =
      std::string(POMELOMILL_SOURCE_DIR) + "/libs/config/test/bad/unknown.ini";
  const Outcome refused = Run({"check", bad});
  CHECK(refused.code == kExitInvalidFile);
  CHECK(refused.err.find("unknown.ini:3: [fleet] colour: unknown key") !=
        std::string::npos);
  CHECK(Run({"check", bad, "--json"}).out.find("\"line\":3") !=
        std::string::npos);
  CHECK(Run({"check", "/nonexistent"}).code == kExitInvalidFile);
  StoreThread store;
  CHECK(store.Apply({bad}).code == kExitInvalidFile);
}

// Guards against revisions that repeat, and against a second effect of one
// apply id.
TEST_CASE("apply writes the next revision once for each apply id") {
  StoreThread store;
  CHECK(store.Apply({kBanderuole, "--apply-id", "a"}).code == kExitOk);
  CHECK(store.Current().revision == Revision(1));
  CHECK(store.Apply({kEtiketa, "--apply-id", "b"}).code == kExitOk);
  CHECK(store.Current().revision == Revision(2));
  const Outcome again = store.Apply({kEtiketa, "--apply-id", "b"});
  CHECK(again.code == kExitOk);
  CHECK(again.out.find("already accepted as revision 2") != std::string::npos);
  CHECK(store.Apply({kBanderuole, "--apply-id", "b"}).code == kExitConflict);
  CHECK(store.Current().revision == Revision(2));
  ConfigState state;
  CHECK(state.Offer(store.Current()).value());
}

// Guards against a conflict that overwrites, or that does not say who won and
// what differs.
TEST_CASE("a conflict names revision, author and sections") {
  StoreThread store;
  CHECK(store.Apply({kBanderuole, "--author", "ana"}).code == kExitOk);
  const Outcome lost = store.Apply({kEtiketa, "--base-revision", "0"});
  CHECK(lost.code == kExitConflict);
  CHECK(lost.err.find("revision 1 by ana") != std::string::npos);
  CHECK(lost.err.find("[pool silhouette] differs") != std::string::npos);
  CHECK(store.Current().author == "ana");
}

// Guards against a lost response reported as failure or written twice.
TEST_CASE("apply resolves a lost response") {
  StoreThread store;
  Admin(store.url(), "/admin/lose?writes=1");
  CHECK(store.Apply({kBanderuole}).code == kExitOk);
  store.Do([](StoreModel& model) {
    CHECK(model.version(kConfigKey) == Version(1));
  });
}

// Guards against "nothing was written" when that is not certain.
TEST_CASE("apply tells an outage from an unknown outcome") {
  StoreThread store;
  Admin(store.url(), "/admin/down?on=1");
  const Outcome down = store.Apply({kBanderuole});
  CHECK(down.code == kExitUnavailable);
  CHECK(down.err.find("nothing was written") != std::string::npos);
  Admin(store.url(), "/admin/down?on=0");
  Admin(store.url(), "/admin/latency?ms=1500");
  const Outcome slow =
      store.Apply({kBanderuole, "--apply-id", "s", "--timeout-s", "3"});
  CHECK(slow.code == kExitUnknown);
  CHECK(slow.err.find("repeat with --apply-id s") != std::string::npos);
  Admin(store.url(), "/admin/latency?ms=0");
  CHECK(store.Apply({kBanderuole, "--apply-id", "s"}).code == kExitOk);
  CHECK(store.Current().revision == Revision(1));
}

// Guards against commands that hang or succeed without an entry.
TEST_CASE("commands to an entry that does not listen end as unavailable") {
  CHECK(Run({"status", "--entry", "127.0.0.1:1"}).code == kExitUnavailable);
  CHECK(Run({"explain", "vm", "x", "--entry", "127.0.0.1:1"}).code ==
        kExitUnavailable);
  CHECK(Run({"drain", "x", "--entry", "127.0.0.1:1"}).code == kExitUnavailable);
}

}  // namespace
}  // namespace pomelomill
