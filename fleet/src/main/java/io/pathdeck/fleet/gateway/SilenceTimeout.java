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
  /**
   * Maximum timeout of a response that has begun, which waits in no engine's queue any more.
   * Callers leave a stream after a pause of about two seconds, and the resumed stream needs time to
   * begin.
   */
  static final long MAX_STARTED_TIMEOUT_MS = 1_000;

  /** Few requests wait four times the mean. */
  private static final double MEAN_WAIT_MULTIPLE = 4;

  /** Weight of the latest wait; the moving average spans about twenty requests. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /**
   * How long a call has received nothing.
   *
   * @param promptTokens the number of tokens of its prompt
   * @param started whether its response has begun
   * @param callMs time since the call received data or was sent
   * @param engineMs time since any call of this gateway received data from the engine
   */
  record Silence(long promptTokens, boolean started, long callMs, long engineMs) {}

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

  /** Records a timeout; a request without a response would have waited longer than that. */
  void onTimeout(Silence silence) {
    long timeoutMs = timeoutMs(silence.promptTokens());
    if (!silence.started() && timeoutMs > meanWaitMs) {
      onFirstBytes(timeoutMs);
    }
  }

  /**
   * Whether a call has been silent for too long. An engine that still serves other calls may be
   * busy, so a call there times out only if its response had begun.
   */
  boolean isExceeded(Silence silence) {
    long timeoutMs = timeoutMs(silence.promptTokens());
    if (silence.started()) {
      timeoutMs = Math.min(timeoutMs, MAX_STARTED_TIMEOUT_MS);
    }
    boolean engineSilent = silence.engineMs() > timeoutMs && silence.callMs() > timeoutMs;
    return engineSilent || (silence.started() && silence.callMs() > MAX_STARTED_TIMEOUT_MS);
  }

  /** Returns the timeout for a prompt of {@code promptTokens} tokens. */
  long timeoutMs(long promptTokens) {
    long promptMs = promptTokens * settings.silenceTimeoutPerThousandTokensMs() / 1_000;
    return Math.max(settings.minSilenceTimeoutMs(), Math.round(MEAN_WAIT_MULTIPLE * meanWaitMs))
        + promptMs;
  }
}
