#include "membership/FleetCore.h"

#include "membership/GossipCodec.h"
#include "membership/ListedRecords.h"
#include "membership/WatcherElection.h"
#include "platform/PlatformVersion.h"
#include "store/RewriteTime.h"

#include <algorithm>
#include <cassert>
#include <utility>
#include <variant>

namespace mustardwinch {
namespace {

/** Reserve for the msgpack list headers, which grow with the number of entries. */
constexpr std::size_t kListHeaderBytes = 16;

/** Number of bytes that can still be added to a packet. */
std::size_t FreeBytes(const GossipPacket& aPacket)
{
  constexpr std::size_t kUsable = GossipPacket::kMaxBytes - kListHeaderBytes;
  return kUsable - std::min(kUsable, gossip::EncodedBytes(aPacket));
}

template<typename T>
bool AddIfFits(std::vector<T>& aList, const T& aItem, std::size_t& aFreeBytes)
{
  const std::size_t bytes = gossip::EncodedBytes(aItem);
  if (bytes > aFreeBytes) {
    return false;
  }
  aFreeBytes -= bytes;
  aList.push_back(aItem);
  return true;
}

RecordCopy CopyOf(RecordFamily aFamily, const Record& aRecord)
{
  return { aFamily,
           std::string(aRecord.Key()),
           aRecord.Version(),
           aRecord.IsDeleted(),
           std::string(aRecord.Content()) };
}

RecordAnnouncement AnnouncementOf(RecordFamily aFamily, const Record& aRecord)
{
  const auto bytes = static_cast<std::uint32_t>(aRecord.Content().size());
  return { aFamily, std::string(aRecord.Key()), aRecord.Version(), bytes };
}

std::string AnnouncementKey(const RecordAnnouncement& aAnnouncement)
{
  return std::to_string(static_cast<int>(aAnnouncement.family)) + aAnnouncement.key;
}

/** Clears the load, which changes too often to trigger a publication. */
std::vector<UpstreamRecord> WithoutLoad(std::vector<UpstreamRecord> aUpstreams)
{
  for (UpstreamRecord& it : aUpstreams) {
    it.load = 0;
  }
  return aUpstreams;
}

} // namespace

FleetCore::FleetCore(Options aOptions)
  : mOptions(std::move(aOptions))
  , mRandom(mOptions.randomSeed)
  , mMembership(mOptions.self, mOptions.seeds, mRandom())
{
  mFreshness.OnDigest(mConfig.Digest());
}

RecordStore& FleetCore::Store(RecordFamily aFamily)
{
  return aFamily == RecordFamily::kConfig ? mConfig : mNodes;
}

FleetOutput FleetCore::TakeOutput()
{
  return std::exchange(mOutput, {});
}

void FleetCore::Notice(LogLevel aLevel, Event aEvent, std::string aSubject)
{
  mOutput.notices.push_back({ aLevel, aEvent, std::move(aSubject) });
}

void FleetCore::Tick(TimePoint aNow)
{
  Membership::Actions actions;
  mMembership.Tick(aNow, actions);
  ExecuteAll(actions, aNow);
  RetryLoad(aNow);
  RepairNodeRecords(aNow);
  ReportApplied(aNow);
  std::erase_if(mRequested,
                [&](const auto& aEntry) { return aNow - aEntry.second >= kRequestRetry; });
  mFreshness.Tick(aNow, mMembership.LiveOthers(), mMembership.Lost());
  UpdateWatcherRole();
}

void FleetCore::UpdateWatcherRole()
{
  if (!mMembersChanged) {
    return;
  }
  mMembersChanged = false;
  const std::string& self = mMembership.Self().identity.name;
  const bool watcher = WatcherElection::IsAmongFirst(mMembership.DomainRank(), self);
  if (watcher != mWatcher) {
    mWatcher = watcher;
    Notice(LogLevel::kInfo, Event::kWatcherChanged, watcher ? "watching" : "not_watching");
  }
}

// --- Membership actions

void FleetCore::ExecuteAll(Membership::Actions& aActions, TimePoint aNow)
{
  for (const MembershipAction& it : aActions) {
    std::visit([&](const auto& aAction) { Execute(aAction, aNow); }, it);
  }
  aActions.clear();
}

void FleetCore::Execute(const SendPing& aAction, TimePoint aNow)
{
  GossipPacket packet = MakePacket(GossipKind::kPing, aAction.sequence);
  packet.receiver = aAction.member;
  SendWithUpdates(aAction.to, std::move(packet), aNow);
}

void FleetCore::Execute(const SendPingRequest& aAction, TimePoint aNow)
{
  GossipPacket packet = MakePacket(GossipKind::kPingRequest, aAction.sequence);
  packet.receiver = aAction.member;
  packet.target = aAction.target;
  SendWithUpdates(aAction.relay, std::move(packet), aNow);
}

void FleetCore::Execute(const SendAck& aAction, TimePoint aNow)
{
  GossipPacket packet = MakePacket(GossipKind::kAck, aAction.sequence);
  packet.beacons = mFreshness.Beacons(aNow);
  packet.receiver = aAction.member;
  SendWithUpdates(aAction.to, std::move(packet), aNow);
}

void FleetCore::Execute(const SendUpdates& aAction, TimePoint aNow)
{
  SendWithUpdates(aAction.to, MakePacket(GossipKind::kUpdates, 0), aNow);
}

void FleetCore::Execute(const PullFrom& aAction, TimePoint aNow)
{
  mNextLoad = aNow + kLoadRetry;
  if (!mLoaded) {
    Load(aAction.peer, 0);
    return;
  }
  PullRequest request;
  request.kind = PullKind::kDigests;
  request.family = RecordFamily::kConfig;
  const auto& digests = mConfig.BucketDigests();
  request.digests.assign(digests.begin(), digests.end());
  Pull(aAction.peer, request);
  RepairNodeRecords(aNow);
}

void FleetCore::Execute(const Refuted&, TimePoint aNow)
{
  PublishOwnRecord(aNow);
}

void FleetCore::Execute(const IncarnationRaised& aAction, TimePoint)
{
  Notice(LogLevel::kError, Event::kNameTwice, aAction.other.ToString());
}

void FleetCore::Execute(const PauseDetected& aAction, TimePoint)
{
  const auto ms = std::chrono::duration_cast<Milliseconds>(aAction.length).count();
  Notice(LogLevel::kWarn, Event::kPauseSeen, std::to_string(ms) + "ms");
}

void FleetCore::Execute(const MemberChange& aAction, TimePoint)
{
  const std::string& name = aAction.identity.name;
  const bool live = aAction.state <= MemberState::kSuspect;
  const Record::Ptr record = mNodes.Find(name);
  if (record && (!live || record->Version().major < aAction.identity.incarnation)) {
    mNodes.Erase(name);
  }
  mOutput.memberChanges.push_back(aAction);
  mMembersChanged = true;
  PublishGate(name);
  if (!live) {
    mApplied.erase(name);
    mOutput.gates.push_back({ aAction.identity.link, {} });
    const bool failed = aAction.state == MemberState::kFailed;
    Notice(failed ? LogLevel::kWarn : LogLevel::kInfo,
           failed ? Event::kMemberFailed : Event::kMemberLeft,
           name);
  } else {
    Notice(LogLevel::kInfo, Event::kMemberJoined, name);
  }
}

void FleetCore::Execute(const ProbeOutcome& aAction, TimePoint)
{
  mFreshness.OnProbe(aAction);
}

// --- packets

GossipPacket FleetCore::MakePacket(GossipKind aKind, std::uint64_t aSequence) const
{
  GossipPacket packet;
  packet.kind = aKind;
  packet.sequence = aSequence;
  packet.sender = mMembership.Self();
  packet.digest = mConfig.Digest();
  packet.revision = mConfig.Revision();
  return packet;
}

void FleetCore::Send(const Address& aTo, const GossipPacket& aPacket)
{
  std::string bytes = aPacket.Encode();
  assert(bytes.size() <= GossipPacket::kMaxBytes);
  mOutput.datagrams.push_back({ aTo, std::move(bytes) });
}

void FleetCore::SendWithUpdates(const Address& aTo, GossipPacket aPacket, TimePoint)
{
  std::size_t freeBytes = FreeBytes(aPacket);
  mMembership.OfferUpdates(aPacket.receiver, [&](const MemberUpdate& aUpdate) {
    return AddIfFits(aPacket.members, aUpdate, freeBytes);
  });
  mAnnouncements.Offer(mMembership.LiveOthers(), [&](const RecordAnnouncement& aAnnouncement) {
    return AddIfFits(aPacket.announcements, aAnnouncement, freeBytes);
  });
  if (aPacket.kind == GossipKind::kAck) {
    aPacket.receiver.clear();
  }
  Send(aTo, aPacket);
}

void FleetCore::AnnounceToRandomMembers()
{
  // Not counted as transmissions: piggybacking must still reach the members that this fanout
  // misses.
  GossipPacket packet = MakePacket(GossipKind::kUpdates, 0);
  std::size_t freeBytes = FreeBytes(packet);
  mAnnouncements.Peek([&](const RecordAnnouncement& aAnnouncement) {
    return AddIfFits(packet.announcements, aAnnouncement, freeBytes);
  });
  for (const VmIdentity& it : mMembership.RandomLive(mOptions.eagerFanout)) {
    Send(it.link, packet);
  }
}

void FleetCore::OnPacket(const Address& aFrom, std::string_view aBytes, TimePoint aNow)
{
  const Result<GossipPacket> decoded = GossipPacket::Decode(aBytes);
  if (!decoded) {
    if (aNow >= mNextRejectNotice) {
      mNextRejectNotice = aNow + kRejectNoticePeriod;
      Notice(LogLevel::kWarn, Event::kGossipRejected, aFrom.ToString());
    }
    return;
  }
  const GossipPacket& packet = decoded.Value();
  const std::string& self = mMembership.Self().identity.name;
  const bool request = packet.kind == GossipKind::kPingRequest;
  if (!request && !packet.receiver.empty() && packet.receiver != self) {
    return;
  }
  const std::string& sender = packet.sender.identity.name;
  Membership::Actions actions;
  mMembership.OnUpdate(packet.sender, aNow, actions);
  for (const MemberUpdate& it : packet.members) {
    mMembership.OnUpdate(it, aNow, actions);
  }
  OnAnnouncements(aFrom, packet, aNow);
  for (const RecordCopy& it : packet.records) {
    Accept(it, true, aNow);
  }
  switch (packet.kind) {
    case GossipKind::kPing:
      mMembership.OnPing(aFrom, sender, packet.sequence, actions);
      break;
    case GossipKind::kAck:
      if (const auto sentAt = mMembership.OnAck(sender, packet.sequence, aNow, actions)) {
        for (const FreshnessBeacon& it : packet.beacons) {
          mFreshness.OnBeacon(it, *sentAt);
        }
      }
      break;
    case GossipKind::kPingRequest:
      mMembership.OnPingRequest(
        aFrom, packet.target, packet.receiver, packet.sequence, aNow, actions);
      break;
    case GossipKind::kRecordRequest:
      OnRecordRequest(aFrom, packet);
      break;
    case GossipKind::kUpdates:
    case GossipKind::kRecords:
      break;
  }
  ExecuteAll(actions, aNow);
  OnSenderConfig(aFrom, packet, aNow);
  if (mAnnouncementsPending) {
    mAnnouncementsPending = false;
    AnnounceToRandomMembers();
  }
}

/** Compares the sender's configuration digest with this node's. A mismatch that lasts for
 * kRepairDelay means that announcements were missed, so the difference is pulled. */
void FleetCore::OnSenderConfig(const Address& aFrom, const GossipPacket& aPacket, TimePoint aNow)
{
  const std::string& sender = aPacket.sender.identity.name;
  if (mMembership.IsLive(sender)) {
    mApplied[sender] = { sender, aPacket.revision, aPacket.digest, aNow };
  }
  if (aPacket.kind != GossipKind::kAck || !mLoaded) {
    return;
  }
  if (aPacket.digest == mConfig.Digest()) {
    mMismatchSince = TimePoint();
    return;
  }
  if (mMismatchSince == TimePoint() || mDigestChangedAt > mMismatchSince) {
    mMismatchSince = aNow;
  }
  if (aNow - mMismatchSince >= kRepairDelay) {
    mMismatchSince = aNow;
    Execute(PullFrom{ aFrom }, aNow);
  }
}

void FleetCore::OnAnnouncements(const Address& aFrom, const GossipPacket& aPacket, TimePoint aNow)
{
  if (aPacket.kind == GossipKind::kRecordRequest) {
    return;
  }
  GossipPacket recordRequest = MakePacket(GossipKind::kRecordRequest, 0);
  PullRequest pull;
  pull.kind = PullKind::kKeys;
  for (const RecordAnnouncement& it : aPacket.announcements) {
    const bool newer = Store(it.family).IsNewer(it.key, it.version);
    if (!newer || !IsAcceptable(it.family, it.key, it.version)) {
      continue;
    }
    if (!mRequested.emplace(AnnouncementKey(it), aNow).second) {
      continue;
    }
    const bool small = it.key.size() + it.bytes <= kDatagramRecordBytes;
    (small ? recordRequest.announcements : pull.keys).push_back(it);
  }
  if (!recordRequest.announcements.empty()) {
    Send(aFrom, recordRequest);
  }
  if (!pull.keys.empty()) {
    Pull(aFrom, pull);
  }
}

void FleetCore::OnRecordRequest(const Address& aFrom, const GossipPacket& aPacket)
{
  const GossipPacket emptyPacket = MakePacket(GossipKind::kRecords, 0);
  const std::size_t maxFreeBytes = FreeBytes(emptyPacket);
  GossipPacket packet = emptyPacket;
  std::size_t freeBytes = maxFreeBytes;
  for (const RecordAnnouncement& it : aPacket.announcements) {
    const Record::Ptr record = Store(it.family).Find(it.key);
    if (!record) {
      continue;
    }
    RecordCopy copy = CopyOf(it.family, *record);
    const std::size_t bytes = gossip::EncodedBytes(copy);
    if (bytes > maxFreeBytes) {
      continue;
    }
    if (bytes > freeBytes) {
      Send(aFrom, packet);
      packet = emptyPacket;
      freeBytes = maxFreeBytes;
    }
    freeBytes -= bytes;
    packet.records.push_back(std::move(copy));
  }
  if (!packet.records.empty()) {
    Send(aFrom, packet);
  }
}

// --- records

bool FleetCore::IsAcceptable(RecordFamily aFamily,
                             std::string_view aKey,
                             RecordVersion aVersion) const
{
  if (aFamily == RecordFamily::kConfig) {
    return true;
  }
  const MemberUpdate* member = mMembership.Find(std::string(aKey));
  if (member == nullptr) {
    return aKey != mMembership.Self().identity.name;
  }
  const bool live = member->state <= MemberState::kSuspect;
  return aVersion.major > member->identity.incarnation ||
         (live && aVersion.major == member->identity.incarnation);
}

void FleetCore::Accept(const RecordCopy& aCopy, bool aSpread, TimePoint aNow)
{
  if (!IsAcceptable(aCopy.family, aCopy.key, aCopy.version)) {
    return;
  }
  if (const auto record = Record::Make(aCopy.key, aCopy.version, aCopy.deleted, aCopy.content)) {
    Apply(aCopy.family, record, aSpread, aNow);
  }
}

bool FleetCore::Apply(RecordFamily aFamily,
                      const Record::Ptr& aRecord,
                      bool aSpread,
                      TimePoint aNow)
{
  RecordStore& store = Store(aFamily);
  const Record::Ptr before = store.Find(aRecord->Key());
  if (!store.Apply(aRecord)) {
    return false;
  }
  if (aSpread) {
    const RecordAnnouncement announcement = AnnouncementOf(aFamily, *aRecord);
    mAnnouncements.Add(AnnouncementKey(announcement), announcement);
    mAnnouncementsPending = true;
  }
  if (aFamily == RecordFamily::kConfig) {
    NoteHistory(aRecord->Version().major, aNow);
    mDigestChangedAt = aNow;
    mFreshness.OnDigest(mConfig.Digest());
    mOutput.configChanges.push_back({ before, aRecord });
  } else {
    OnNodeRecord(*aRecord, aNow);
  }
  return true;
}

/** A record can arrive before the membership update of its owner, so it also serves as one. */
void FleetCore::OnNodeRecord(const Record& aRecord, TimePoint aNow)
{
  const auto node = NodeRecord::Decode(aRecord.Content());
  const bool own = aRecord.Key() == mMembership.Self().identity.name;
  const bool fits = node && node.Value().identity.incarnation == aRecord.Version().major;
  if (fits && !own && node.Value().identity.name == aRecord.Key()) {
    Membership::Actions actions;
    mMembership.OnUpdate({ node.Value().identity, 0, MemberState::kAlive }, aNow, actions);
    ExecuteAll(actions, aNow);
  }
  PublishGate(aRecord.Key());
}

/** Outputs the upstreams of a live member's gate. */
void FleetCore::PublishGate(std::string_view aMember)
{
  const std::string name(aMember);
  const bool self = name == mMembership.Self().identity.name;
  if (!self && !mMembership.IsLive(name)) {
    return;
  }
  const Address address =
    self ? mMembership.Self().identity.link : mMembership.Find(name)->identity.link;
  const Record::Ptr record = mNodes.Find(aMember);
  if (!record) {
    mOutput.gates.push_back({ address, {} });
    return;
  }
  auto node = NodeRecord::Decode(record->Content());
  if (node) {
    mOutput.gates.push_back({ address, std::move(node.Value().upstreams) });
  }
}

void FleetCore::PublishUpstreams(std::vector<UpstreamRecord> aUpstreams, TimePoint aNow)
{
  const bool same = mSequence > 0 && WithoutLoad(mUpstreams) == WithoutLoad(aUpstreams);
  mUpstreams = std::move(aUpstreams);
  if (!same) {
    PublishOwnRecord(aNow);
  }
}

void FleetCore::PublishOwnRecord(TimePoint aNow)
{
  const VmIdentity& self = mMembership.Self().identity;
  const std::string content = NodeRecord{ self, mUpstreams }.Encode();
  const auto record = Record::Make(self.name, { self.incarnation, ++mSequence }, false, content);
  if (record && Apply(RecordFamily::kNode, record, true, aNow)) {
    AnnounceToRandomMembers();
  }
  mAnnouncementsPending = false;
}

/** A version of a later history than those known: the platform has come back from a copy. */
void FleetCore::NoteHistory(std::uint64_t aVersion, TimePoint aNow)
{
  const std::uint64_t epoch = PlatformEpochOf(aVersion);
  if (epoch > mPlatformEpoch) {
    mPlatformEpoch = epoch;
    mKeepLostUntil = aNow + kRewriteTime;
    Notice(LogLevel::kWarn, Event::kStoreHistoryReplaced, std::to_string(epoch));
  }
}

bool FleetCore::OnPlatform(const PlatformChanges& aChanges,
                           const std::vector<std::string>& aKinds,
                           bool aIsList,
                           TimePoint aSentAt,
                           TimePoint aNow)
{
  NoteHistory(aChanges.revision, aNow);
  // Records of any response are applied, since the newest version wins.
  if (aIsList) {
    const auto lost = aNow < mKeepLostUntil ? LostRecords::kKeep : LostRecords::kGiveUp;
    for (const Record::Ptr& it : RecordsOfList(mConfig, aChanges, aKinds, lost)) {
      Apply(RecordFamily::kConfig, it, mLoaded, aNow);
    }
  } else {
    for (const PlatformObject& it : aChanges.objects) {
      if (const Record::Ptr record = RecordOf(it)) {
        Apply(RecordFamily::kConfig, record, mLoaded, aNow);
      }
    }
  }
  if (mAnnouncementsPending) {
    mAnnouncementsPending = false;
    AnnounceToRandomMembers();
  }
  // A response older than what the fleet already knows is stale and confirms nothing.
  if (aChanges.revision < std::max(mPlatformRevision, mConfig.Revision())) {
    return false;
  }
  mPlatformRevision = aChanges.revision;
  if (!mLoaded && aIsList) {
    mLoaded = true;
    mFreshness.OnLoaded();
    Notice(LogLevel::kInfo, Event::kRecordsLoaded, "platform");
  }
  mFreshness.OnOwnContact(aSentAt, mConfig.Digest(), mConfig.Revision());
  return true;
}

// --- pulls

void FleetCore::Pull(const Address& aTo, const PullRequest& aRequest)
{
  mOutput.pulls.push_back({ aTo, aRequest.Encode() });
}

void FleetCore::Load(const Address& aPeer, std::uint32_t aCursor)
{
  PullRequest request;
  request.cursor = aCursor;
  Pull(aPeer, request);
}

void FleetCore::RetryLoad(TimePoint aNow)
{
  if (mLoaded || aNow < mNextLoad) {
    return;
  }
  mNextLoad = aNow + kLoadRetry;
  for (const VmIdentity& it : mMembership.RandomLive(1)) {
    Load(it.link, 0);
  }
}

void FleetCore::RepairNodeRecords(TimePoint aNow)
{
  if (!mLoaded || aNow < mNextNodeRepair) {
    return;
  }
  const Duration jitter(mRandom() % Duration(kNodeRepairPeriod).count());
  mNextNodeRepair = aNow + kNodeRepairPeriod / 2 + jitter;
  PullRequest request;
  request.kind = PullKind::kDigests;
  request.family = RecordFamily::kNode;
  const auto& digests = mNodes.BucketDigests();
  request.digests.assign(digests.begin(), digests.end());
  for (const VmIdentity& it : mMembership.RandomLive(1)) {
    Pull(it.link, request);
  }
}

Result<std::string> FleetCore::AnswerPull(std::string_view aPayload) const
{
  const Result<PullRequest> decoded = PullRequest::Decode(aPayload);
  if (!decoded) {
    return decoded.Error();
  }
  const PullRequest& request = decoded.Value();
  PullAnswer answer;
  answer.kind = request.kind;
  answer.family = request.family;
  answer.complete = mLoaded;
  switch (request.kind) {
    case PullKind::kAll:
      AnswerAll(request, answer);
      break;
    case PullKind::kDigests:
      AnswerDigests(request, answer);
      break;
    case PullKind::kKeys:
      AnswerKeys(request, answer);
      break;
  }
  return answer.Encode();
}

/** Appends whole buckets from the cursor on until a chunk is full: configuration, then nodes. */
void FleetCore::AnswerAll(const PullRequest& aRequest, PullAnswer& aAnswer) const
{
  if (aRequest.cursor == 0) {
    aAnswer.members = mMembership.All();
  }
  constexpr std::uint32_t kEnd = RecordStore::kBuckets * kRecordFamilies;
  std::size_t bytes = 0;
  std::uint32_t cursor = aRequest.cursor;
  for (; cursor < kEnd && bytes < kChunkBytes; ++cursor) {
    const bool config = cursor < RecordStore::kBuckets;
    const RecordStore& store = config ? mConfig : mNodes;
    const RecordFamily family = config ? RecordFamily::kConfig : RecordFamily::kNode;
    for (const Record::Ptr& it : store.At(cursor % RecordStore::kBuckets)) {
      aAnswer.records.push_back(CopyOf(family, *it));
      bytes += it->Key().size() + it->Content().size();
    }
  }
  aAnswer.nextCursor = cursor < kEnd ? cursor : 0;
}

void FleetCore::AnswerDigests(const PullRequest& aRequest, PullAnswer& aAnswer) const
{
  const RecordStore& store = aRequest.family == RecordFamily::kConfig ? mConfig : mNodes;
  const std::size_t buckets = std::min(aRequest.digests.size(), RecordStore::kBuckets);
  for (std::size_t n = 0; n < buckets && aAnswer.announcements.size() < kMaxAnnouncements; ++n) {
    if (store.BucketDigests()[n] == aRequest.digests[n]) {
      continue;
    }
    for (const Record::Ptr& it : store.At(n)) {
      aAnswer.announcements.push_back(AnnouncementOf(aRequest.family, *it));
    }
  }
}

void FleetCore::AnswerKeys(const PullRequest& aRequest, PullAnswer& aAnswer) const
{
  std::size_t bytes = 0;
  for (const RecordAnnouncement& it : aRequest.keys) {
    const RecordStore& store = it.family == RecordFamily::kConfig ? mConfig : mNodes;
    const Record::Ptr record = store.Find(it.key);
    if (!record) {
      continue;
    }
    bytes += record->Key().size() + record->Content().size();
    if (bytes > kChunkBytes && !aAnswer.records.empty()) {
      break;
    }
    aAnswer.records.push_back(CopyOf(it.family, *record));
  }
}

void FleetCore::OnPullAnswer(const Address& aPeer,
                             const Result<std::string>& aAnswer,
                             TimePoint aNow)
{
  if (!aAnswer) {
    return;
  }
  const Result<PullAnswer> decoded = PullAnswer::Decode(aAnswer.Value());
  if (!decoded) {
    Notice(LogLevel::kWarn, Event::kGossipRejected, aPeer.ToString());
    return;
  }
  const PullAnswer& answer = decoded.Value();
  Membership::Actions actions;
  for (const MemberUpdate& it : answer.members) {
    mMembership.OnUpdate(it, aNow, actions);
  }
  ExecuteAll(actions, aNow);
  for (const RecordCopy& it : answer.records) {
    Accept(it, answer.kind == PullKind::kKeys, aNow);
  }
  if (answer.kind == PullKind::kDigests) {
    RequestNewerRecords(aPeer, answer);
  }
  if (answer.kind == PullKind::kAll && answer.nextCursor != 0) {
    mNextLoad = aNow + kLoadRetry;
    Load(aPeer, answer.nextCursor);
  } else if (answer.kind == PullKind::kAll && answer.complete && !mLoaded) {
    mLoaded = true;
    mFreshness.OnLoaded();
    Notice(LogLevel::kInfo, Event::kRecordsLoaded, aPeer.ToString());
  }
  if (mAnnouncementsPending) {
    mAnnouncementsPending = false;
    AnnounceToRandomMembers();
  }
}

void FleetCore::RequestNewerRecords(const Address& aPeer, const PullAnswer& aAnswer)
{
  PullRequest request;
  request.kind = PullKind::kKeys;
  for (const RecordAnnouncement& it : aAnswer.announcements) {
    const bool newer = Store(it.family).IsNewer(it.key, it.version);
    if (newer && IsAcceptable(it.family, it.key, it.version)) {
      request.keys.push_back(it);
    }
  }
  if (!request.keys.empty()) {
    Pull(aPeer, request);
  }
}

// --- applied revisions

/** Reports this node's applied configuration to the first watcher of its failure domain. */
void FleetCore::ReportApplied(TimePoint aNow)
{
  const bool changed = mReportedDigest != mConfig.Digest();
  const bool settled = aNow - mDigestChangedAt >= kReportDelay;
  if (!(changed && settled) && aNow < mNextReport) {
    return;
  }
  mReportedDigest = mConfig.Digest();
  mNextReport = aNow + kReportPeriod;
  const std::string& self = mMembership.Self().identity.name;
  const std::vector<VmIdentity>& ranked = mMembership.DomainRank();
  if (!ranked.empty() && ranked.front().name != self) {
    SendWithUpdates(ranked.front().link, MakePacket(GossipKind::kUpdates, 0), aNow);
  }
}

std::vector<AppliedRevision> FleetCore::Applied(TimePoint aNow) const
{
  const std::string& self = mMembership.Self().identity.name;
  std::vector<AppliedRevision> applied{ { self, mConfig.Revision(), mConfig.Digest(), aNow } };
  for (const auto& [name, revision] : mApplied) {
    applied.push_back(revision);
  }
  return applied;
}

void FleetCore::Leave(TimePoint aNow)
{
  Membership::Actions actions;
  mMembership.Leave(actions);
  ExecuteAll(actions, aNow);
}

} // namespace mustardwinch
