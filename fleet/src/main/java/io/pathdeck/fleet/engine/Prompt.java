package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.CallerRequest.PromptPart;
import java.util.List;

/**
 * What is known of a prompt before it is sent.
 *
 * @param tokens all its tokens; 0 when not known
 * @param sharedPrefixId the last part that other prompts may share, which stands for the whole
 *     prefix up to it; empty when nothing is shared
 * @param sharedPrefixTokens the tokens of that prefix
 */
public record Prompt(long tokens, String sharedPrefixId, long sharedPrefixTokens) {
  /** A prompt of which nothing is known. */
  public static final Prompt UNKNOWN = new Prompt(0, "", 0);

  /** Reads the parts of a prompt in their order; the last one belongs to the request itself. */
  public static Prompt of(long tokens, List<PromptPart> parts) {
    if (parts.size() < 2) {
      return new Prompt(tokens, "", 0);
    }
    List<PromptPart> shared = parts.subList(0, parts.size() - 1);
    long sharedTokens = shared.stream().mapToLong(PromptPart::tokens).sum();
    return new Prompt(tokens, shared.get(shared.size() - 1).id(), Math.min(tokens, sharedTokens));
  }
}
