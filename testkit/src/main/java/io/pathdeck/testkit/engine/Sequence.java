package io.pathdeck.testkit.engine;

import io.pathdeck.serving.engine.Priority;
import java.util.List;

/** One request on an emulated engine. */
public final class Sequence {
  /** Receives what the engine generates. */
  public interface Output {
    /** The token at {@code offset} was generated; {@code last} if it is the answer's last. */
    void onToken(Sequence sequence, int offset, boolean last);

    /** The request continues after the answer's last token: only the end is left to send. */
    void onNothingLeft(Sequence sequence);
  }

  /** Identifies the attempt. */
  public final String requestId;

  final Priority priority;
  final List<Long> prefixBlocks;
  final int promptTokens;

  /** How many tokens the whole answer has. */
  public final int answerTokens;

  final Output output;
  int nextOffset;
  int prefillRemaining;
  boolean cancelled;

  /** A request that continues after {@code resumeAfter} tokens (0: from the beginning). */
  public Sequence(
      String requestId,
      Priority priority,
      List<Long> prefixBlocks,
      int promptTokens,
      int answerTokens,
      int resumeAfter,
      Output output) {
    this.requestId = requestId;
    this.priority = priority;
    this.prefixBlocks = prefixBlocks;
    this.promptTokens = promptTokens;
    this.answerTokens = answerTokens;
    this.nextOffset = resumeAfter + 1;
    this.output = output;
  }

  /** The tokens that must be in the engine's memory before the next one can be generated. */
  int contextTokens() {
    return promptTokens + nextOffset - 1;
  }

  /** Whether it comes before batch sequences. */
  public boolean isOnline() {
    return priority == Priority.ONLINE;
  }
}
