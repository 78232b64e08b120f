package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Gives each test of a subclass a transport and an engine whose responses have no end. */
abstract class EndlessServerTest {
  static final String REQUEST_ID = "r";
  static final String PIECE = "x".repeat(8_192);
  static final String CHUNK = "2000\r\n" + PIECE + "\r\n";
  static final long BOUND_MS = 2_000;

  /** Includes what the sockets of both sides buffer. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  final EventLoop eventLoop = eventLoops.next();
  final PlainEngineProtocol protocol;
  final NettyEngineTransport transport;
  EndlessServer server;

  /** Takes responses that name no request for those to {@code unnamedId}. */
  EndlessServerTest(String unnamedId) {
    protocol = new PlainEngineProtocol(unnamedId);
    transport = new NettyEngineTransport(eventLoop, protocol);
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

  /** Waits until the connection is closed, and checks that few bytes were read. */
  void awaitEnd() throws InterruptedException {
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(BOUND_MS);
    while (!server.isDone()) {
      assertThat(System.nanoTime()).as("the response is given up in time").isLessThan(endNs);
      Thread.sleep(5);
    }
    assertThat(server.sentBytes()).isLessThan(MAX_SENT_BYTES);
  }
}
