package io.pathdeck.testkit.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;
import io.pathdeck.testkit.engine.EmulatedText;

/** Request bodies of the load tool. */
public final class Prompts {
  private static final int CHARACTERS_PER_TOKEN = 4;

  private Prompts() {}

  /** A chat request; requests of a family share the beginning of their prompt. */
  public static ObjectNode chat(
      String model, int family, String unique, int promptTokens, int answerTokens, boolean stream) {
    ObjectNode body = Json.object();
    body.put("model", model);
    body.put("stream", stream);
    body.put("max_tokens", answerTokens);
    int length = promptTokens * CHARACTERS_PER_TOKEN;
    StringBuilder shared = new StringBuilder();
    for (int i = 0; shared.length() < length / 2; i++) {
      shared.append(EmulatedText.token(family, i));
    }
    StringBuilder own = new StringBuilder(unique).append(' ');
    for (int i = 0; own.length() < length / 2; i++) {
      own.append(EmulatedText.token(unique.hashCode(), i));
    }
    var messages = body.putArray("messages");
    messages.addObject().put("role", "system").put("content", shared.toString());
    messages.addObject().put("role", "user").put("content", own.toString());
    return body;
  }

  /** A line of a batch input file. */
  public static ObjectNode batchLine(String customId, ObjectNode body) {
    ObjectNode line = Json.object();
    line.put("custom_id", customId);
    line.put("method", "POST");
    line.put("url", "/v1/chat/completions");
    ObjectNode item = body.deepCopy();
    item.remove("stream");
    line.set("body", item);
    return line;
  }
}
