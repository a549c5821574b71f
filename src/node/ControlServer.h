#pragma once

#include "mustardwinch/Address.h"
#include "mustardwinch/Result.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct mg_context;
struct mg_connection;

namespace mustardwinch {

/** An answer of the control server. */
struct ControlAnswer
{
  int status = 200;
  std::string contentType = "application/json";
  std::string body;

  bool operator==(const ControlAnswer&) const = default;
};

/**
 * The node's HTTP server for upstreams beside it and for operators: announcements, status, metrics.
 * Never listens where callers do.
 */
class ControlServer
{
public:
  /** Answers one request; aBody is the request's body. Called from several threads. */
  using Handler = std::function<ControlAnswer(const std::string& aBody)>;

  /** Handlers by "METHOD /path". Null if the address cannot be had. */
  static std::unique_ptr<ControlServer> Make(const Address& aListen,
                                             std::map<std::string, Handler> aHandlers);

  ~ControlServer();
  void Stop();

private:
  explicit ControlServer(std::map<std::string, Handler> aHandlers);
  int Serve(mg_connection* aConnection) const;

  const std::map<std::string, Handler> mHandlers;
  mg_context* mContext = nullptr;
};

} // namespace mustardwinch
