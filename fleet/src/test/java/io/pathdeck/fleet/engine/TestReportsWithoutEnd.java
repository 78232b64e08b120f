package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against load reports without end, which filled the memory of each process that asked. */
class TestReportsWithoutEnd {
  private static final long BOUND_MS = 2_000;

  /** Includes what the sockets of both sides buffer. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  private static final String PIECE = "x".repeat(8_192);

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final PlainEngineProtocol protocol = new PlainEngineProtocol("");
  private final NettyEngineTransport transport = new NettyEngineTransport(eventLoop, protocol);
  private final AtomicInteger reports = new AtomicInteger();
  private final EngineLoadClient client =
      new EngineLoadClient(
          transport, protocol, (engineId, load, coldLeftMs) -> reports.incrementAndGet());
  private EndlessServer server;

  @BeforeEach
  void start() throws IOException {
    server = new EndlessServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void assertReportIsGivenUp() throws Exception {
    eventLoop.execute(() -> client.fetch(server.engine("e")));
    awaitEnd();
    assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
    assertThat(reports).hasValue(0);
  }

  private void awaitEnd() throws InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BOUND_MS);
    while (!server.isDone()) {
      assertThat(System.nanoTime()).as("the response is given up in time").isLessThan(endNs);
      Thread.sleep(5);
    }
  }

  @Test
  void bodyWithoutLength() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\n\r\n", PIECE);
    assertReportIsGivenUp();
  }

  @Test
  void chunksWithoutEnd() throws Exception {
    server.respond(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2000\r\n" + PIECE + "\r\n");
    assertReportIsGivenUp();
  }

  @Test
  void bodyThatTrickles() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\n\r\n", "x");
    server.pauseBeforePieces(50);
    assertReportIsGivenUp();
  }

  @Test
  void headThatTrickles() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\nX-Pad: ", "x");
    server.pauseBeforePieces(50);
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
    assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
  }
}
