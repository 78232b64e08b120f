package io.pathdeck.testkit.engine;

import io.pathdeck.serving.http.HttpExchange;
import java.nio.charset.StandardCharsets;

/** Writes the events of one sequence to its caller. */
final class EngineStream implements Sequence.Output {
  private static final int LOAD_INTERVAL_TOKENS = 16;

  private final HttpExchange exchange;
  private final EmulatedEngine engine;
  private final AnswerEvents answer;
  private final int resumeAfter;

  EngineStream(HttpExchange exchange, EmulatedEngine engine, EngineCall call, long createdSeconds) {
    this.exchange = exchange;
    this.engine = engine;
    this.resumeAfter = call.resumeAfter();
    this.answer = new AnswerEvents(call, createdSeconds);
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
      answer.appendOpening(events);
    }
    if (offset % LOAD_INTERVAL_TOKENS == 0) {
      events.append(": load ").append(engine.reportedLoad().format()).append("\n\n");
    }
    answer.appendToken(events, offset);
    boolean cutShort = middle && fault == EngineFaults.Kind.SHORT;
    if (last || cutShort) {
      answer.appendClosing(events, offset);
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
    answer.appendClosing(events, sequence.answerTokens);
    exchange.write(events.toString().getBytes(StandardCharsets.UTF_8));
    engine.onFinished(sequence, false);
    exchange.endStream();
  }
}
