package io.pathdeck.serving.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests event splitting and the detection of gaps, repeated tokens and a missing end marker. */
class TestSseReader {
  private static String token(int offset) {
    return "id: " + offset + "\ndata: {\"token\":" + offset + "}\n\n";
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static final String STREAM =
      ": accepted\n\n" + token(1) + token(2) + token(3) + "data: [DONE]\n\n";

  @Property(tries = 200, seed = "31")
  void producesSameEventsForAnySplit(@ForAll @IntRange(min = 1, max = 80) int partSize) {
    SseReader reader = new SseReader(0);
    StringBuilder events = new StringBuilder();
    int tokens = 0;
    byte[] stream = bytes(STREAM);
    for (int offset = 0; offset < stream.length; offset += partSize) {
      reader.read(Arrays.copyOfRange(stream, offset, Math.min(stream.length, offset + partSize)));
      events.append(new String(reader.events(), StandardCharsets.UTF_8));
      tokens += reader.tokens();
    }
    assertThat(tokens).isEqualTo(3);
    assertThat(reader.hasEndMarker()).isTrue();
    assertThat(reader.problem()).isNull();
    assertThat(events.toString()).contains("{\"token\":1}").doesNotContain("id:");
  }

  @Test
  void reportsGapsAndRepeats() {
    for (String invalidStream : new String[] {token(1) + token(3), token(1) + token(1), token(2)}) {
      SseReader reader = new SseReader(0);
      reader.read(bytes(invalidStream));
      assertThat(reader.problem()).as(invalidStream).isNotNull();
    }
  }

  /** Guards against a second response that is passed on as a part of the first one. */
  @Test
  void reportsResponseWithinEvent() {
    String head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    String event = token(2).substring(0, token(2).length() - 2);
    for (int cut = 0; cut <= event.length(); cut++) {
      SseReader reader = new SseReader(0);
      reader.read(bytes(token(1) + event.substring(0, cut) + head + token(1)));
      assertThat(reader.problem()).as(event.substring(0, cut)).isNotNull();
      assertThat(reader.tokens()).isEqualTo(1);
    }
  }

  @Test
  void resumesAfterGivenOffset() {
    SseReader reader = new SseReader(7);
    reader.read(bytes(token(8)));
    assertThat(reader.problem()).isNull();
    assertThat(reader.hasEndMarker()).isFalse();
  }

  /** Guards against events that a caller gets twice, since the next attempt repeats them. */
  @Test
  void holdsEventsWithoutOffsetUntilTokenOrEnd() {
    SseReader reader = new SseReader(0);
    reader.read(bytes("data: {}\n\n"));
    assertThat(reader.events()).isEmpty();
    reader.read(bytes(token(1) + "data: {}\n\n"));
    assertThat(reader.events()).asString().isEqualTo("data: {}\n\ndata: {\"token\":1}\n\n");
    reader.read(bytes("data: [DONE]\n\n"));
    assertThat(reader.events()).asString().isEqualTo("data: {}\n\ndata: [DONE]\n\n");
  }

  @Property(tries = 300, seed = "32")
  void acceptsArbitraryBytes(@ForAll byte[] noise) {
    new SseReader(0).read(noise);
  }
}
