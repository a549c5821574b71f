#pragma once

#include "history/HistoryWriter.h"
#include "history/LifeRecord.h"
#include "history/RunRecord.h"
#include "mustardwinch/Clock.h"
#include "standin_upstream/Behaviour.h"
#include "standin_upstream/ClientConnection.h"
#include "standin_upstream/KeyDetector.h"
#include "standin_upstream/LoadModel.h"
#include "standin_upstream/UpstreamCounts.h"

#include <memory>
#include <mutex>
#include <string>

struct mg_connection;
struct mg_context;

namespace mustardwinch::standin {

/** The HTTP side of the stand-in upstream. */
class UpstreamServer
{
public:
  struct Settings
  {
    std::string listen; //!< "a.b.c.d:port"
    std::string service;
    std::string failureDomain;
    std::string instance;
    std::uint32_t connections = 400;
    std::string keyHashes; //!< see KeyDetector
    LoadModel::Settings load;
  };

  /** Listens and serves; null if the address cannot be had. */
  static std::unique_ptr<UpstreamServer> Make(Settings aSettings,
                                              std::unique_ptr<HistoryWriter> aHistory);
  ~UpstreamServer();

  /** Requests that are not answered to their end. */
  std::uint32_t Running() const { return mActive; }
  Milliseconds LoadLag() const { return Milliseconds(CurrentBehaviour().loadLagMs); }

  /** Changes the behaviour by the fields of a JSON object; "cold" turns it cold. False: bad field.
   */
  bool Change(nlohmann::json aJson);

  const UpstreamCounts& Counts() const { return mCounts; }

  /** Writes a change of the upstream's life into the history: ready, draining or stopped. */
  void RecordLife(const std::string& aState);

  /** Time since the last request began. */
  Duration QuietFor() const;

private:
  struct Request; // one request in the hands of a worker

  UpstreamServer(Settings aSettings, std::unique_ptr<HistoryWriter> aHistory);
  bool Start();

  int Handle(mg_connection* aConnection);
  void HandleControl(mg_connection* aConnection);
  void HandleHealth(mg_connection* aConnection);
  bool IsSilent(const mg_connection* aConnection) const;
  void KeepSilent(mg_connection* aConnection);
  void HandleRun(mg_connection* aConnection);
  void Run(Request& aRequest, Milliseconds aServiceTime);
  bool FailsNow(const Behaviour& aBehaviour);
  bool Work(Request& aRequest, Milliseconds aTime);
  void Shed(Request& aRequest);
  void CountBegin(const RunRecord& aRecord);
  void CountEnd(const RunRecord& aRecord);
  RunRecord MakeRecord(const mg_connection* aConnection, const LoadModel::Admission& aAdmission);
  bool SeesKey(const mg_connection* aConnection) const;
  Behaviour CurrentBehaviour() const;
  std::string CountsJson() const;

  const Settings mSettings;
  const std::unique_ptr<HistoryWriter> mHistory;
  Clock mClock;
  LoadModel mLoad;
  KeyDetector mKeys;
  UpstreamCounts mCounts;
  std::atomic<std::int64_t> mColdSinceUs;
  std::atomic<bool> mTurnedCold{ false };
  std::atomic<std::uint32_t> mActive{ 0 };
  std::atomic<bool> mStopping{ false };
  mutable std::mutex mMutex;
  Behaviour mBehaviour;
  TimePoint mBehaviourSince;
  TimePoint mLastBegin;
  mg_context* mContext = nullptr;
};

} // namespace mustardwinch::standin
