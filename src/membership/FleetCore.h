#pragma once

#include "membership/AppliedRevision.h"
#include "membership/FleetOutput.h"
#include "membership/FreshnessTracker.h"
#include "membership/GossipPacket.h"
#include "membership/Membership.h"
#include "membership/NodeRecord.h"
#include "membership/RecordPull.h"
#include "membership/RecordStore.h"
#include "membership/RetransmitQueue.h"
#include "platform/PlatformChanges.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace mustardwinch {

/**
 * Protocol logic of a fleet member: membership, record dissemination, loading from peers and
 * freshness. The caller passes in time, packets and responses; TakeOutput() returns what to send
 * and what changed. Performs no I/O, so tests can drive it with a paused clock. Not thread-safe.
 */
class FleetCore
{
public:
  static constexpr Milliseconds kReportPeriod{ 60'000 };
  static constexpr Milliseconds kReportDelay{ 1'000 };
  static constexpr Milliseconds kRepairDelay{ 3'000 };
  static constexpr Milliseconds kNodeRepairPeriod{ 30'000 };
  static constexpr Milliseconds kLoadRetry{ 2'000 };
  static constexpr Milliseconds kRequestRetry{ 500 };
  static constexpr Milliseconds kRejectNoticePeriod{ 60'000 };
  /** Larger records are pulled over a peer link. */
  static constexpr std::size_t kDatagramRecordBytes = 900;
  static constexpr std::size_t kChunkBytes = 262'144;
  static constexpr std::size_t kMaxAnnouncements = 4'096;

  struct Options
  {
    VmIdentity self;
    std::vector<Address> seeds;
    std::uint64_t randomSeed = 1;
    /** Number of random members that a new record is announced to at once; 0: only piggybacked on
     * other packets. */
    std::size_t eagerFanout = 3;
  };

  explicit FleetCore(Options aOptions);

  void Tick(TimePoint aNow);
  void OnPacket(const Address& aFrom, std::string_view aBytes, TimePoint aNow);

  /** Handles the response to a pull request that was sent to aPeer. */
  void OnPullAnswer(const Address& aPeer, const Result<std::string>& aAnswer, TimePoint aNow);

  /** Returns the encoded response to a peer's pull request. */
  Result<std::string> AnswerPull(std::string_view aPayload) const;

  /**
   * Applies the platform's response to a call that was sent at aSentAt. With aIsList, objects of
   * aKinds that the list lacks count as deleted unless their version is above the list's; what the
   * platform has just lost is kept for kRewriteTime.
   * @return false if the response is older than known state; it then does not count as a contact
   */
  bool OnPlatform(const PlatformChanges& aChanges,
                  const std::vector<std::string>& aKinds,
                  bool aIsList,
                  TimePoint aSentAt,
                  TimePoint aNow);

  /** Publishes this node's upstreams if anything other than their load changed. */
  void PublishUpstreams(std::vector<UpstreamRecord> aUpstreams, TimePoint aNow);

  void Leave(TimePoint aNow);

  FleetOutput TakeOutput();

  const Membership& Members() const { return mMembership; }
  const std::vector<VmIdentity>& Live() { return mMembership.Live(); }
  const RecordStore& Config() const { return mConfig; }
  const RecordStore& Nodes() const { return mNodes; }
  const FreshnessView& View() const { return mFreshness.View(); }
  bool IsLoaded() const { return mLoaded; }
  bool IsWatcher() const { return mWatcher; }

  /** Applied revisions of this node and of the live members that packets were received from. A
   * watcher receives reports from its whole failure domain. */
  std::vector<AppliedRevision> Applied(TimePoint aNow) const;

private:
  RecordStore& Store(RecordFamily aFamily);
  void ExecuteAll(Membership::Actions& aActions, TimePoint aNow);

  void Execute(const SendPing& aAction, TimePoint aNow);
  void Execute(const SendPingRequest& aAction, TimePoint aNow);
  void Execute(const SendAck& aAction, TimePoint aNow);
  void Execute(const SendUpdates& aAction, TimePoint aNow);
  void Execute(const PullFrom& aAction, TimePoint aNow);
  void Execute(const Refuted& aAction, TimePoint aNow);
  void Execute(const IncarnationRaised& aAction, TimePoint aNow);
  void Execute(const PauseDetected& aAction, TimePoint aNow);
  void Execute(const MemberChange& aAction, TimePoint aNow);
  void Execute(const ProbeOutcome& aAction, TimePoint aNow);

  GossipPacket MakePacket(GossipKind aKind, std::uint64_t aSequence) const;
  void SendWithUpdates(const Address& aTo, GossipPacket aPacket, TimePoint aNow);
  void Send(const Address& aTo, const GossipPacket& aPacket);
  void AnnounceToRandomMembers();

  void OnAnnouncements(const Address& aFrom, const GossipPacket& aPacket, TimePoint aNow);
  void OnRecordRequest(const Address& aFrom, const GossipPacket& aPacket);
  void OnSenderConfig(const Address& aFrom, const GossipPacket& aPacket, TimePoint aNow);
  void Accept(const RecordCopy& aCopy, bool aSpread, TimePoint aNow);
  bool Apply(RecordFamily aFamily, const Record::Ptr& aRecord, bool aSpread, TimePoint aNow);
  bool IsAcceptable(RecordFamily aFamily, std::string_view aKey, RecordVersion aVersion) const;
  void NoteHistory(std::uint64_t aVersion, TimePoint aNow);
  void OnNodeRecord(const Record& aRecord, TimePoint aNow);
  void PublishGate(std::string_view aMember);
  void PublishOwnRecord(TimePoint aNow);

  void Pull(const Address& aTo, const PullRequest& aRequest);
  void Load(const Address& aPeer, std::uint32_t aCursor);
  void AnswerAll(const PullRequest& aRequest, PullAnswer& aAnswer) const;
  void AnswerDigests(const PullRequest& aRequest, PullAnswer& aAnswer) const;
  void AnswerKeys(const PullRequest& aRequest, PullAnswer& aAnswer) const;
  void RequestNewerRecords(const Address& aPeer, const PullAnswer& aAnswer);
  void RetryLoad(TimePoint aNow);
  void RepairNodeRecords(TimePoint aNow);
  void ReportApplied(TimePoint aNow);
  void UpdateWatcherRole();
  void Notice(LogLevel aLevel, Event aEvent, std::string aSubject);

  Options mOptions;
  std::mt19937_64 mRandom;
  Membership mMembership;
  RecordStore mConfig;
  RecordStore mNodes;
  FreshnessTracker mFreshness;
  RetransmitQueue<RecordAnnouncement> mAnnouncements;
  std::map<std::string, AppliedRevision> mApplied;
  std::map<std::string, TimePoint, std::less<>> mRequested;
  std::vector<UpstreamRecord> mUpstreams;
  std::uint64_t mSequence = 0;
  std::uint64_t mPlatformRevision = 0;
  std::uint64_t mPlatformEpoch = 0; //!< newest history of the platform that is known
  TimePoint mKeepLostUntil{};       //!< what that history lacks holds until then
  /** Digest last sent to the first watcher of the failure domain. */
  std::uint64_t mReportedDigest = 0;
  TimePoint mNextReport{};
  TimePoint mDigestChangedAt{};
  /** Since when acknowledgements have carried other digests than this node's; restarts after a
   * change of the own digest. TimePoint(): no mismatch. */
  TimePoint mMismatchSince{};
  TimePoint mNextNodeRepair{};
  TimePoint mNextLoad{};
  TimePoint mNextRejectNotice{};
  bool mAnnouncementsPending = false;
  bool mMembersChanged = true; //!< since the last watcher election
  bool mLoaded = false;
  bool mWatcher = false;
  FleetOutput mOutput;
};

} // namespace mustardwinch
