package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineCall;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Guards against load reports without end, which filled the memory of each process that asked. */
class TestReportsWithoutEnd extends EndlessServerTest {
  private static final long PAUSE_MS = 50;

  private final AtomicInteger reports = new AtomicInteger();
  private final EngineLoadClient client =
      new EngineLoadClient(
          transport, protocol, (engineId, load, coldLeftMs) -> reports.incrementAndGet());

  TestReportsWithoutEnd() {
    super(EngineCall.NO_REQUEST_ID);
  }

  private void assertReportIsGivenUp() throws Exception {
    eventLoop.execute(() -> client.fetch(server.engine("e")));
    awaitEnd();
    assertThat(reports).hasValue(0);
  }

  @Test
  void bodyWithoutLength() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\n\r\n", PIECE);
    assertReportIsGivenUp();
  }

  @Test
  void chunksWithoutEnd() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNK);
    assertReportIsGivenUp();
  }

  @Test
  void bodyThatTrickles() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\n\r\n", "x");
    server.pauseBeforePieces(PAUSE_MS);
    assertReportIsGivenUp();
  }

  @Test
  void headThatTrickles() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\nX-Pad: ", "x");
    server.pauseBeforePieces(PAUSE_MS);
    assertReportIsGivenUp();
  }

  @Test
  void probeOfSuchAnEngineIsUnknown() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\n\r\n", PIECE);
    EngineLivenessProbe probe = new EngineLivenessProbe(eventLoop, transport, protocol);
    CompletableFuture<EngineLivenessProbe.Result> result = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(server.engine("e"), result::complete));
    awaitEnd();
    assertThat(result.join().verdict()).isEqualTo(EngineLivenessProbe.Verdict.UNKNOWN);
  }
}
