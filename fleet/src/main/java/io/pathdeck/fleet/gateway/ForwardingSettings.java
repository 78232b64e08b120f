package io.pathdeck.fleet.gateway;

/**
 * Timeouts and limits of forwarding.
 *
 * @param minSilenceTimeoutMs the minimum time without data after which a request is retried at
 *     another engine
 * @param silenceTimeoutPerThousandTokensMs added to the timeout per thousand prompt tokens
 * @param refusedRetryAfterMs the {@code Retry-After} of a request that no engine has run
 * @param responseMarginMs how long before its deadline a request gets its final response
 * @param maxSends the maximum number of engines that a request is sent to, whether or not they run
 *     it; its route may allow more
 * @param prefillTokensPerMs the approximate number of prompt tokens that an engine processes per
 *     millisecond
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
