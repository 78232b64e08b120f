package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** A second response on the connection must not pass for a part of the body of the first one. */
class TestResponsesWithinBodies extends ScriptedServerTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nx-id: r\r\n";
  private static final String ERROR =
      "HTTP/1.1 500 Internal Server Error\r\nDate: today\r\nX-Id: r\r\n\r\nfailed";

  @Test
  void behindBodyWithoutLength() throws Exception {
    server.respond(HEAD + "\r\ntext" + ERROR);
    assertThat(failureOf("r")).contains(EngineFailure.BROKEN);
  }

  @Test
  void copyBehindBodyWithoutLength() throws Exception {
    server.respond(HEAD + "\r\ntext\n" + HEAD + "\r\ntext\n");
    assertThat(failureOf("r")).contains(EngineFailure.BROKEN);
  }

  @Test
  void withinBodyWithTypeOfEventStream() throws Exception {
    String type = "Content-Type: text/event-stream\r\n";
    server.respond(HEAD + type + "Content-Length: " + ERROR.length() + "\r\n\r\n" + ERROR);
    assertThat(failureOf("r")).contains(EngineFailure.BROKEN);
  }

  @Test
  void withinBodyThatBreaksOff() throws Exception {
    server.respond(
        HEAD + "Content-Length: " + (10 + ERROR.length()) + "\r\n\r\n{\"text\": \"" + ERROR);
    assertThat(failureOf("r")).contains(EngineFailure.BROKEN);
  }

  @Test
  void withinBodyOfAnError() throws Exception {
    String error = ERROR.replace("\r\n\r\n", "\r\nContent-Length: 60\r\n\r\n");
    server.respond(error + HEAD + "\r\n" + "text ".repeat(20));
    assertThat(failureOf("r")).contains(EngineFailure.BROKEN);
  }

  @Test
  void headOfAnotherRequestMayBeQuoted() throws Exception {
    String quoted = ERROR.replace("X-Id: r", "X-Id: other");
    server.respond(HEAD + "Content-Length: " + quoted.length() + "\r\n\r\n" + quoted);
    assertThat(failureOf("r")).isEmpty();
  }

  @Test
  void isFoundInAnyParts() {
    byte[] body = ("text " + ERROR).getBytes(StandardCharsets.US_ASCII);
    for (int length = 0; length <= body.length; length++) {
      EmbeddedHeadDetector detector = new EmbeddedHeadDetector(List.of("x-id"), Set.of("r"));
      detector.add(Arrays.copyOf(body, length));
      assertThat(detector.add(Arrays.copyOfRange(body, length, body.length))).isTrue();
    }
  }
}
