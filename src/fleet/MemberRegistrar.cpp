#include "fleet/MemberRegistrar.h"

#include "mustardwinch/Event.h"
#include "quota/RateOwner.h"

#include <utility>

namespace mustardwinch {
namespace {

using nlohmann::json;

constexpr Milliseconds kRewritePause{ 700 };

/** A node that nobody has reached for this long has been replaced; its VM writes itself anew if
 *  it comes back. */
constexpr Seconds kGoneAfter{ 60 };

} // namespace

json MemberSpec(const MemberInfo& aMember)
{
  return { { "link", aMember.link.ToString() },
           { "failureDomain", aMember.failureDomain },
           { "service", aMember.service } };
}

std::optional<MemberInfo> MemberOf(const StoredObject& aObject)
{
  const json& spec = aObject.spec;
  if (!spec.is_object() || !spec.contains("link") || !spec["link"].is_string()) {
    return std::nullopt;
  }
  const auto link = Address::Parse(spec["link"].get<std::string>());
  if (!link || !spec.value("failureDomain", json()).is_string() ||
      !spec.value("service", json()).is_string()) {
    return std::nullopt;
  }
  return MemberInfo{ aObject.name,
                     *link,
                     spec["failureDomain"].get<std::string>(),
                     spec["service"].get<std::string>(),
                     { aObject.epoch, aObject.revision } };
}

MemberRegistrar::MemberRegistrar(boost::asio::io_context& aLoop,
                                 Clock& aClock,
                                 const ObjectStore& aStore,
                                 MemberInfo aSelf,
                                 LinkTable& aLinks,
                                 std::function<void()> aOnWritten)
  : mClock(aClock)
  , mStore(aStore)
  , mSelf(std::move(aSelf))
  , mLinks(aLinks)
  , mOnWritten(std::move(aOnWritten))
  , mTimer(aLoop)
{
}

void MemberRegistrar::OnList(const std::vector<StoredObject>& aObjects, StorePosition aAt)
{
  // Nodes that joined after the copy was taken write themselves again.
  const bool replaced = aAt.epoch > mEpoch;
  mEpoch = aAt.epoch;
  mOwn.reset();
  std::vector<MemberInfo> members;
  for (const StoredObject& it : aObjects) {
    if (it.name == mSelf.vm) {
      mOwn = it;
    }
    if (const auto member = MemberOf(it)) {
      members.push_back(*member);
      RemovePredecessor(*member);
    }
  }
  mLinks.SetAll(members, replaced ? LinkTable::Unlisted::kKeep : LinkTable::Unlisted::kRemove);
  Write();
}

void MemberRegistrar::OnChange(const StoredObject& aObject)
{
  if (aObject.name == mSelf.vm) {
    mOwn = aObject.removed ? std::nullopt : std::optional(aObject);
    Write();
    return;
  }
  if (aObject.removed) {
    mLinks.Remove(aObject.name);
  } else if (const auto member = MemberOf(aObject)) {
    mLinks.Put(*member);
    RemovePredecessor(*member);
  }
}

/** An address has one VM at a time: another entry with this node's is of a VM that is gone. */
void MemberRegistrar::RemovePredecessor(const MemberInfo& aMember)
{
  if (aMember.vm != mSelf.vm && aMember.link == mSelf.link) {
    Remove(aMember);
  }
}

void MemberRegistrar::Write()
{
  const json spec = MemberSpec(mSelf);
  if (mWriting || mLeft || (mOwn && mOwn->spec == spec)) {
    return;
  }
  mWriting = true;
  const StoredObject object{ mSelf.vm, mOwn ? mOwn->revision : 0, spec, false };
  const auto done = [this](const StoreReply& aReply) { OnWritten(aReply); };
  if (mOwn) {
    mStore.replace(StoredKind::kMembers, object, done);
  } else {
    mStore.create(StoredKind::kMembers, object, done);
  }
}

void MemberRegistrar::OnWritten(const StoreReply& aReply)
{
  mWriting = false;
  if (aReply.epoch && *aReply.epoch < mEpoch) { // what was written may not be in the copy
    Write();
    return;
  }
  const bool known = aReply.status == StoreStatus::kDone || aReply.status == StoreStatus::kConflict;
  if (known && !aReply.objects.empty()) {
    mOwn = aReply.objects.front();
    Write(); // nothing to do unless the entry is another one
    if (aReply.status == StoreStatus::kDone) {
      mOnWritten();
    }
    return;
  }
  if (aReply.status == StoreStatus::kNotFound) {
    mOwn.reset();
  }
  if (aReply.status != StoreStatus::kDone) {
    LogEvent(LogLevel::kWarn,
             Event::kPlatformLost,
             { { "for", "own entry" }, { "detail", aReply.detail } });
    WriteLater();
  }
}

void MemberRegistrar::Leave(std::function<void()> aDone)
{
  mLeft = true;
  if (!mOwn) {
    aDone();
    return;
  }
  const StoredObject object{ mSelf.vm, mOwn->revision, {}, false };
  mStore.remove(
    StoredKind::kMembers, object, [done = std::move(aDone)](const StoreReply&) { done(); });
}

void MemberRegistrar::WriteLater()
{
  mWriting = true;
  mTimer.expires_after(kRewritePause);
  mTimer.async_wait([this](const boost::system::error_code&) {
    mWriting = false;
    Write();
  });
}

void MemberRegistrar::Tick()
{
  const TimePoint now = mClock.Now();
  std::vector<std::string> unstored;
  for (const auto& [vm, link] : mLinks.All()) {
    const bool gone =
      !link->IsUp() && link->DownSince() != TimePoint{} && now - link->DownSince() > kGoneAfter;
    if (!gone) {
      continue;
    }
    if (!link->Member().IsStored()) {
      unstored.push_back(vm);
    } else if (mRemoving.count(vm) == 0 && RateOwnerOf(vm, mLinks.LiveVms()) == mSelf.vm) {
      Remove(link->Member());
    }
  }
  for (const std::string& it : unstored) {
    mLinks.Remove(it); // the store has no entry whose removal would tell it
  }
}

void MemberRegistrar::Remove(const MemberInfo& aMember)
{
  if (aMember.at.epoch != mEpoch || !mRemoving.insert(aMember.vm).second) {
    return; // in another history the revision may be that of a node that lives
  }
  const StoredObject object{ aMember.vm, aMember.at.revision, {}, false };
  mStore.remove(StoredKind::kMembers, object, [this, vm = aMember.vm](const StoreReply& aReply) {
    mRemoving.erase(vm);
    LogEvent(LogLevel::kInfo,
             Event::kMemberFailed,
             { { "vm", vm }, { "removed", aReply.status == StoreStatus::kDone ? "yes" : "no" } });
  });
}

} // namespace mustardwinch
