#include "request_reader.h"

#include <doctest/doctest.h>

#include <string>

namespace pomelomill {
namespace {

using State = RequestReader::State;

constexpr std::size_t kMaxHeader = std::size_t{16} << 10;
constexpr std::size_t kMaxBody = 262'144;
constexpr const char* kChunkedHead =
    "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Feeds all bytes of one request in pieces and returns the state.
State FeedAll(RequestReader& reader, std::string_view text,
              std::size_t piece_size) {
  while (!text.empty() && reader.state() == State::kIncomplete) {
    const std::size_t n = reader.Feed(text.substr(0, piece_size));
    text.remove_prefix(n);
  }
  return reader.state();
}

std::string ByteChunks(std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) text += "1\r\nx\r\n";
  return text;
}

// Guards against bookkeeping for each chunk: RESTinio kept 50 bytes for a chunk
// of one byte.
TEST_CASE("memory does not depend on the size of the chunks") {
  RequestReader reader(kMaxHeader, kMaxBody);
  REQUIRE(FeedAll(reader, kChunkedHead + ByteChunks(100'000), 4'096) ==
          State::kIncomplete);
  CHECK(reader.body_bytes() == 100'000);
  CHECK(reader.memory() < 120'000);
  REQUIRE(FeedAll(reader, "0\r\n\r\n", 1) == State::kComplete);
  CHECK(reader.Take().body == std::string(100'000, 'x'));
  CHECK(reader.memory() == 0);
}

// Guards against a limit that is off by one.
TEST_CASE("a body may have exactly the limit") {
  for (const std::size_t size : {kMaxBody, kMaxBody + 1}) {
    CAPTURE(size);
    const State expected =
        size > kMaxBody ? State::kMalformed : State::kComplete;
    RequestReader whole(kMaxHeader, kMaxBody);
    CHECK(
        FeedAll(whole,
                "POST /a HTTP/1.1\r\nContent-Length: " + std::to_string(size) +
                    "\r\n\r\n" + std::string(size, 'b'),
                10'000) == expected);
    RequestReader chunked(kMaxHeader, kMaxBody);
    CHECK(FeedAll(chunked, kChunkedHead + ByteChunks(size) + "0\r\n\r\n",
                  10'000) == expected);
  }
}

// Guards against requests that are cut or joined at the limits of reads.
TEST_CASE("requests are the same in pieces of any size") {
  const std::string first =
      "PUT /p?q=1 HTTP/1.1\r\nHost: x\r\nA: b c\r\nContent-Length: "
      "3\r\n\r\nabc";
  const std::string second = "GET /n HTTP/1.0\r\n\r\n";
  for (std::size_t size = 1; size <= first.size() + second.size(); ++size) {
    CAPTURE(size);
    const std::string text = first + second;
    std::string_view rest = text;
    RequestReader reader(kMaxHeader, kMaxBody);
    const auto read = [&] {
      while (!rest.empty() && reader.state() == State::kIncomplete)
        rest.remove_prefix(reader.Feed(rest.substr(0, size)));
      REQUIRE(reader.state() == State::kComplete);
    };
    read();
    CHECK(reader.keeps_connection());
    const IncomingRequest request = reader.Take();
    CHECK(request.method == "PUT");
    CHECK(request.target == "/p?q=1");
    CHECK(request.header("a") == "b c");
    CHECK(request.headers.size() == 3);
    CHECK(request.body == "abc");
    CHECK_FALSE(reader.has_begun());
    read();
    CHECK_FALSE(reader.keeps_connection());
    CHECK(reader.Take().target == "/n");
  }
}

// Guards against headers that fill the memory.
TEST_CASE("oversize headers are not stored") {
  const std::string field = "A: " + std::string(1'000, 'a') + "\r\n";
  std::string fields;
  for (int i = 0; i < 40; ++i) fields += field;
  RequestReader many(kMaxHeader, kMaxBody);
  CHECK(FeedAll(many, "GET / HTTP/1.1\r\n" + fields + "\r\n", 1'000) ==
        State::kHeaderTooLarge);
  CHECK(many.memory() < 2 * kMaxHeader + 100 * sizeof(HttpHeader));
  RequestReader target(kMaxHeader, kMaxBody);
  CHECK(FeedAll(target, "GET /" + std::string(kMaxHeader, 'x'), 1'000) ==
        State::kMalformed);
  RequestReader count(kMaxHeader, kMaxBody);
  std::string many_fields;
  for (int i = 0; i < 101; ++i) many_fields += "A: b\r\n";
  CHECK(FeedAll(count, "GET / HTTP/1.1\r\n" + many_fields + "\r\n", 1'000) ==
        State::kMalformed);
}

TEST_CASE("a request for another protocol is told") {
  RequestReader reader(kMaxHeader, kMaxBody);
  CHECK(FeedAll(reader,
                "GET / HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: "
                "websocket\r\n\r\n",
                1'000) == State::kUpgrade);
}

}  // namespace
}  // namespace pomelomill
