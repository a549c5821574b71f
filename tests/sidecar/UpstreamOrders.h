#pragma once

#include "OrderedUpstream.h"
#include "platform/PlatformAdapter.h"
#include "sidecar/Gate.h"

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace mustardwinch::test {

// Steps of an order. "May" says in which states a step is possible, see OrderRun.

struct Submit
{
  const char* id;
  std::string Name() const { return std::string("submit ") + id; }
};

struct Cancel //!< the oldest call that has not ended
{
  std::string Name() const { return "cancel"; }
};

struct Stop
{
  std::string Name() const { return "stop"; }
};

struct ReadAll //!< of a request of which the upstream has read the head only
{
  std::string Name() const { return "read all"; }
};

struct Answer //!< whole; the connection stays open
{
  const AnswerForm* form;
  std::string Name() const { return form->name; }
};

struct Begin //!< first piece of an answer
{
  const AnswerForm* form;
  std::string Name() const { return std::string("begin ") + form->name; }
};

struct Piece
{
  std::string Name() const { return "piece"; }
};

struct Rest //!< all pieces that are left
{
  std::string Name() const { return "rest"; }
};

struct LateCopy //!< of an answer that was written on the connection
{
  bool first; //!< the first of several, otherwise the last one
  std::string Name() const { return first ? "late copy of the first" : "late copy"; }
};

struct LateOther //!< an answer to a request that this gate does not know
{
  const AnswerForm* form;
  std::string Name() const { return std::string("late other ") + form->name; }
};

struct Close
{
  std::string Name() const { return "close"; }
};

struct Reset
{
  std::string Name() const { return "reset"; }
};

using OrderStep = std::variant<Submit,
                               Cancel,
                               Stop,
                               ReadAll,
                               Answer,
                               Begin,
                               Piece,
                               Rest,
                               LateCopy,
                               LateOther,
                               Close,
                               Reset>;

/** What all orders of a walk have in common. */
struct OrderSetup
{
  std::size_t requestBytes = 1;
  bool upstreamReadsAll = true;
  bool firstIsIdempotent = false; //!< "q-1"; the other requests are idempotent
};

/** One order of steps: a gate with one slot beside an upstream. The test acts only when the loop
 * has nothing more to do. */
class OrderRun
{
public:
  OrderRun(const OrderSetup& aSetup, int aListener, const Address& aAddress)
    : mSetup(aSetup)
    , mUpstream(mLoop, aListener, aSetup.upstreamReadsAll, [this](const auto& aText) {
      Complain(aText);
    })
  {
    mGate.Announce({ "i-0", "booking", aAddress, "a", 1, false, 1'000, 1 });
  }

  bool May(const OrderStep& aStep)
  {
    return std::visit([this](const auto& aOne) { return MayDo(aOne); }, aStep);
  }

  void Take(const OrderStep& aStep)
  {
    std::visit([this](const auto& aOne) { Do(aOne); }, aStep);
    Settle();
  }

  /** Ends all that is open and checks what came of the calls. */
  std::vector<std::string> End()
  {
    const auto until = std::chrono::steady_clock::now() + Seconds(1);
    do {
      mUpstream.ResetAll();
      Settle();
    } while ((mGate.Running() != 0 || mGate.Queued() != 0) &&
             std::chrono::steady_clock::now() < until);
    if (mGate.Running() != 0 || mGate.Queued() != 0) {
      Complain("a slot or a place in the queue is not given back");
    }
    for (const Call& it : mCalls) {
      CheckCall(it);
    }
    return mComplaints;
  }

private:
  struct Call
  {
    int number = 0;
    std::string id;
    Gate::Ticket ticket = 0;
    int ends = 0;
    bool dropped = false; //!< cancelled while it waited
    GateCallResult result;

    bool IsOpen() const { return ends == 0 && !dropped; }
  };

  static Gate::Delegate MakeDelegate()
  {
    return { [](const std::string&) { return 0.0; },
             [](const std::string&) { return false; },
             [](bool) {} };
  }

  void Complain(const std::string& aText) { mComplaints.push_back(aText); }

  /** Runs the loop until nothing is ready any more. Loopback delivers within the call that sends;
   * the yields are for a busy machine. */
  void Settle()
  {
    constexpr int kIdleRounds = 3;
    for (int idle = 0; idle < kIdleRounds;) {
      std::size_t ready = mLoop.poll();
      ready += mUpstream.Pump() ? 1 : 0;
      idle = ready == 0 ? idle + 1 : 0;
      if (ready == 0) {
        std::this_thread::yield();
      }
    }
  }

  Call* OldestOpen()
  {
    const auto it =
      std::find_if(mCalls.begin(), mCalls.end(), [](const Call& aCall) { return aCall.IsOpen(); });
    return it == mCalls.end() ? nullptr : &*it;
  }

  bool IsUnanswered() { return mUpstream.Current() != nullptr && mUpstream.Current()->unanswered; }

  bool HasPieces()
  {
    return mUpstream.Current() != nullptr && !mUpstream.Current()->pieces.empty();
  }

  /** A request is repeated only after an end that is no success. */
  bool MayDo(const Submit& aStep) const
  {
    return mCalls.size() < kMaxCalls &&
           std::none_of(mCalls.begin(), mCalls.end(), [&](const Call& aCall) {
             const bool succeeded = aCall.ends != 0 &&
                                    aCall.result.outcome == CallOutcome::kAnswered &&
                                    aCall.result.answer.status < 300;
             return aCall.id == aStep.id && (aCall.IsOpen() || succeeded);
           });
  }
  bool MayDo(const Cancel&) { return OldestOpen() != nullptr; }
  bool MayDo(const Stop&) const { return !mStopped; }
  bool MayDo(const ReadAll&)
  {
    return mUpstream.Current() != nullptr && mUpstream.Current()->bodyLeft != 0 &&
           !mUpstream.Current()->readsAll;
  }
  bool MayDo(const Answer&) { return IsUnanswered(); }
  bool MayDo(const Begin&) { return IsUnanswered(); }
  bool MayDo(const Piece&) { return HasPieces(); }
  bool MayDo(const Rest&) { return HasPieces(); }
  bool MayDo(const LateCopy& aStep)
  {
    const UpstreamConnection* it = mUpstream.Current();
    return it != nullptr && !HasPieces() && it->earlier.size() > (aStep.first ? 1U : 0U);
  }
  bool MayDo(const LateOther&) { return IsUnanswered(); }
  bool MayDo(const Close&) { return mUpstream.Current() != nullptr; }
  bool MayDo(const Reset&) { return mUpstream.Current() != nullptr; }

  void Do(const Submit& aStep)
  {
    const std::size_t index = mCalls.size();
    const int number = static_cast<int>(index) + 1;
    GateCall call;
    call.requestId = aStep.id;
    call.service = "booking";
    call.request = { "POST",
                     "/x",
                     { { "X-Request-Id", aStep.id }, { "X-Call", std::to_string(number) } },
                     std::string(mSetup.requestBytes, 'b') };
    call.remaining = Seconds(30);
    call.latencyTarget = Seconds(30);
    call.idempotent = mSetup.firstIsIdempotent || call.requestId != "q-1";
    call.mayWait = true;
    call.lastResort = true;
    mCalls.emplace_back();
    mCalls[index].number = number;
    mCalls[index].id = aStep.id;
    mCalls[index].ticket = mGate.Submit(std::move(call), [this, index](GateCallResult aResult) {
      ++mCalls[index].ends;
      mCalls[index].result = std::move(aResult);
    });
  }

  void Do(const Cancel&)
  {
    Call* call = OldestOpen();
    const auto queued = mGate.Queued();
    mGate.Cancel(call->ticket);
    call->dropped = mGate.Queued() < queued;
  }

  void Do(const Stop&)
  {
    mStopped = true;
    mGate.StopAccepting();
  }

  void Do(const ReadAll&) { mUpstream.Current()->readsAll = true; }

  void Do(const Answer& aStep)
  {
    mUpstream.Begin(*mUpstream.Current(), *aStep.form);
    Do(Rest{});
  }

  void Do(const Begin& aStep) { mUpstream.Begin(*mUpstream.Current(), *aStep.form); }

  void Do(const Piece&) { mUpstream.WritePiece(*mUpstream.Current()); }

  void Do(const Rest&)
  {
    while (HasPieces()) {
      mUpstream.WritePiece(*mUpstream.Current());
    }
  }

  void Do(const LateCopy& aStep)
  {
    UpstreamConnection& connection = *mUpstream.Current();
    if (OldestOpen() == nullptr) {
      connection.spoiled = "after bytes that came while it was idle";
    }
    mUpstream.Write(connection,
                    aStep.first ? connection.earlier.front() : connection.earlier.back());
  }

  void Do(const LateOther& aStep)
  {
    UpstreamConnection& connection = *mUpstream.Current();
    if (aStep.form->framing == Framing::kToTheEnd) {
      connection.spoiled = "after an answer without a length";
    }
    for (const std::string& it : PiecesOf(*aStep.form, "q-other", 0)) {
      mUpstream.Write(connection, it);
    }
  }

  void Do(const Close&) { mUpstream.Close(*mUpstream.Current()); }
  void Do(const Reset&) { mUpstream.Reset(*mUpstream.Current()); }

  void CheckCall(const Call& aCall)
  {
    if (aCall.ends != (aCall.dropped ? 0 : 1)) {
      Complain("a call ended " + std::to_string(aCall.ends) + " times");
      return;
    }
    if (aCall.dropped) {
      return;
    }
    const auto it = mUpstream.Sendings().find(aCall.number);
    const Sending sending =
      it == mUpstream.Sendings().end() ? Sending{ "", false, false, false, "" } : it->second;
    const CallOutcome outcome = aCall.result.outcome;
    const bool saysNotRun = outcome == CallOutcome::kShed || outcome == CallOutcome::kRefused;
    const HttpAnswer& answer = aCall.result.answer;
    if (saysNotRun && sending.ran) {
      Complain("a request is told as not run and has run");
    }
    if (outcome != CallOutcome::kAnswered) {
      return;
    }
    const unsigned status = answer.status;
    if (sending.ran && (status == 408 || status == 421 || status == 429 || status == 503)) {
      Complain("an answer with a refusal's status, and the request has run");
    }
    if (status >= 200 && status < 300 &&
        (!sending.success || !sending.whole || answer.body != sending.body)) {
      Complain("a success that is not the whole answer to the call");
    }
  }

  static constexpr std::size_t kMaxCalls = 4;

  const OrderSetup mSetup;
  std::vector<std::string> mComplaints;
  boost::asio::io_context mLoop{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> mWork =
    boost::asio::make_work_guard(mLoop);
  Clock mClock;
  OrderedUpstream mUpstream;
  std::vector<Call> mCalls;
  bool mStopped = false;
  Gate mGate{ mLoop,
              mClock,
              platform::MakePlatformBinding(mLoop, Address{ 0x7F000001, 1 }).names,
              ColdSettings{},
              MakeDelegate() };
};

} // namespace mustardwinch::test
