#include "platform/HttpPlatform.h"

#include "platform/PlatformBackends.h"
#include "platform/PlatformJson.h"

#include <civetweb.h>

#include <array>
#include <atomic>
#include <string>

using namespace mustardwinch;

namespace {

constexpr Address kNobody{ 0x7F000001, 1 };

/** A server that answers every request with the same bytes and then closes the connection. */
class ScriptedServer
{
public:
  explicit ScriptedServer(std::string aAnswer)
    : mAnswer(std::move(aAnswer))
  {
    const std::array<const char*, 5> options{
      "listening_ports", "127.0.0.1:0", "num_threads", "2", nullptr
    };
    const mg_callbacks callbacks{};
    mContext = mg_start(&callbacks, nullptr, const_cast<const char**>(options.data()));
    REQUIRE(mContext != nullptr);
    mg_server_port port{};
    mg_get_server_ports(mContext, 1, &port);
    mPort = static_cast<std::uint16_t>(port.port);
    mg_set_request_handler(mContext, "/", &ScriptedServer::Handle, this);
  }

  ~ScriptedServer() { mg_stop(mContext); }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;

  void SetAnswer(std::string aAnswer) { mAnswer = std::move(aAnswer); }
  Address ListenAddress() const { return { 0x7F000001, mPort }; }
  int Requests() const { return mRequests; }

private:
  static int Handle(mg_connection* aConnection, void* aServer)
  {
    auto* server = static_cast<ScriptedServer*>(aServer);
    ++server->mRequests;
    mg_write(aConnection, server->mAnswer.data(), server->mAnswer.size());
    return 200;
  }

  std::string mAnswer;
  std::atomic<int> mRequests{ 0 };
  std::uint16_t mPort = 0;
  mg_context* mContext = nullptr;
};

std::string Answer(const char* aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + std::string(aStatus) +
         "\r\nConnection: close\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
         aBody;
}

struct AnswerRow
{
  std::string answer;
  ResultCode get;
};

const std::string kOther =
  R"({"kind":"test","name":"other","version":1,"specVersion":1,"spec":{},"status":null,)"
  R"("writer":"","operation":"","statusOperation":"","deleted":false})";

const AnswerRow kAnswerRows[] = {
  { "", ResultCode::kPlatformUnavailable },
  { "nonsense\r\n\r\n", ResultCode::kPlatformUnavailable },
  { "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{", ResultCode::kPlatformUnavailable },
  { Answer("200 OK", ""), ResultCode::kPlatformBadAnswer },
  { Answer("200 OK", "{"), ResultCode::kPlatformBadAnswer },
  { Answer("200 OK", "[]"), ResultCode::kPlatformBadAnswer },
  { Answer("200 OK", kOther), ResultCode::kPlatformBadAnswer },
  { Answer("204 No Content", ""), ResultCode::kPlatformBadAnswer },
  { Answer("302 Found", ""), ResultCode::kPlatformBadAnswer },
  { Answer("400 Bad Request", "x"), ResultCode::kPlatformRejected },
  { Answer("404 Not Found", "x"), ResultCode::kPlatformNotFound },
  { Answer("409 Conflict", "x"), ResultCode::kPlatformConflict },
  { Answer("429 Too Many Requests", "x"), ResultCode::kPlatformUnavailable },
  { Answer("500 Internal Server Error", "x"), ResultCode::kPlatformUnavailable },
  { Answer("503 Service Unavailable", "x"), ResultCode::kPlatformUnavailable },
};

} // namespace

TEST_CASE("HTTP platform, table of malformed answers, each has its result code")
{
  ScriptedServer server("");
  const auto platform = HttpPlatform::Make({ server.ListenAddress() });
  for (const AnswerRow& row : kAnswerRows) {
    CAPTURE(row.answer);
    server.SetAnswer(row.answer);
    CHECK(CodeOf(platform->Get("test", "object")) == row.get);
  }
}

// Guards against taking the status of a cut head for the platform's word, such as that an object
// does not exist.
TEST_CASE("HTTP platform, answer cut at any byte, is told as unavailable")
{
  ScriptedServer server("");
  const auto platform = HttpPlatform::Make({ server.ListenAddress() });
  for (const char* status : { "200 OK", "404 Not Found", "409 Conflict" }) {
    const std::string answer = Answer(status, kOther);
    for (std::size_t n = 0; n < answer.size(); ++n) {
      CAPTURE(status);
      CAPTURE(n);
      server.SetAnswer(answer.substr(0, n));
      CHECK(CodeOf(platform->Get("test", "other")) == ResultCode::kPlatformUnavailable);
    }
  }
}

TEST_CASE("HTTP platform, answer in chunks with a trailer after an interim one, is taken")
{
  ScriptedServer server("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 404 Not Found\r\n"
                        "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-T: t\r\n\r\n");
  const auto platform = HttpPlatform::Make({ server.ListenAddress() });
  CHECK(CodeOf(platform->Get("test", "other")) == ResultCode::kPlatformNotFound);
}

TEST_CASE("HTTP platform, write whose connection closes without an answer, is sent once")
{
  ScriptedServer server("");
  const auto platform = HttpPlatform::Make({ server.ListenAddress(), kNobody });
  const auto result = platform->Write(MakeWrite(0, 1, "own"));
  CHECK(CodeOf(result) == ResultCode::kPlatformUnavailable);
  CHECK(server.Requests() == 1);
}

TEST_CASE("HTTP platform, answer longer than the bound, is refused")
{
  ScriptedServer server(Answer("200 OK", std::string(5'000, ' ') + kOther));
  const auto platform = HttpPlatform::Make({ server.ListenAddress() }, { .maxAnswerBytes = 4'096 });
  CHECK(CodeOf(platform->Get("test", "other")) == ResultCode::kPlatformBadAnswer);
}

TEST_CASE("HTTP platform, slow platform, calls end at their bound")
{
  PlatformBackend backend = MakeHttpBackend();
  backend.memory->SetFaults({ .latencyMs = 10'000 });
  const HttpPlatformOptions options{ .callTimeout = Milliseconds(50) };
  const auto platform = HttpPlatform::Make({ SharedServer().ListenAddress() }, options);
  CHECK(CodeOf(platform->Get("test", "object")) == ResultCode::kPlatformUnavailable);
  CHECK(CodeOf(platform->Write(MakeWrite(0, 1, "x"))) == ResultCode::kPlatformUnavailable);
}

TEST_CASE("HTTP platform, first address refuses, the next one is asked")
{
  PlatformBackend backend = MakeHttpBackend();
  const auto platform = HttpPlatform::Make({ kNobody, SharedServer().ListenAddress() });
  CHECK(platform->Write(MakeWrite(0, 1, "x")));
  CHECK(platform->Get("test", "object"));
  const auto nobody = HttpPlatform::Make({ kNobody });
  CHECK(CodeOf(nobody->Get("test", "object")) == ResultCode::kPlatformUnavailable);
  CHECK(HttpPlatform::Make({}) == nullptr);
}
