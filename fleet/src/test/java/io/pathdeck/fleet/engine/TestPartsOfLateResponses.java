package io.pathdeck.fleet.engine;

import static io.pathdeck.fleet.engine.ScriptedServer.PAUSE;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * An engine that closes a connection within a late response must not pass for closing idle ones.
 */
@Timeout(20)
class TestPartsOfLateResponses extends ScriptedServerTest {
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nx-id: ";
  private static final String END = "\r\n\r\n";
  private static final String HEAD = "HTTP/1.1 200 OK\r\nx-id: a";

  /** Longer than the lowest limit. */
  private static final long IDLE_MS = 300;

  @ParameterizedTest
  @ValueSource(strings = {HEAD, PAUSE + HEAD, PAUSE + "HTTP/1.1 2"})
  void leaveTheLimitOfIdleConnections(String part) throws Exception {
    server.respond(OK + "a" + END + part);
    assertThat(failureOf("a")).isEmpty();
    awaitClose();
    server.respond(OK + "b" + END, OK + "c" + END);
    assertThat(failureOf("b")).isEmpty();
    Thread.sleep(IDLE_MS);
    assertThat(failureOf("c")).isEmpty();
    assertThat(transport.connectionsOpened()).isEqualTo(2);
  }
}
