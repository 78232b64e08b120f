package io.pathdeck.fleet.gateway;

/**
 * Adaptive timeout after which a request at a silent engine is retried at another one. Does no I/O
 * and reads no clock.
 *
 * <p>The timeout follows the recent mean wait of this gateway's requests at all engines. With a
 * single silent engine it stays near its minimum. When all engines are overloaded it grows: a retry
 * would only queue behind other requests and have its prompt processed twice, which would sustain
 * the overload.
 */
final class SilenceTimeout {
  /** Few requests wait four times the mean. */
  private static final double MEAN_WAIT_MULTIPLE = 4;

  /** Weight of the latest wait; the moving average spans about twenty requests. */
  private static final double SMOOTHING_FACTOR = 0.05;

  private final ForwardingSettings settings;
  private double meanWaitMs;

  SilenceTimeout(ForwardingSettings settings) {
    this.settings = settings;
  }

  /**
   * Records the wait for a response to start, excluding the estimated time to process the prompt.
   */
  void onFirstBytes(long waitMs) {
    meanWaitMs += (waitMs - meanWaitMs) * SMOOTHING_FACTOR;
  }

  /** Records a timeout; the request would have waited longer than {@code silentMs}. */
  void onTimeout(long silentMs) {
    if (silentMs > meanWaitMs) {
      onFirstBytes(silentMs);
    }
  }

  /** Returns the timeout for a prompt of {@code promptTokens} tokens. */
  long timeoutMs(long promptTokens) {
    long promptMs = promptTokens * settings.silenceTimeoutPerThousandTokensMs() / 1_000;
    return Math.max(settings.minSilenceTimeoutMs(), Math.round(MEAN_WAIT_MULTIPLE * meanWaitMs))
        + promptMs;
  }
}
