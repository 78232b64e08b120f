package io.pathdeck.fleet.gateway;

/**
 * How long an engine may be silent before a request that waits there is offered to another one.
 * Pure; times in milliseconds.
 *
 * <p>The limit follows how long requests of this gateway have waited of late at all engines. A
 * single dark engine is left after the shortest limit. When all engines are crowded, a request that
 * gave its place in a queue up would only take another one further back, and its prompt would be
 * read twice: sending again would keep the overload up.
 */
final class SilenceTimeout {
  /** How many usual waits an engine may be silent for: few requests wait four times the mean. */
  private static final double MEAN_WAIT_MULTIPLE = 4;

  /** How much a new wait counts: the mean follows some twenty requests. */
  private static final double SMOOTHING_FACTOR = 0.05;

  private final ForwardingSettings settings;
  private double meanWaitMs;

  SilenceTimeout(ForwardingSettings settings) {
    this.settings = settings;
  }

  /** A request got its first bytes after {@code waitMs} beyond the reading of its prompt. */
  void onFirstBytes(long waitMs) {
    meanWaitMs += (waitMs - meanWaitMs) * SMOOTHING_FACTOR;
  }

  /** A request was given up after {@code silentMs}; it would have waited longer. */
  void onTimeout(long silentMs) {
    if (silentMs > meanWaitMs) {
      onFirstBytes(silentMs);
    }
  }

  /** The limit for a request with a prompt of so many tokens. */
  long timeoutMs(long promptTokens) {
    long promptMs = promptTokens * settings.silenceTimeoutPerThousandTokensMs() / 1_000;
    return Math.max(settings.minSilenceTimeoutMs(), Math.round(MEAN_WAIT_MULTIPLE * meanWaitMs))
        + promptMs;
  }
}
