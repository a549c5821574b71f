#include "ingress/CallerServer.h"

#include "ingress/CallerExchange.h"

#include <civetweb.h>

#include <set>
#include <string>

namespace mustardwinch {
namespace {

/** A caller that sends nothing for this long in the middle of a request is given up. */
constexpr const char* kReadTimeoutMs = "15000";

/** An idle connection is kept this long, unless threads are short. */
constexpr const char* kKeepAliveMs = "10000";

constexpr const char* kListenBacklog = "1024";
constexpr Milliseconds kSweepPeriod{ 100 };

CallerServer* ServerOf(const mg_connection* aConnection)
{
  return static_cast<CallerServer*>(mg_get_user_data(mg_get_context(aConnection)));
}

std::set<std::uint16_t> PortsOf(const std::vector<Address>& aAddresses)
{
  std::set<std::uint16_t> ports;
  for (const Address& it : aAddresses) {
    ports.insert(it.port);
  }
  return ports;
}

/** The addresses as CivetWeb takes them. */
std::string JoinAddresses(const std::vector<Address>& aAddresses)
{
  std::string text;
  for (const Address& it : aAddresses) {
    text += (text.empty() ? "" : ",") + it.ToString();
  }
  return text;
}

Address CallerOf(const mg_connection* aConnection)
{
  const mg_request_info* info = mg_get_request_info(aConnection);
  const std::string text = std::string(info->remote_addr) + ":" + std::to_string(info->remote_port);
  return Address::Parse(text).value_or(Address{});
}

} // namespace

CallerServer::CallerServer(const Options& aOptions, Clock& aClock, Forwarder& aForwarder)
  : mForwarder(aForwarder)
  , mConnections(aClock, PortsOf(aOptions.listen), static_cast<std::size_t>(aOptions.threads))
{
}

std::unique_ptr<CallerServer> CallerServer::Make(const Options& aOptions,
                                                 Clock& aClock,
                                                 Forwarder& aForwarder)
{
  std::unique_ptr<CallerServer> server(new CallerServer(aOptions, aClock, aForwarder));
  if (!server->Start(aOptions)) {
    return nullptr;
  }
  return server;
}

bool CallerServer::Start(const Options& aOptions)
{
  const std::string listen = JoinAddresses(aOptions.listen);
  const std::string threads = std::to_string(aOptions.threads);
  const char* options[] = { "listening_ports",
                            listen.c_str(),
                            "num_threads",
                            threads.c_str(),
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            kKeepAliveMs,
                            "request_timeout_ms",
                            kReadTimeoutMs,
                            "connection_queue",
                            kListenBacklog,
                            "tcp_nodelay",
                            "1",
                            nullptr };
  mg_callbacks callbacks{};
  callbacks.begin_request = [](mg_connection* aConnection) {
    return ServerOf(aConnection)->Serve(aConnection);
  };
  callbacks.init_connection = [](const mg_connection* aConnection, void**) {
    ServerOf(aConnection)->mConnections.Add(aConnection);
    return 0;
  };
  callbacks.connection_close = [](const mg_connection* aConnection) {
    ServerOf(aConnection)->mConnections.Remove(aConnection);
  };
  mContext = mg_start(&callbacks, this, options);
  if (mContext == nullptr) {
    return false;
  }
  mSweeper = std::thread([this] { SweepLoop(); });
  return true;
}

int CallerServer::Serve(mg_connection* aConnection)
{
  CallerExchange exchange(aConnection);
  if (mQuiescing || mConnections.IsShort()) {
    exchange.CloseAfterwards();
  }
  mConnections.Begin(aConnection, CallerOf(aConnection), &exchange);
  mForwarder.Serve(exchange);
  mConnections.End(aConnection);
  return 200;
}

void CallerServer::SweepLoop()
{
  while (!mStopped) {
    if (mQuiescing) {
      mConnections.CloseIdle();
    }
    mConnections.Sweep();
    std::this_thread::sleep_for(kSweepPeriod);
  }
}

void CallerServer::Quiesce()
{
  mQuiescing = true;
}

void CallerServer::Stop()
{
  if (mStopped.exchange(true)) {
    return;
  }
  if (mSweeper.joinable()) {
    mSweeper.join();
  }
  if (mContext != nullptr) {
    mg_stop(mContext);
  }
}

CallerServer::~CallerServer()
{
  Stop();
}

} // namespace mustardwinch
