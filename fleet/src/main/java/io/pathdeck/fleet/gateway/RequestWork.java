package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.CallerRequest;

/**
 * Estimates the cost of a request, so that tenants share engines by work and not by request count.
 */
final class RequestWork {
  /** Engines generate output tokens one by one but process prompt tokens together. */
  private static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;

  /** Also applies to requests that state no tokens. */
  private static final double MIN_OUTPUT_TOKENS = 10;

  private RequestWork() {}

  /** Returns the cost in output tokens. */
  static double of(CallerRequest.Routed request) {
    double promptWork = request.promptTokens() / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    return MIN_OUTPUT_TOKENS + promptWork + request.outputTokens();
  }
}
