#pragma once

#include "ingress/CallerConnections.h"
#include "ingress/Forwarder.h"
#include "mustardwinch/Address.h"
#include "mustardwinch/Clock.h"

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

struct mg_context;

namespace mustardwinch {

/** The HTTP server for callers (CivetWeb). */
class CallerServer
{
public:
  struct Options
  {
    std::vector<Address> listen;
    int threads = 128; //!< connections served at the same time
  };

  /** Listens and serves; null if the address cannot be had. */
  static std::unique_ptr<CallerServer> Make(const Options& aOptions,
                                            Clock& aClock,
                                            Forwarder& aForwarder);

  ~CallerServer();

  /** Requests under way. */
  std::size_t Running() const { return mConnections.Running(); }

  /** Closes connections on which no request runs; from now on each answer closes its connection. */
  void Quiesce();

  /** Stops serving. Requests that still run are waited for. */
  void Stop();

private:
  CallerServer(const Options& aOptions, Clock& aClock, Forwarder& aForwarder);
  bool Start(const Options& aOptions);
  int Serve(mg_connection* aConnection);
  void SweepLoop();

  Forwarder& mForwarder;
  CallerConnections mConnections;
  mg_context* mContext = nullptr;
  std::atomic<bool> mQuiescing{ false };
  std::atomic<bool> mStopped{ false };
  std::thread mSweeper;
};

} // namespace mustardwinch
