package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** A stream whose connection ends before its first event must not pass for a whole one. */
class TestEmptyResponses extends ScriptedServerTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nx-id: r\r\n";
  private static final String STREAM = "Content-Type: Text/Event-Stream; charset=utf-8\r\n";

  @Test
  void streamWithoutLengthIsNotWhole() throws Exception {
    server.respond(HEAD + STREAM + "\r\n");
    assertThat(failureOf("r")).contains(EngineFailure.CONNECTION_ENDED);
  }

  @Test
  void streamThatResumesMayHaveNoMoreEvents() throws Exception {
    server.respond(HEAD + STREAM + "\r\n");
    assertThat(call("r", 7).failureWithin(0)).isEmpty();
  }

  @Test
  void streamWithLengthIsWhole() throws Exception {
    server.respond(HEAD + STREAM + "Content-Length: 0\r\n\r\n");
    assertThat(failureOf("r")).isEmpty();
  }

  @Test
  void otherResponseWithoutLengthIsWhole() throws Exception {
    server.respond(HEAD + "\r\n");
    assertThat(failureOf("r")).isEmpty();
  }
}
