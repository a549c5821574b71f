#pragma once

#include "limits/GrantCache.h"
#include "limits/RateCounters.h"
#include "limits/RateDecision.h"
#include "mustardwinch/Clock.h"
#include "mustardwinch/Organisation.h"
#include "mustardwinch/Result.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mustardwinch {

/**
 * Admission control at an ingress: decides whether an organisation may run one more request. Called
 * from the threads that serve callers; may block for a round trip to the owner of the
 * organisation's rate, but never past the deadline. Thread-safe.
 *
 * Lock order: mMutex is taken last and never held while a message is sent.
 */
class RateLimiter
{
public:
  using ReplyFn = std::function<void(Result<GrantReply>)>;
  /** Sends a request to the owner. Calls back once, from any thread, possibly synchronously. */
  using SendRequestFn = std::function<void(const GrantRequest&, ReplyFn)>;
  /** Sends a settlement to the owner, best effort. */
  using SettleFn = std::function<void(const GrantSettlement&)>;

  /** Admits every request; for use until the node has a RateAgent. */
  RateLimiter();

  RateLimiter(const Clock& aClock,
              const GrantCache::Options& aOptions,
              SendRequestFn aSendRequest,
              SettleFn aSettle);

  /**
   * Spends a token. Returns kOk, kRateExceeded if every owner of the organisation's rate is out of
   * tokens, or kRateUnconfirmed if an owner could not be asked in time.
   */
  RateDecision Admit(const Organisation& aOrganisation, TimePoint aDeadline);

  /** A request that is waiting for a token; opaque, for Poll(). */
  class Waiter;

  /** Non-blocking Admit(): returns a decision, or a waiter to poll until there is one. */
  std::variant<RateDecision, std::shared_ptr<Waiter>> Begin(const Organisation& aOrganisation,
                                                            TimePoint aDeadline);
  std::optional<RateDecision> Poll(Waiter& aWaiter);

  /** Returns idle tokens and drops the state of idle organisations. Call about every 50 ms. */
  void RunMaintenance();

  RateCounters Counters() const;

private:
  struct State
  {
    explicit State(GrantCache aCache)
      : cache(std::move(aCache))
    {
    }

    GrantCache cache;
    unsigned waiting = 0;
    unsigned activeRequests = 0; //!< requests between Begin() and their decision
    std::condition_variable changed;
  };

  using Lock = std::unique_lock<std::mutex>;

  std::shared_ptr<State> Find(const Organisation& aOrganisation);
  std::optional<RateDecision> TryDecide(Lock& aLock, Waiter& aWaiter);
  std::optional<ResultCode> DecisionCode(Waiter& aWaiter);
  bool SendPending(Lock& aLock, const std::shared_ptr<State>& aState);
  void OnAnswer(const std::shared_ptr<State>& aState,
                std::uint64_t aSequence,
                const Result<GrantReply>& aReply);
  RateDecision Count(ResultCode aCode);

  const Clock& mClock;
  GrantCache::Options mOptions;
  SendRequestFn mSendRequest;
  SettleFn mSendSettlement;
  mutable std::mutex mMutex;
  std::uint64_t mSequence = 0; //!< last request number used, over all organisations
  std::unordered_map<std::string, std::shared_ptr<State>> mStates;
  RateCounters mCounters;
};

} // namespace mustardwinch
