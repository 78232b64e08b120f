package io.pathdeck.protocol.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * One item of a batch job.
 *
 * @param headers what is sent to the engine beside the body
 * @param tokens the tokens of the prompt and the most of the output
 * @param outputTokens the most tokens of the output; 0 when not stated
 */
public record BatchItem(
    String id,
    String path,
    Map<String, String> headers,
    byte[] body,
    long tokens,
    long outputTokens) {
  public BatchItem {
    headers = new HashMap<>(headers);
  }

  /** Returns this item without what an engine is sent. */
  public BatchItem withoutContent() {
    return new BatchItem(id, path, Map.of(), new byte[0], tokens, outputTokens);
  }
}
