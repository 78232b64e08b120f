package io.pathdeck.testkit.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;

/** Builds requests whose prompts identify them. */
final class SimPrompts {
  private SimPrompts() {}

  static ObjectNode chat(String identity, int answerTokens) {
    ObjectNode body = Json.object();
    body.put("model", SimFleet.MODEL);
    body.put("max_tokens", answerTokens);
    body.put("stream", true);
    body.putArray("messages").addObject().put("role", "user").put("content", "about " + identity);
    return body;
  }
}
