#pragma once

namespace mustardwinch {

/**
 * CUSUM change detector on a sequence of good and bad events: detects that the share of bad events
 * has risen from a baseline to an anomalous level. The mean number of events before a false alarm
 * is at least e^threshold, independent of the traffic rate. Not thread safe.
 */
class Cusum
{
public:
  /**
   * @param aBaselineShare normal share of bad events, above 0
   * @param aAnomalousShare share to detect, above aBaselineShare and below 1
   */
  void Add(bool aBad, double aBaselineShare, double aAnomalousShare);

  void Reset() { mSum = 0; }

  double Sum() const { return mSum; }

private:
  double mSum = 0; //!< log likelihood ratio, clamped to 0 or more
};

} // namespace mustardwinch
