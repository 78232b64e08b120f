package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.adapter.EngineTenant;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;

/** Guards against responses to requests that have no end, which kept callers and items waiting. */
class TestResponsesWithoutEnd {
  private static final long BOUND_MS = 2_000;

  /** Includes what the sockets of both sides buffer. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  private static final String REQUEST_ID = "r";
  private static final String PIECE = "x".repeat(8_192);

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final NettyEngineTransport transport =
      new NettyEngineTransport(eventLoop, new PlainEngineProtocol(REQUEST_ID));
  private EndlessServer server;

  private record FailureListener(CompletableFuture<EngineFailure> failure)
      implements EngineListener {
    @Override
    public void onHead(EngineResponse response) {}

    @Override
    public void onBody(byte[] part) {}

    @Override
    public void onEnd() {
      failure.complete(null);
    }

    @Override
    public void onFailure(EngineFailure cause, String reason) {
      failure.complete(cause);
    }
  }

  @BeforeEach
  void start() throws IOException {
    server = new EndlessServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
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
    FailureListener listener = new FailureListener(new CompletableFuture<>());
    eventLoop.execute(() -> transport.start(call, listener));
    assertThat(listener.failure().get(BOUND_MS, TimeUnit.MILLISECONDS))
        .isEqualTo(EngineFailure.BROKEN);
    while (!server.isDone()) {
      Thread.sleep(5);
    }
    assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
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
    server.respond(
        "HTTP/1.1 503 Service Unavailable\r\nTransfer-Encoding: chunked\r\n\r\n",
        "2000\r\n" + PIECE + "\r\n");
    assertCallFails();
  }

  @Test
  void bodyForAnotherRequest() throws Exception {
    server.respond("HTTP/1.1 200 OK\r\nx-id: other\r\n\r\n", PIECE);
    assertCallFails();
  }
}
