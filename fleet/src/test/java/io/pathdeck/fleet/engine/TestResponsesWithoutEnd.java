package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineTenant;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

/** Guards against responses to requests that have no end, which kept callers and items waiting. */
class TestResponsesWithoutEnd extends EndlessServerTest {
  TestResponsesWithoutEnd() {
    super(REQUEST_ID);
  }

  private void assertCallFails() throws Exception {
    EngineCall call =
        new EngineCall(
            server.engine("e"),
            HttpMethod.POST,
            "/ask",
            "h",
            REQUEST_ID,
            new EngineTenant.PassThrough(),
            new DefaultHttpHeaders(),
            new byte[0],
            0,
            -1);
    CallOutcome outcome = new CallOutcome();
    eventLoop.execute(() -> transport.start(call, outcome));
    assertThat(outcome.failureWithin(BOUND_MS)).contains(EngineFailure.BROKEN);
    awaitEnd();
  }

  @Test
  void informationalHeads() throws Exception {
    server.respond("", "HTTP/1.1 100 Continue\r\n\r\n");
    assertCallFails();
  }

  @Test
  void statusLine() throws Exception {
    server.respond("HTTP/1.1 200 ", PIECE);
    assertCallFails();
  }

  @Test
  void headers() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\n", "X-Pad: x\r\n");
    assertCallFails();
  }

  @RepeatedTest(20)
  void blankLines() throws Exception {
    server.respond("", "\r\n");
    assertCallFails();
  }

  @Test
  void bytesThatAreNoHead() throws Exception {
    server.respond("", PIECE);
    assertCallFails();
  }

  @Test
  void bodyOfAnError() throws Exception {
    server.respond("HTTP/1.1 500 Internal Server Error\r\n\r\n", PIECE);
    assertCallFails();
  }

  @Test
  void chunksOfAnError() throws Exception {
    server.respond("HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK);
    assertCallFails();
  }

  @Test
  void bodyForAnotherRequest() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n", PIECE);
    assertCallFails();
  }
}
