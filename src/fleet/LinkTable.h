#pragma once

#include "fleet/AliveVote.h"
#include "fleet/MemberInfo.h"
#include "fleet/PeerLink.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace mustardwinch {

/** This node's links to all other nodes. Runs on one event loop. */
class LinkTable
{
public:
  LinkTable(boost::asio::io_context& aLoop,
            Clock& aClock,
            MemberInfo aSelf,
            PeerLink::Surroundings aSurroundings);

  /** Adds a node or updates it; an entry that only a peer told never replaces one of the store. */
  void Put(const MemberInfo& aMember);
  void Remove(const std::string& aVm);

  /** What becomes of members of the store that its list lacks. */
  enum class Unlisted : std::uint8_t
  {
    kRemove,
    kKeep, //!< as if only a peer had told them
  };

  /** All members as of the store; nodes that only peers have told stay. */
  void SetAll(const std::vector<MemberInfo>& aMembers, Unlisted aUnlisted = Unlisted::kRemove);

  void Tick();

  /** Sends a heartbeat on all links now. */
  void Announce();

  PeerLink* Find(const std::string& aVm) const;
  const std::map<std::string, std::shared_ptr<PeerLink>>& All() const { return mLinks; }

  /** VMs that are heard, this one among them, in order of names. */
  std::vector<std::string> LiveVms() const;

  /** VMs that are known and not heard. */
  std::vector<std::string> UnheardVms() const;

  /** Tags of the VMs that are not heard; none if this node is no voter. */
  std::vector<std::uint32_t> UnheardTags() const;

  /** A peer has told the tags of the VMs that it does not hear. */
  void NoteUnheard(const std::string& aVm, const std::vector<std::uint32_t>& aUnheard);

  /** Whether most of the known nodes are heard and all of these have started since aTime. */
  bool MostBeganSince(TimePoint aTime) const;

  /** The latest time since which more than half of the known VMs, this one among them, have been
   * heard. */
  TimePoint MajorityHeard() const;

  /** Time in which a node notices that another one has gone silent, and acts on it. */
  Duration DetectionTime() const;

  /** VMs that are taken to be alive, see AgreeOnAlive(). */
  std::vector<std::string> AgreedVms() const;

private:
  Milliseconds Scaled(Milliseconds aPeriod) const;
  Milliseconds PeriodFor(const MemberInfo& aMember) const;
  void UpdateVoters();
  std::vector<std::string> HeardVoters() const;

  boost::asio::io_context& mLoop;
  Clock& mClock;
  const MemberInfo mSelf;
  const PeerLink::Surroundings mSurroundings;
  std::map<std::string, std::shared_ptr<PeerLink>> mLinks;
  std::set<std::string> mVoters; //!< see ChooseVoters()
  bool mVotersOutdated = true;   //!< brought up to date by Tick(), once for a whole list of members
  UnheardReports mUnheard;
};

} // namespace mustardwinch
