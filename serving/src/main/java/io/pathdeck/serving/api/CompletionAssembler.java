package io.pathdeck.serving.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.http.Json;
import java.nio.charset.StandardCharsets;

/** Assembles stream events into the response of a non-streaming request. */
public final class CompletionAssembler {
  private static final byte[] DATA_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);

  private final boolean chat;
  private final StringBuilder text = new StringBuilder();
  private ObjectNode lastChunk;
  private String finishReason;
  private JsonNode usage;
  private int tokens;

  /**
   * Creates an assembler without events.
   *
   * @param chat whether the response is a chat completion
   */
  public CompletionAssembler(boolean chat) {
    this.chat = chat;
  }

  /** Adds complete events. */
  public void add(byte[] events, int tokenCount) {
    tokens += tokenCount;
    int start = 0;
    for (int i = 1; i < events.length; i++) {
      if (events[i] == '\n' && events[i - 1] == '\n') {
        addEvent(events, start + DATA_PREFIX.length, i - 1);
        start = i + 1;
      }
    }
  }

  private void addEvent(byte[] events, int from, int to) {
    if (to <= from || events[from] != '{') {
      return;
    }
    Json.parseObject(events, from, to - from).ifPresent(this::addChunk);
  }

  private void addChunk(ObjectNode chunk) {
    lastChunk = chunk;
    if (chunk.hasNonNull("usage")) {
      usage = chunk.get("usage");
    }
    JsonNode choice = chunk.path("choices").path(0);
    JsonNode part = chat ? choice.path("delta").path("content") : choice.path("text");
    if (part.isTextual()) {
      text.append(part.textValue());
    }
    if (choice.path("finish_reason").isTextual()) {
      finishReason = choice.path("finish_reason").textValue();
    }
  }

  /** Returns the number of generated tokens. */
  public int tokens() {
    return tokens;
  }

  /** Returns the response body. */
  public ObjectNode assemble() {
    ObjectNode response = Json.object();
    if (lastChunk != null) {
      response.set("id", lastChunk.get("id"));
      response.set("created", lastChunk.get("created"));
      response.set("model", lastChunk.get("model"));
    }
    response.put("object", chat ? "chat.completion" : "text_completion");
    ObjectNode choice = response.putArray("choices").addObject();
    choice.put("index", 0);
    if (chat) {
      choice.putObject("message").put("role", "assistant").put("content", text.toString());
    } else {
      choice.put("text", text.toString());
    }
    choice.putNull("logprobs");
    choice.put("finish_reason", finishReason);
    if (usage != null) {
      response.set("usage", usage);
    }
    return response;
  }
}
