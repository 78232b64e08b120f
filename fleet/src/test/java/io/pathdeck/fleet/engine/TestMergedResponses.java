package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** A head that breaks off and is followed by another one must not pass for a single head. */
class TestMergedResponses extends ScriptedServerTest {
  private static final String OK = "200 OK";
  private static final String ERROR = "500 Internal Server Error";

  private record Response(String status, String requestId) {
    String text() {
      return "HTTP/1.1 "
          + status
          + "\r\nContent-Type: text/event-stream\r\nx-id: "
          + requestId
          + "\r\nx-stamp: "
          + summary()
          + "\r\nContent-Length: 0\r\n\r\n";
    }

    /** Is the value of the stamp, too, which thereby names the response that it comes from. */
    String summary() {
      return status.substring(0, 3) + "-" + requestId;
    }
  }

  /** Returns the status, id and stamps that a caller gets. */
  private static List<String> partsOf(EngineResponse response) {
    List<String> parts = new ArrayList<>(response.headers().getAll("x-stamp"));
    parts.add(response.status() + "-" + response.requestId());
    return parts;
  }

  private static boolean isOneOf(Optional<EngineResponse> received, Response... sent) {
    return received.isEmpty()
        || List.of(sent).stream()
            .map(Response::summary)
            .anyMatch(summary -> partsOf(received.get()).equals(List.of(summary, summary)));
  }

  private void assertNeverMerged(String head, Response first, Response second) throws Exception {
    List<String> merged = new ArrayList<>();
    for (int length = 0; length <= head.length(); length++) {
      String cutHead = head.substring(0, length);
      server.respond(cutHead + second.text());
      Optional<EngineResponse> received = call(second.requestId()).response();
      if (!isOneOf(received, first, second)) {
        merged.add(cutHead + " -> " + partsOf(received.get()));
      }
    }
    assertThat(merged).isEmpty();
  }

  private void assertNeverMerged(Response first, Response second) throws Exception {
    assertNeverMerged(first.text(), first, second);
  }

  @Test
  void errorAfterCutSuccess() throws Exception {
    assertNeverMerged(new Response(OK, "r"), new Response(ERROR, "r"));
  }

  @Test
  void successAfterCutError() throws Exception {
    assertNeverMerged(new Response(ERROR, "r"), new Response(OK, "r"));
  }

  @Test
  void errorAfterCutInformationalHead() throws Exception {
    Response error = new Response(ERROR, "r");
    assertNeverMerged("HTTP/1.1 100 Continue\r\nx-id: r\r\n\r\n", error, error);
  }

  @Test
  void errorAfterCutCopyOfEarlierSuccess() throws Exception {
    assertNeverMergedWithLateCopy(new Response(OK, "r1"), new Response(ERROR, "r2"));
  }

  @Test
  void successAfterCutCopyOfEarlierError() throws Exception {
    assertNeverMergedWithLateCopy(new Response(ERROR, "r1"), new Response(OK, "r2"));
  }

  private void assertNeverMergedWithLateCopy(Response first, Response second) throws Exception {
    List<String> merged = new ArrayList<>();
    for (int length = 0; length <= first.text().length(); length++) {
      String cutCopy = first.text().substring(0, length);
      server.respond(first.text(), cutCopy + second.text());
      assertThat(failureOf(first.requestId())).isEmpty();
      Optional<EngineResponse> received = call(second.requestId()).response();
      if (!isOneOf(received, second)) {
        merged.add(cutCopy + " -> " + partsOf(received.get()));
      }
    }
    assertThat(merged).isEmpty();
  }

  @Test
  void repeatedIdentity() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nx-id: r\r\nContent-Length: 0\r\n";
    for (String repeated : List.of("x-id: r", "X-Stamp: a\r\nx-stamp: b", "content-length: 0")) {
      server.respond(head + repeated + "\r\n\r\n");
      assertThat(failureOf("r")).as(repeated).contains(EngineFailure.BROKEN);
    }
  }

  @Test
  void lengthAndChunks() throws Exception {
    String head = "HTTP/1.1 200 OK\r\nx-id: r\r\nContent-Length: 5\r\n";
    server.respond(head + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    assertThat(failureOf("r")).contains(EngineFailure.BROKEN);
  }
}
