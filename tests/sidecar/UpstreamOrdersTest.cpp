#include "UpstreamOrders.h"

#include <doctest/doctest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

using namespace mustardwinch;
using namespace mustardwinch::test;

namespace {

/** Listens on loopback for all orders of a walk, so that they need only one port. */
class Listener
{
public:
  explicit Listener(int aReceiveBytes)
    : mFd(::socket(AF_INET, SOCK_STREAM, 0))
  {
    constexpr int kBacklog = 16;
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t n = sizeof(name);
    auto* const plain = reinterpret_cast<sockaddr*>(&name);
    if (aReceiveBytes != 0) {
      REQUIRE(::setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes)) == 0);
    }
    REQUIRE(::bind(mFd, plain, n) == 0);
    REQUIRE(::getsockname(mFd, plain, &n) == 0);
    REQUIRE(::listen(mFd, kBacklog) == 0);
    mAddress = { INADDR_LOOPBACK, ntohs(name.sin_port) };
  }
  ~Listener() { ::close(mFd); }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /** Another descriptor of the same listener, for an order to close. */
  int Copy() const { return ::dup(mFd); }
  const Address& At() const { return mAddress; }

private:
  const int mFd;
  Address mAddress;
};

/** More than the kernel takes, whose limit for one socket is 4 MiB; else the write would end. */
constexpr std::size_t kUploadBytes = 5U << 20;

/** Of an upstream that stops reading; far less than an upload. */
constexpr int kReceiveBytes = 65'536;

/** Walks all orders of up to a number of steps. Each is run from its beginning. */
class Walk
{
public:
  Walk(std::vector<OrderStep> aMenu, std::size_t aDepth, const OrderSetup& aSetup)
    : mMenu(std::move(aMenu))
    , mDepth(aDepth)
    , mSetup(aSetup)
    , mListener(aSetup.upstreamReadsAll ? 0 : kReceiveBytes)
  {
  }

  void Run()
  {
    const auto begin = std::chrono::steady_clock::now();
    do {
      RunOrder();
    } while (ChooseNext());
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - begin;
    std::string text;
    for (const auto& [complaint, count] : mCounts) {
      text += "\n  " + std::to_string(count) + " x " + complaint +
              ", first by: " + mExamples.at(complaint);
    }
    MESSAGE(mOrders << " orders of up to " << mDepth << " steps in " << took.count() << " s, "
                    << mFailed << " failed, " << mDiverged << " diverged" << text);
  }

  std::size_t Orders() const { return mOrders; }
  std::size_t Failed() const { return mFailed; }
  std::size_t Diverged() const { return mDiverged; }

private:
  void RunOrder()
  {
    OrderRun run(mSetup, mListener.Copy(), mListener.At());
    std::string name;
    mWidths.clear();
    while (mWidths.size() < mDepth) {
      std::vector<const OrderStep*> possible;
      for (const OrderStep& it : mMenu) {
        if (run.May(it)) {
          possible.push_back(&it);
        }
      }
      const std::size_t at = mWidths.size();
      if (at == mChoices.size()) {
        mChoices.push_back(0);
      }
      mWidths.push_back(possible.size() + 1); // the last choice ends the order
      if (mChoices[at] >= possible.size()) {
        mDiverged += mChoices[at] > possible.size() ? 1 : 0;
        break;
      }
      const OrderStep& step = *possible[mChoices[at]];
      name += (name.empty() ? "" : ", ") +
              std::visit([](const auto& aStep) { return aStep.Name(); }, step);
      run.Take(step);
    }
    mChoices.resize(mWidths.size());
    Count(name, run.End());
  }

  void Count(const std::string& aName, const std::vector<std::string>& aComplaints)
  {
    ++mOrders;
    mFailed += aComplaints.empty() ? 0 : 1;
    for (const std::string& it : aComplaints) {
      ++mCounts[it];
      mExamples.emplace(it, aName);
    }
  }

  bool ChooseNext()
  {
    while (!mChoices.empty() && mChoices.back() + 1 >= mWidths[mChoices.size() - 1]) {
      mChoices.pop_back();
    }
    if (mChoices.empty()) {
      return false;
    }
    ++mChoices.back();
    return true;
  }

