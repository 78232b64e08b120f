package io.pathdeck.fleet.gateway;

/**
 * Times and limits of forwarding.
 *
 * @param silenceMs how long an engine with calls under way may send nothing, at least, before it is
 *     suspected
 * @param silencePerThousandTokensMs how much longer for each thousand tokens of a prompt
 * @param refusedRetryAfterMs when a refused caller is told to come back
 * @param answerMarginMs how long before its deadline a request gets its final answer
 * @param maxSends the most engines that one request is offered to, whether or not they run it
 * @param tokensReadPerMs about how many prompt tokens an engine reads in a millisecond
 */
record ForwardingSettings(
    long silenceMs,
    long silencePerThousandTokensMs,
    long refusedRetryAfterMs,
    long answerMarginMs,
    int maxSends,
    long tokensReadPerMs) {
  static final ForwardingSettings DEFAULT = new ForwardingSettings(450, 25, 200, 15, 5, 40);
}
