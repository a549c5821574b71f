#pragma once

#include "fleet/LinkTable.h"
#include "fleet/MemberInfo.h"
#include "mustardwinch/Clock.h"
#include "store/ObjectStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace mustardwinch {

/**
 * Keeps this node's entry among the members in the store, follows the others' entries, and removes
 * those of nodes that are gone for good. Entries in the store never expire by themselves.
 */
class MemberRegistrar
{
public:
  MemberRegistrar(boost::asio::io_context& aLoop,
                  Clock& aClock,
                  const ObjectStore& aStore,
                  MemberInfo aSelf,
                  LinkTable& aLinks,
                  std::function<void()> aOnWritten);

  void OnList(const std::vector<StoredObject>& aObjects, StorePosition aAt);
  void OnChange(const StoredObject& aObject);

  /** Removes this node's entry, since its VM leaves for good. Called once; aDone follows the
   * answer.
   */
  void Leave(std::function<void()> aDone);

  /** Removes entries of nodes that nobody has reached for long. Called about once a second. */
  void Tick();

private:
  void Remove(const MemberInfo& aMember);
  void RemovePredecessor(const MemberInfo& aMember);
  void Write();
  void OnWritten(const StoreReply& aReply);
  void WriteLater();

  Clock& mClock;
  const ObjectStore& mStore;
  const MemberInfo mSelf;
  LinkTable& mLinks;
  const std::function<void()> mOnWritten; //!< the store has this node's entry
  boost::asio::steady_timer mTimer;
  std::optional<StoredObject> mOwn; //!< this node's entry as the store holds it
  std::set<std::string> mRemoving;
  std::uint64_t mEpoch = 0; //!< of the history that the entries are of
  bool mWriting = false;
  bool mLeft = false;
};

/** The entry of a node, and back; nothing if another writer left a malformed one. */
nlohmann::json MemberSpec(const MemberInfo& aMember);
std::optional<MemberInfo> MemberOf(const StoredObject& aObject);

} // namespace mustardwinch