  const std::vector<OrderStep> mMenu;
  const std::size_t mDepth;
  const OrderSetup mSetup;
  const Listener mListener;
  std::vector<std::size_t> mChoices; //!< of the present order, by step
  std::vector<std::size_t> mWidths;  //!< how many choices each step had
  std::size_t mOrders = 0;
  std::size_t mFailed = 0;
  std::size_t mDiverged = 0; //!< orders whose beginning went otherwise than before
  std::map<std::string, std::size_t> mCounts;
  std::map<std::string, std::string> mExamples;
};

/** @param aLeast fewer orders would mean that steps are not possible that should be */
void CheckAll(const std::vector<OrderStep>& aMenu,
              std::size_t aDepth,
              const OrderSetup& aSetup,
              std::size_t aLeast)
{
  Walk walk(aMenu, aDepth, aSetup);
  walk.Run();
  CHECK(walk.Orders() >= aLeast);
  CHECK(walk.Failed() == 0);
  CHECK(walk.Diverged() == 0);
}

const std::vector<OrderStep> kWholeAnswers{ Submit{ "q-1" },
                                            Submit{ "q-2" },
                                            Answer{ &kSuccess },
                                            Answer{ &kNamelessSuccess },
                                            Answer{ &kFailure },
                                            Answer{ &kRejection },
                                            Answer{ &kNamelessRejection },
                                            Answer{ &kRunAnd429 },
                                            Answer{ &kNamelessRunAnd503 },
                                            Answer{ &kRunAnd421 },
                                            Answer{ &kOtherInstance },
                                            LateCopy{ false },
                                            LateCopy{ true },
                                            LateOther{ &kRejection },
                                            LateOther{ &kEndlessSuccess },
                                            Close{},
                                            Reset{} };

const std::vector<OrderStep> kPieces{ Submit{ "q-1" },
                                      Submit{ "q-2" },
                                      Cancel{},
                                      Stop{},
                                      Begin{ &kSuccess },
                                      Begin{ &kChunkedSuccess },
                                      Begin{ &kRejection },
                                      Begin{ &kEndlessRejection },
                                      Piece{},
                                      Rest{},
                                      Close{},
                                      Reset{} };

const std::vector<OrderStep> kEndless{
  Submit{ "q-1" }, Submit{ "q-2" }, Cancel{}, Stop{}, Begin{ &kEndlessSuccess },
  Piece{},         Rest{},          Close{},  Reset{}
};

const std::vector<OrderStep> kUploads{ Submit{ "q-1" },
                                       Submit{ "q-2" },
                                       Cancel{},
                                       ReadAll{},
                                       Answer{ &kSuccess },
                                       Answer{ &kEndlessSuccess },
                                       Answer{ &kRejection },
                                       Begin{ &kChunkedSuccess },
                                       Rest{},
                                       LateCopy{ false },
                                       Close{},
                                       Reset{} };

} // namespace

TEST_CASE("Upstream connection, all orders of whole answers and late copies, no false promise")
{
  CheckAll(kWholeAnswers, 5, {}, 9'000);
}

TEST_CASE("Upstream connection, all orders of pieces of answers, no success that is not whole")
{
  CheckAll(kPieces, 5, {}, 4'000);
}

// Its body is what came before the orderly end of the connection; a reset is no end.
TEST_CASE("Upstream connection, all orders of an answer without a length, no success that is cut")
{
  CheckAll(kEndless, 5, {}, 900);
}

TEST_CASE("Upstream connection, all orders with an idempotent request, each call ends once")
{
  OrderSetup setup;
  setup.firstIsIdempotent = true;
  CheckAll(kPieces, 4, setup, 600);
}

TEST_CASE("Upstream connection, all orders during an upload, no success that is not whole")
{
  OrderSetup setup;
  setup.requestBytes = kUploadBytes;
  setup.upstreamReadsAll = false;
  CheckAll(kUploads, 4, setup, 600);
}
