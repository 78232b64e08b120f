package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.fleet.engine.EngineLivenessProbe.Result;
import io.pathdeck.fleet.engine.EngineLivenessProbe.Verdict;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against heads that HTTP does not allow and that pass for responses of the engine. */
@Timeout(20)
class TestInvalidResponseHeads extends ScriptedServerTest {
  private static final String FIELDS = "\r\nx-id: r\r\nContent-Length: 0\r\n";
  private static final String OK = "HTTP/1.1 200 OK";
  private static final String VALID = OK + FIELDS + "\r\n";
  private static final String VALID_REPORT =
      OK + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
  private static final String INVALID_REPORT = VALID_REPORT.replace("200", "000");

  private final PlainEngineProtocol protocol = new PlainEngineProtocol("");

  /** The valid response that follows must not be read as that to the next call. */
  private void assertIsNoResponse(String head) throws Exception {
    long openedBefore = transport.connectionsOpened();
    String rest = VALID + VALID.replace("x-id: r", "x-id: next");
    server.respond(head + rest, VALID.replace("x-id: r", "x-id: next\r\nx-stamp: next"));
    CallOutcome outcome = call("r");
    assertThat(outcome.response()).isEmpty();
    assertThat(outcome.failureWithin(0)).contains(EngineFailure.BROKEN);
    CallOutcome next = call("next");
    assertThat(next.response().orElseThrow().headers().get("x-stamp")).isEqualTo("next");
    assertThat(transport.connectionsOpened() - openedBefore).isEqualTo(2);
    awaitClose();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 x", "HTTP/1.1 099 x", "HTTP/1.1 20 OK", "HTTP/1.1 0200 OK",
        "HTTP/1.1 +200 OK", "HTTP/1.1 600 x", "HTTP/9.9 200 OK", "http/1.1 200 OK",
        "HTTP/1.1 200 O\u0001K"
      })
  void invalidStatusLine(String statusLine) throws Exception {
    assertIsNoResponse(statusLine + FIELDS + "\r\n");
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: 1",
        "X-Note : 1",
        "X-Note\t: 1",
        "X Note",
        "Content-Length : 9",
        "Transfer-Encoding : chunked",
        "x-stamp : a",
        "X\u0001Note: 1",
        "X-Note\u007f: 1",
        "\u0008X-Note: 1"
      })
  void invalidFieldName(String line) throws Exception {
    assertIsNoResponse(OK + "\r\n" + line + FIELDS + "\r\n");
    assertIsNoResponse(OK + FIELDS + line + "\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"gzip", "gzip, chunked", "xchunked", "identity", "chunked, chunked"})
  void otherTransferCoding(String coding) throws Exception {
    assertIsNoResponse(
        OK + "\r\nx-id: r\r\nTransfer-Encoding: " + coding + "\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  }

  @Test
  void otherTransferCodingInResponseToHead() throws Exception {
    server.respond(OK + "\r\nx-id: r\r\nTransfer-Encoding: gzip\r\n\r\n");
    CallOutcome outcome = call(HttpMethod.HEAD, "r");
    assertThat(outcome.response()).isEmpty();
    assertThat(outcome.failureWithin(0)).contains(EngineFailure.BROKEN);
  }

  @Test
  void invalidFieldNameInFailure() throws Exception {
    assertIsNoResponse("HTTP/1.1 500 x" + FIELDS + "X Note: 1\r\n\r\n");
  }

  @Test
  void invalidFieldNameInInformationalHead() throws Exception {
    assertIsNoResponse("HTTP/1.1 103 x\r\nX Note: 1\r\n\r\n");
  }

  @Test
  void invalidInformationalStatusLine() throws Exception {
    assertIsNoResponse("HTTP/1.1 000 x\r\n\r\n");
  }

  /** An idle connection that brings such a head without a call is not used for the next one. */
  @Test
  void invalidHeadBetweenCalls() throws Exception {
    String late = "HTTP/1.1 000 x" + FIELDS + "\r\n";
    server.respond(VALID + ScriptedServer.PAUSE + late, VALID.replace("x-id: r", "x-id: next"));
    assertThat(failureOf("r")).isEmpty();
    awaitClose();
    assertThat(failureOf("next")).isEmpty();
  }

  @Test
  void engineIsNotAlive() throws Exception {
    server.respond(INVALID_REPORT);
    EngineLivenessProbe probe = new EngineLivenessProbe(eventLoop, transport, protocol);
    CompletableFuture<Result> result = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(server.engine("e"), result::complete));
    assertThat(result.get(BOUND_MS, TimeUnit.MILLISECONDS).verdict()).isEqualTo(Verdict.UNKNOWN);
  }

  @Test
  void loadIsNotReported() throws Exception {
    assertTellsNoLoad(INVALID_REPORT);
    assertTellsNoLoad(VALID_REPORT.replace("Content-Length:", "Content-Length :"));
    assertTellsNoLoad(VALID_REPORT.replace("\r\n\r\n", "\r\nX Note: 1\r\n\r\n"));
  }

  /** Of two reports only the second one, which is valid, is read. */
  private void assertTellsNoLoad(String response) throws Exception {
    AtomicInteger reports = new AtomicInteger();
    EngineLoadClient client =
        new EngineLoadClient(transport, protocol, (id, load, coldMs) -> reports.incrementAndGet());
    server.respond(response, VALID_REPORT);
    for (int number = 0; number < 2; number++) {
      eventLoop.execute(() -> client.fetch(server.engine("e")));
    }
    while (reports.get() == 0) {
      Thread.sleep(POLL_MS);
    }
    awaitClose();
    assertThat(reports).hasValue(1);
  }
}
