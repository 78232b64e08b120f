package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.CallerRequest;

/** How much of an engine a request needs, so that tenants share engines and not mere counts. */
final class RequestWork {
  /** An engine makes output tokens one by one, and reads those of a prompt together. */
  private static final double PROMPT_TOKENS_PER_OUTPUT_TOKEN = 10;

  /** Holds also for a request that states no tokens. */
  private static final double MIN_OUTPUT_TOKENS = 10;

  private RequestWork() {}

  /** In output tokens. */
  static double of(CallerRequest.Routed request) {
    double promptWork = request.promptTokens() / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
    return MIN_OUTPUT_TOKENS + promptWork + request.outputTokens();
  }
}
