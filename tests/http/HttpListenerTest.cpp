#include "http/HttpListener.h"

#include "FreeAddress.h"
#include "http/HttpChannel.h"
#include "http/HttpText.h"

#include <doctest/doctest.h>

#include <boost/asio/post.hpp>

#include <memory>
#include <thread>

using namespace mustardwinch;

TEST_CASE("HttpListener, session is detached by its handler, the listener forgets it")
{
  boost::asio::io_context loop(1);
  Clock clock;
  HttpListener listener(
    loop, clock, [](const auto& aSession, const HttpRequest&) { aSession->Detach(); });
  const Address address = test::FreeAddress();
  REQUIRE(listener.Listen(address));

  bool ended = false;
  auto channel = std::make_shared<HttpChannel>(loop);
  channel->Connect(address, [&](const boost::system::error_code& aError) {
    REQUIRE_FALSE(aError);
    channel->Exchange(
      FormatRequest({ "GET", "/", {}, "" }, "h"), 100, false, nullptr, [&](const auto& aResult) {
        CHECK(aResult.error);
        ended = true;
      });
  });
  loop.run_for(Seconds(1)); // longer than the pause between two sweeps

  CHECK(ended);
  CHECK(listener.Count() == 0);
}

TEST_CASE("HttpListener, ends while its sweep is about to run, nothing of it is touched")
{
  boost::asio::io_context loop(1);
  Clock clock;
  auto listener =
    std::make_unique<HttpListener>(loop, clock, [](const auto&, const HttpRequest&) {});
  REQUIRE(listener->Listen(test::FreeAddress()));
  // The timer of the sweep and this one are due together; this one runs first.
  boost::asio::steady_timer end(loop, Milliseconds(400));
  end.async_wait([&](const auto&) {
    std::this_thread::sleep_for(Milliseconds(300));
    boost::asio::post(loop, [&] { listener.reset(); });
  });
  loop.run_for(Seconds(1));
  CHECK(listener == nullptr);
}

// A connection that waited for memory was closed at once instead of being read later.
TEST_CASE("HttpListener, memory used up by a stalled body, another body waits and is served")
{
  boost::asio::io_context loop(1);
  Clock clock;
  std::size_t served = 0;
  const ListenerLimits limits{ 10, 1U << 20, std::make_shared<MemoryBudget>(100'000, 150'000) };
  HttpListener listener(
    loop,
    clock,
    [&](const auto& aSession, const HttpRequest& aRequest) {
      served += aRequest.body.size();
      aSession->Answer(MakeTextAnswer(200, "ok"));
    },
    limits);
  const Address address = test::FreeAddress();
  REQUIRE(listener.Listen(address));
  const std::string body(100'000, 'x');
  const std::string whole = FormatRequest({ "POST", "/", {}, body }, "h");
  auto stalled = std::make_shared<HttpChannel>(loop);
  stalled->Connect(address, [&](const boost::system::error_code&) {
    stalled->Exchange(
      whole.substr(0, whole.size() - 10), 100, false, nullptr, [](const HttpChannelResult&) {});
  });
  loop.run_for(Milliseconds(100));
  unsigned status = 0;
  auto waiting = std::make_shared<HttpChannel>(loop);
  waiting->Connect(address, [&](const boost::system::error_code&) {
    waiting->Exchange(whole, 100, false, nullptr, [&](const HttpChannelResult& aResult) {
      status = aResult.answer.status;
    });
  });
  loop.run_for(Seconds(3));
  CHECK(status == 200);
  CHECK(served == body.size());
}
