package io.pathdeck.fleet.gateway;

/**
 * Times and limits of forwarding.
 *
 * @param minSilenceTimeoutMs how long an engine with calls under way may send nothing, at least,
 *     before it is suspected
 * @param silenceTimeoutPerThousandTokensMs how much longer for each thousand tokens of a prompt
 * @param refusedRetryAfterMs when a refused caller is told to come back
 * @param responseMarginMs how long before its deadline a request gets its final answer
 * @param maxSends the most engines that one request is offered to, whether or not they run it
 * @param prefillTokensPerMs about how many prompt tokens an engine reads in a millisecond
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
