package io.pathdeck.fleet.gateway;

/**
 * Timeouts and limits of forwarding.
 *
 * @param minSilenceTimeoutMs the least time without data after which an engine with calls in
 *     progress is suspected
 * @param silenceTimeoutPerThousandTokensMs added to it per thousand prompt tokens
 * @param refusedRetryAfterMs the {@code Retry-After} of a refused request
 * @param responseMarginMs how long before its deadline a request gets its final response
 * @param maxSends the most engines that a request is sent to, whether or not they run it
 * @param prefillTokensPerMs the approximate prompt tokens that an engine processes per millisecond
 */
record ForwardingSettings(
    long minSilenceTimeoutMs,
    long silenceTimeoutPerThousandTokensMs,
    long refusedRetryAfterMs,
    long responseMarginMs,
    int maxSends,
    long prefillTokensPerMs) {
  static final ForwardingSettings DEFAULT = new ForwardingSettings(450, 25, 200, 15, 5, 40);
}
