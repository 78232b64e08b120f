package io.pathdeck.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;
import io.pathdeck.state.PartitionIds;

/**
 * The text that emulated engines generate: a function of the prompt alone, so that anyone can tell
 * whether an answer is whole and belongs to its request.
 */
public final class EmulatedText {
  private static final int DEFAULT_TOKENS = 32;
  private static final int CHARACTERS_PER_TOKEN = 4;
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private EmulatedText() {}

  /** The seed of a request's answer. */
  public static long seed(JsonNode body) {
    return PartitionIds.hash(promptText(body));
  }

  /** The prompt of a request as one text. */
  public static String promptText(JsonNode body) {
    JsonNode prompt = body.has("messages") ? body.path("messages") : body.path("prompt");
    return prompt.isTextual() ? prompt.textValue() : prompt.toString();
  }

  /** The number of tokens of a prompt. */
  public static int promptTokens(JsonNode body) {
    return Math.max(1, promptText(body).length() / CHARACTERS_PER_TOKEN);
  }

  /** The number of tokens of the answer. */
  public static int answerTokens(JsonNode body) {
    return body.path("max_tokens").asInt(DEFAULT_TOKENS);
  }

  /** The token at {@code offset}, from 1. */
  public static String token(long seed, int offset) {
    long mixed = (seed + offset * GOLDEN_GAMMA) * 0xbf58476d1ce4e5b9L;
    mixed ^= mixed >>> 31;
    return Long.toString(Math.floorMod(mixed, 1_679_616L), 36) + " ";
  }

  /** The text of a batch result line, or nothing when it holds no answer. */
  public static String ofResult(JsonNode result) {
    return ofCompletion(result.path("response").path("body"));
  }

  /** The text of a chat completion. */
  public static String ofCompletion(JsonNode completion) {
    return completion.path("choices").path(0).path("message").path("content").asText();
  }

  /** The whole answer. */
  public static String answer(JsonNode body) {
    long seed = seed(body);
    int tokens = answerTokens(body);
    StringBuilder text = new StringBuilder();
    for (int offset = 1; offset <= tokens; offset++) {
      text.append(token(seed, offset));
    }
    return text.toString();
  }
}
