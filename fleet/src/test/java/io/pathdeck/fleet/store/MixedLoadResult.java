package io.pathdeck.fleet.store;

/** Counts over one or more runs of {@link MixedLoadSimulation}. */
record MixedLoadResult(
    int requests,
    int lateRequests,
    int peakRequests,
    int latePeakRequests,
    int items,
    int lateItems) {
  static final MixedLoadResult NONE = new MixedLoadResult(0, 0, 0, 0, 0, 0);

  MixedLoadResult plus(MixedLoadResult other) {
    return new MixedLoadResult(
        requests + other.requests,
        lateRequests + other.lateRequests,
        peakRequests + other.peakRequests,
        latePeakRequests + other.latePeakRequests,
        items + other.items,
        lateItems + other.lateItems);
  }

  double latePeakRequestShare() {
    return latePeakRequests / (double) peakRequests;
  }

  double lateItemShare() {
    return lateItems / (double) items;
  }
}
