#pragma once

#include "http/HttpListener.h"
#include "mustardwinch/Clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace mustardwinch::soak {

/** The platform's store as its pages describe it, in memory, with the faults that they name. */
class StandinStore
{
public:
  enum class Fault : std::uint8_t
  {
    kNone,
    kBusy,      //!< 503, nothing is done
    kTooMany,   //!< 429, nothing is done
    kSilent,    //!< no answer, nothing is done
    kLostReply, //!< writes are done and not answered
    kMalformed, //!< the answer is no JSON
  };

  StandinStore(boost::asio::io_context& aLoop, Clock& aClock, const Address& aAddress);

  /** False if the address could not be had. */
  bool IsListening() const { return mListening; }

  /** Writes as an operator does. */
  void Put(const std::string& aKind, const std::string& aName, const nlohmann::json& aSpec);
  void Remove(const std::string& aKind, const std::string& aName);

  /** Drops the history: waiting watches stay as they are, the next ones are told. */
  void Compact();

  /** Copies all objects and the history, in place of the last copy. */
  void TakeCopy();

  /** Comes back from the last copy: what was written since is gone, revisions are given out again.
   * Watches that wait hear nothing of it, and only what the new history holds after their revision.
   * Without a copy the store is empty. */
  void RestoreCopy();

  /** Closes the connections of all watches that wait. */
  void CutWatches();

  std::uint64_t Epoch() const { return mEpoch; }
  std::uint64_t Revision() const { return mContent.revision; }

  void SetFault(Fault aFault) { mFault = aFault; }
  /** An object as it is stored; null if there is none. */
  nlohmann::json Get(const std::string& aKind, const std::string& aName) const;
  std::size_t Count(const std::string& aKind) const;
  std::uint64_t Calls() const { return mCalls; }

private:
  struct Event
  {
    std::uint64_t revision;
    std::string kind;
    nlohmann::json object;
    bool removed;
  };

  /** All that a copy holds. */
  struct Content
  {
    std::map<std::string, std::map<std::string, nlohmann::json>> kinds;
    std::list<Event> history;
    std::uint64_t revision = 1;
    std::uint64_t oldest = 0; //!< watches that begin before it are told that the history is gone
  };

  struct Waiting
  {
    std::string kind;
    std::uint64_t since;
    std::shared_ptr<HttpSession> session;
    std::unique_ptr<boost::asio::steady_timer> timer;
  };

  void Handle(const std::shared_ptr<HttpSession>& aSession, const HttpRequest& aRequest);
  void Write(const std::shared_ptr<HttpSession>& aSession,
             const HttpRequest& aRequest,
             const std::string& aKind,
             const std::string& aName);
  void List(const std::shared_ptr<HttpSession>& aSession, const std::string& aKind);
  void Watch(const std::shared_ptr<HttpSession>& aSession,
             const std::string& aKind,
             std::uint64_t aSince,
             Milliseconds aWait);
  void EndWatch(const Waiting& aWatch);
  bool AnswerWatch(const std::shared_ptr<HttpSession>& aSession,
                   const std::string& aKind,
                   std::uint64_t aSince,
                   bool aLast);
  void Add(const std::string& aKind, nlohmann::json aObject, bool aRemoved);
  void Answer(const std::shared_ptr<HttpSession>& aSession,
              unsigned aStatus,
              const nlohmann::json& aBody) const;

  boost::asio::io_context& mLoop;
  Content mContent;
  Content mCopy;
  std::list<std::shared_ptr<Waiting>> mWaiting;
  std::uint64_t mEpoch = 1;
  std::uint64_t mCalls = 0;
  Fault mFault = Fault::kNone;
  HttpListener mListener;
  const bool mListening;
};

} // namespace mustardwinch::soak
