package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.CallerRequest;

/**
 * Estimates the cost of a request, so that tenants share engines by work and not by request count.
 */
final class RequestWork {
  /** Engines generate output tokens one by one but process prompt tokens together. */
  private static final double OUTPUT_TOKEN_COST_IN_PROMPT_TOKENS = 10;

  /** Base cost of every request, also of one that states no tokens. */
  private static final double BASE_OUTPUT_TOKENS = 10;

  private RequestWork() {}

  /** Returns the cost in output tokens. */
  static double of(CallerRequest.Routed request) {
    double promptWork = request.promptTokens() / OUTPUT_TOKEN_COST_IN_PROMPT_TOKENS;
    return BASE_OUTPUT_TOKENS + promptWork + request.outputTokens();
  }
}
