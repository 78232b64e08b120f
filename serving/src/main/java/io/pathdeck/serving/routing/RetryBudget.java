package io.pathdeck.serving.routing;

/** Limits retries to a fraction of requests to avoid overloading failing engines. */
final class RetryBudget {
  private final double ratio;
  private final double burst;
  private double tokens;

  RetryBudget(double ratio, double burst) {
    this.ratio = ratio;
    this.burst = burst;
    this.tokens = burst;
  }

  void onRequest() {
    tokens = Math.min(burst, tokens + ratio);
  }

  boolean tryRetry() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
