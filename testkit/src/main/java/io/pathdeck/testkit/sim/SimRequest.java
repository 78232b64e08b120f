package io.pathdeck.testkit.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.serving.api.CompletionAssembler;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.Json;
import io.pathdeck.testkit.engine.EmulatedText;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;

/** One arrival of an online request at a node, as its caller sees it. */
final class SimRequest {
  /** How an arrival ended. */
  enum End {
    ANSWERED,
    REFUSED_NOT_RUN,
    FAILED
  }

  private final long id;
  private final ObjectNode body;
  private final String claimKey;
  private final Oracle oracle;
  private final Consumer<End> whenEnded;
  private final CompletionAssembler received = new CompletionAssembler(true);
  private boolean ended;
  private Simulation clock;
  private Histogram firstToken;
  private Histogram gap;
  private long sentAtNs;
  private long lastTokenAtNs;

  SimRequest(long id, ObjectNode body, String claimKey, Oracle oracle, Consumer<End> whenEnded) {
    this.id = id;
    this.body = body;
    this.claimKey = claimKey;
    this.oracle = oracle;
    this.whenEnded = whenEnded;
  }

  long id() {
    return id;
  }

  byte[] body() {
    return Json.encode(body);
  }

  Optional<String> claimKey() {
    return Optional.ofNullable(claimKey);
  }

  boolean isEnded() {
    return ended;
  }

  void onEvents(byte[] events, int tokens) {
    if (ended) {
      return;
    }
    received.add(events, tokens);
    if (clock != null && tokens > 0) {
      measureToken();
    }
  }

  /** Measures the time to the first token and between tokens from now on. */
  void measure(Simulation simulation, Histogram firstTokens, Histogram gaps) {
    clock = simulation;
    firstToken = firstTokens;
    gap = gaps;
    sentAtNs = simulation.nowNs();
  }

  private void measureToken() {
    long nowNs = clock.nowNs();
    if (lastTokenAtNs == 0) {
      firstToken.recordValue(TimeUnit.NANOSECONDS.toMicros(nowNs - sentAtNs));
    } else {
      gap.recordValue(TimeUnit.NANOSECONDS.toMicros(nowNs - lastTokenAtNs));
    }
    lastTokenAtNs = nowNs;
  }

  void onCompleted() {
    check(received.assemble());
    end(End.ANSWERED);
  }

  void onStoredAnswer(byte[] stored) {
    CompletionAssembler assembler = new CompletionAssembler(true);
    assembler.add(stored, 0);
    check(assembler.assemble());
    end(End.ANSWERED);
  }

  private void check(JsonNode answer) {
    String text = EmulatedText.ofCompletion(answer);
    if (!text.equals(EmulatedText.answer(body))) {
      oracle.violation(
          Promise.WHOLE_OWN_ANSWER, "request " + id + " got \"" + text + "\" for " + body);
    }
  }

  void onRefused(ApiError error) {
    onFailed(error);
  }

  void onFailed(ApiError error) {
    if (error.notRun()) {
      oracle.onRefusedAsNotRun("cmpl-" + Long.toHexString(id));
    }
    end(error.notRun() ? End.REFUSED_NOT_RUN : End.FAILED);
  }

  private void end(End how) {
    if (!ended) {
      ended = true;
      whenEnded.accept(how);
    }
  }
}
