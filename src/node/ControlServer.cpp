#include "node/ControlServer.h"

#include <civetweb.h>

#include <utility>

namespace mustardwinch {
namespace {

constexpr const char* kThreads = "8";
constexpr const char* kReadTimeoutMs = "2000";
constexpr std::size_t kMaxBodyBytes = 64 * 1024;

/** The body, cut after kMaxBodyBytes. */
std::string ReadBody(mg_connection* aConnection)
{
  std::string body(kMaxBodyBytes, '\0');
  std::size_t n = 0;
  while (n < body.size()) {
    const int got = mg_read(aConnection, body.data() + n, body.size() - n);
    if (got <= 0) {
      break;
    }
    n += static_cast<std::size_t>(got);
  }
  body.resize(n);
  return body;
}

} // namespace

ControlServer::ControlServer(std::map<std::string, Handler> aHandlers)
  : mHandlers(std::move(aHandlers))
{
}

std::unique_ptr<ControlServer> ControlServer::Make(const Address& aListen,
                                                   std::map<std::string, Handler> aHandlers)
{
  std::unique_ptr<ControlServer> server(new ControlServer(std::move(aHandlers)));
  const std::string listen = aListen.ToString();
  const char* options[] = { "listening_ports",    listen.c_str(), "num_threads", kThreads,
                            "request_timeout_ms", kReadTimeoutMs, nullptr };
  mg_callbacks callbacks{};
  callbacks.begin_request = [](mg_connection* aConnection) {
    const auto* self =
      static_cast<const ControlServer*>(mg_get_user_data(mg_get_context(aConnection)));
    return self->Serve(aConnection);
  };
  server->mContext = mg_start(&callbacks, server.get(), options);
  if (server->mContext == nullptr) {
    return nullptr;
  }
  return server;
}

int ControlServer::Serve(mg_connection* aConnection) const
{
  const mg_request_info* info = mg_get_request_info(aConnection);
  const std::string name = std::string(info->request_method) + " " + info->local_uri;
  const auto it = mHandlers.find(name);
  ControlAnswer answer{ 404, "text/plain", "no such page: " + name + "\n" };
  if (it != mHandlers.end()) {
    answer = it->second(ReadBody(aConnection));
  }
  mg_printf(aConnection,
            "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
            "Connection: close\r\n\r\n",
            answer.status,
            mg_get_response_code_text(aConnection, answer.status),
            answer.contentType.c_str(),
            answer.body.size());
  mg_write(aConnection, answer.body.data(), answer.body.size());
  return answer.status;
}

void ControlServer::Stop()
{
  if (mContext != nullptr) {
    mg_stop(std::exchange(mContext, nullptr));
  }
}

ControlServer::~ControlServer()
{
  Stop();
}

} // namespace mustardwinch
