#include "health/LatencyHistograms.h"

#include <algorithm>
#include <sstream>

namespace mustardwinch {
namespace {

constexpr std::size_t kMaxSeries = 256;
constexpr unsigned kBuckets = 16;
constexpr double kMinSeconds = 0.0005;
constexpr double kMaxSeconds = 32.768;
const char* const kOther = "other";

double ToSeconds(Duration aValue)
{
  return std::chrono::duration<double>(aValue).count();
}

/** Escapes quotes and backslashes for a Prometheus label value; a line feed becomes a space. */
std::string EscapeLabelValue(const std::string& aValue)
{
  std::string text;
  for (char it : aValue) {
    if (it == '"' || it == '\\') {
      text += '\\';
    }
    text += it == '\n' ? ' ' : it;
  }
  return text;
}

} // namespace

LatencyHistograms::LatencyHistograms(std::string aMetric)
  : mMetric(std::move(aMetric))
{
}

LatencyHistograms::Histogram LatencyHistograms::MakeHistogram()
{
  return boost::histogram::make_histogram(Axis(kBuckets, kMinSeconds, kMaxSeconds));
}

void LatencyHistograms::Add(const std::string& aOrganisation,
                            const std::string& aClass,
                            Duration aValue)
{
  std::lock_guard lock(mMutex);
  auto it = mSeries.find({ aOrganisation, aClass });
  if (it == mSeries.end()) {
    const bool full = mSeries.size() >= kMaxSeries;
    const std::pair<std::string, std::string> key{ full ? kOther : aOrganisation, aClass };
    it = mSeries.try_emplace(key, Series{ MakeHistogram() }).first;
  }
  Series& series = it->second;
  const double seconds = ToSeconds(aValue);
  series.histogram(std::max(seconds, kMinSeconds / 2));
  series.sum += seconds;
  ++series.count;
}

std::string LatencyHistograms::Text() const
{
  std::lock_guard lock(mMutex);
  std::ostringstream out;
  out << "# TYPE " << mMetric << " histogram\n";
  for (const auto& [key, series] : mSeries) {
    const std::string labels = "organisation=\"" + EscapeLabelValue(key.first) + "\",class=\"" +
                               EscapeLabelValue(key.second) + "\"";
    const Axis& axis = series.histogram.axis();
    double cumulative = series.histogram.at(-1);
    for (int i = 0; i < axis.size(); ++i) {
      cumulative += series.histogram.at(i);
      out << mMetric << "_bucket{" << labels << ",le=\"" << axis.bin(i).upper() << "\"} "
          << cumulative << '\n';
    }
    out << mMetric << "_bucket{" << labels << ",le=\"+Inf\"} " << series.count << '\n';
    out << mMetric << "_sum{" << labels << "} " << series.sum << '\n';
    out << mMetric << "_count{" << labels << "} " << series.count << '\n';
  }
  return out.str();
}

} // namespace mustardwinch
