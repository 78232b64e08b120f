package io.pathdeck.testkit.engine;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats the stream events of one answer, as an engine sends them. */
public final class AnswerEvents {
  private final boolean chat;
  private final boolean includeUsage;
  private final int promptTokens;
  private final long seed;
  private final int resumeAfter;
  private final String head;

  AnswerEvents(EngineCall call, long createdSeconds) {
    this(
        call.chat(),
        call.includeUsage(),
        call.promptTokens(),
        call.seed(),
        call.resumeAfter(),
        call.responseId(),
        call.model(),
        createdSeconds);
  }

  /** The events of a chat completion that continues after {@code resumeAfter} tokens. */
  public static AnswerEvents ofChat(JsonNode body, String responseId, int resumeAfter) {
    return new AnswerEvents(
        true,
        body.path("stream_options").path("include_usage").asBoolean(),
        EmulatedText.promptTokens(body),
        EmulatedText.seed(body),
        resumeAfter,
        responseId,
        body.path("model").asText(),
        0);
  }

  private AnswerEvents(
      boolean chat,
      boolean includeUsage,
      int promptTokens,
      long seed,
      int resumeAfter,
      String responseId,
      String model,
      long createdSeconds) {
    this.chat = chat;
    this.includeUsage = includeUsage;
    this.promptTokens = promptTokens;
    this.seed = seed;
    this.resumeAfter = resumeAfter;
    this.head =
        "data: {\"id\":\""
            + responseId
            + "\",\"object\":\""
            + (chat ? "chat.completion.chunk" : "text_completion")
            + "\",\"created\":"
            + createdSeconds
            + ",\"model\":\""
            + model
            + "\",\"choices\":[";
  }

  /** Appends the events of this kind. */
  public void appendOpening(StringBuilder events) {
    if (chat && resumeAfter == 0) {
      events
          .append(head)
          .append("{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},")
          .append("\"finish_reason\":null}]}\n\n");
    }
  }

  /** Appends the events of this kind. */
  public void appendToken(StringBuilder events, int offset) {
    events.append("id: ").append(offset).append('\n').append(head).append("{\"index\":0,");
    String token = EmulatedText.token(seed, offset);
    if (chat) {
      events.append("\"delta\":{\"content\":\"").append(token).append("\"}");
    } else {
      events.append("\"text\":\"").append(token).append('"');
    }
    events.append(",\"finish_reason\":null}]}\n\n");
  }

  /** Appends the events of this kind. */
  public void appendClosing(StringBuilder events, int tokens) {
    events
        .append(head)
        .append("{\"index\":0,")
        .append(chat ? "\"delta\":{}" : "\"text\":\"\"")
        .append(",\"finish_reason\":\"length\"}]}\n\n");
    if (includeUsage) {
      events
          .append(head)
          .append("],\"usage\":{\"prompt_tokens\":")
          .append(promptTokens)
          .append(",\"completion_tokens\":")
          .append(tokens)
          .append(",\"total_tokens\":")
          .append(promptTokens + tokens)
          .append("}}\n\n");
    }
    events.append("data: [DONE]\n\n");
  }
}
