package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** An engine that ends within a head must pass for one that may be down, and for no answer. */
class TestCutHeads extends ScriptedServerTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\nx-id: r\r\nContent-Length: 0\r\n\r\n";
  private static final long IDLE_MS = 600;

  private void assertConnectionsEnd() throws Exception {
    for (int length = 0; length < HEAD.length(); length++) {
      String cutHead = HEAD.substring(0, length);
      server.respond(cutHead);
      CallOutcome outcome = call("r");
      assertThat(outcome.response()).as(cutHead).isEmpty();
      assertThat(outcome.failureWithin(0)).as(cutHead).contains(EngineFailure.CONNECTION_ENDED);
    }
  }

  @Test
  void byEndOfStream() throws Exception {
    assertConnectionsEnd();
  }

  @Test
  void byReset() throws Exception {
    server.resetConnections();
    assertConnectionsEnd();
  }

  @Test
  void withinStatusLineAfterIdling() throws Exception {
    server.respond(HEAD, "HTTP/1.1 2");
    assertThat(failureOf("r")).isEmpty();
    Thread.sleep(IDLE_MS);
    assertThat(failureOf("r2")).contains(EngineFailure.CONNECTION_ENDED);
  }
}
