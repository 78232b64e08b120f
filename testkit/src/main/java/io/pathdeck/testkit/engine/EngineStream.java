package io.pathdeck.testkit.engine;

import io.pathdeck.serving.http.HttpExchange;
import java.nio.charset.StandardCharsets;

/** Writes the events of one sequence to its caller. */
final class EngineStream implements Sequence.Output {
  private static final int LOAD_INTERVAL_TOKENS = 16;

  private final HttpExchange exchange;
  private final EmulatedEngine engine;
  private final boolean chat;
  private final boolean includeUsage;
  private final int promptTokens;
  private final String head;
  private final long seed;
  private final int resumeAfter;

  EngineStream(HttpExchange exchange, EmulatedEngine engine, EngineCall call, long createdSeconds) {
    this.exchange = exchange;
    this.engine = engine;
    this.chat = call.chat();
    this.includeUsage = call.includeUsage();
    this.promptTokens = call.promptTokens();
    this.seed = call.seed();
    this.resumeAfter = call.resumeAfter();
    this.head =
        "data: {\"id\":\""
            + call.responseId()
            + "\",\"object\":\""
            + (chat ? "chat.completion.chunk" : "text_completion")
            + "\",\"created\":"
            + createdSeconds
            + ",\"model\":\""
            + call.model()
            + "\",\"choices\":[";
  }

  @Override
  public void onToken(Sequence sequence, int offset, boolean last) {
    EngineFaults.Kind fault = engine.faults().kind();
    boolean middle = offset > resumeAfter + (sequence.answerTokens - resumeAfter) / 2;
    if (middle && fault == EngineFaults.Kind.TRUNCATE) {
      engine.cancel(sequence);
      exchange.abort();
      return;
    }
    StringBuilder events = new StringBuilder();
    if (offset == resumeAfter + 1) {
      appendOpening(events);
    }
    if (offset % LOAD_INTERVAL_TOKENS == 0) {
      events.append(": load ").append(engine.reportedLoad().format()).append("\n\n");
    }
    appendToken(events, offset);
    boolean cutShort = middle && fault == EngineFaults.Kind.SHORT;
    if (last || cutShort) {
      appendClosing(events, offset);
    }
    exchange.write(events.toString().getBytes(StandardCharsets.UTF_8));
    if (last || cutShort) {
      engine.onFinished(sequence, cutShort);
      exchange.endStream();
    }
  }

  @Override
  public void onNothingLeft(Sequence sequence) {
    StringBuilder events = new StringBuilder();
    appendClosing(events, sequence.answerTokens);
    exchange.write(events.toString().getBytes(StandardCharsets.UTF_8));
    engine.onFinished(sequence, false);
    exchange.endStream();
  }

  private void appendOpening(StringBuilder events) {
    if (chat && resumeAfter == 0) {
      events
          .append(head)
          .append("{\"index\":0,\"delta\":{\"role\":\"assistant\",\"content\":\"\"},")
          .append("\"finish_reason\":null}]}\n\n");
    }
  }

  private void appendToken(StringBuilder events, int offset) {
    events.append("id: ").append(offset).append('\n').append(head).append("{\"index\":0,");
    String token = EmulatedText.token(seed, offset);
    if (chat) {
      events.append("\"delta\":{\"content\":\"").append(token).append("\"}");
    } else {
      events.append("\"text\":\"").append(token).append('"');
    }
    events.append(",\"finish_reason\":null}]}\n\n");
  }

  private void appendClosing(StringBuilder events, int tokens) {
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
