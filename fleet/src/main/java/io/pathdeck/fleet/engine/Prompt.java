package io.pathdeck.fleet.engine;

import io.pathdeck.fleet.adapter.CallerRequest.PromptPart;
import java.util.List;

/**
 * Length of a prompt and of the prefix that it may share with other prompts.
 *
 * @param tokens number of tokens of the whole prompt; 0 if unknown
 * @param sharedPrefixId id of the shared prefix, which is the id of its last part; empty if there
 *     is no shared prefix
 * @param sharedPrefixTokens number of tokens of the shared prefix
 */
public record Prompt(long tokens, String sharedPrefixId, long sharedPrefixTokens) {
  /** A prompt of unknown length without a shared prefix. */
  public static final Prompt UNKNOWN = new Prompt(0, "", 0);

  /** Creates a prompt from its parts in order; all but the last one are the shared prefix. */
  public static Prompt of(long tokens, List<PromptPart> parts) {
    if (parts.size() < 2) {
      return new Prompt(tokens, "", 0);
    }
    List<PromptPart> shared = parts.subList(0, parts.size() - 1);
    long sharedTokens = shared.stream().mapToLong(PromptPart::tokens).sum();
    return new Prompt(tokens, shared.get(shared.size() - 1).id(), Math.min(tokens, sharedTokens));
  }
}
