package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.eligibility.Eligibility;
import java.util.Map;
import java.util.Set;

/**
 * Why no engine of its service may get a request, and when its caller may come back.
 *
 * @param reason told to the caller
 * @param retryAfterMs the {@code Retry-After} of a request that has not run
 */
record NoEligibleEngine(String reason, long retryAfterMs) {
  /** Evacuations and configurations last longer than engines are full or restarting. */
  static final long LASTING_RETRY_AFTER_MS = 1_000;

  /**
   * Decides by the engines of the service.
   *
   * @param counts the number of engines by their eligibility for the request
   * @param usualRetryAfterMs for engines that may soon get requests again
   */
  static NoEligibleEngine of(Map<Eligibility, Integer> counts, long usualRetryAfterMs) {
    if (counts.keySet().equals(Set.of(Eligibility.OTHER_SOFTWARE_VERSION))) {
      return new NoEligibleEngine(
          "no engine of the software version that began the stream", LASTING_RETRY_AFTER_MS);
    }
    if (counts.containsKey(Eligibility.SOFTWARE_VERSION_NOT_SETTLED)) {
      return new NoEligibleEngine("the engines left have just joined", usualRetryAfterMs);
    }
    if (counts.containsKey(Eligibility.COLD_LIMIT_REACHED)) {
      return new NoEligibleEngine("the engines left are cold", usualRetryAfterMs);
    }
    boolean someMayReturn =
        counts.isEmpty()
            || counts.containsKey(Eligibility.ALREADY_TRIED)
            || counts.containsKey(Eligibility.OUT_OF_SERVICE);
    long retryAfterMs = someMayReturn ? usualRetryAfterMs : LASTING_RETRY_AFTER_MS;
    if (counts.containsKey(Eligibility.ZONE_EVACUATED)) {
      return new NoEligibleEngine("no engine left outside evacuated zones", retryAfterMs);
    }
    if (counts.containsKey(Eligibility.REGION_NOT_ALLOWED)) {
      return new NoEligibleEngine("no engine left in the allowed regions", retryAfterMs);
    }
    return new NoEligibleEngine("no engine left", retryAfterMs);
  }
}
