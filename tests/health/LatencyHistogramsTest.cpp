#include "health/LatencyHistograms.h"

#include <doctest/doctest.h>

using namespace mustardwinch;

TEST_CASE("LatencyHistograms, values of two organisations, separate series")
{
  LatencyHistograms histograms("mw_test_seconds");
  histograms.Add("a", "booking", Milliseconds(1));
  histograms.Add("a", "booking", Seconds(100));
  histograms.Add("b\"", "booking", Duration(0));
  const std::string text = histograms.Text();
  const auto has = [&](const char* aLine) { return text.find(aLine) != std::string::npos; };
  CHECK(has("mw_test_seconds_count{organisation=\"a\",class=\"booking\"} 2\n"));
  CHECK(has("mw_test_seconds_bucket{organisation=\"a\",class=\"booking\",le=\"+Inf\"} 2\n"));
  CHECK(has("mw_test_seconds_count{organisation=\"b\\\"\",class=\"booking\"} 1\n"));
}

TEST_CASE("LatencyHistograms, too many organisations, the rest share one series")
{
  LatencyHistograms histograms("mw_test_seconds");
  for (int i = 0; i < 1000; ++i) {
    histograms.Add("o" + std::to_string(i), "booking", Milliseconds(1));
  }
  CHECK(histograms.Text().find("organisation=\"other\",class=\"booking\"} 744\n") !=
        std::string::npos);
}
