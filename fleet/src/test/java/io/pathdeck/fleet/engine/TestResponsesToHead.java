package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;

/** The response after one to HEAD must not be taken for the body that the first one tells of. */
class TestResponsesToHead extends ScriptedServerTest {
  private static String response(String requestId, String body) {
    return "HTTP/1.1 200 OK\r\nx-id: " + requestId + "\r\nContent-Length: 5\r\n\r\n" + body;
  }

  @Test
  void nextResponseIsNoBody() throws Exception {
    server.respond(response("head", ""), response("next", "whole"));
    CallOutcome head = call(HttpMethod.HEAD, "head");
    assertThat(head.failureWithin(0)).isEmpty();
    assertThat(head.body()).isEmpty();
    assertThat(call("next").body()).isEqualTo("whole");
  }
}
