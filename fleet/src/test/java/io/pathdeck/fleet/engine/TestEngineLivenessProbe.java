package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineLivenessProbe.Verdict;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(10)
class TestEngineLivenessProbe {
  private static final long LATER_MS = 10;
  private static final int REQUEST_BYTES = 4_096;
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final PlainEngineProtocol protocol = new PlainEngineProtocol("");
  private final NettyEngineTransport transport = new NettyEngineTransport(eventLoop, protocol);
  private final EngineLivenessProbe probe = new EngineLivenessProbe(eventLoop, transport, protocol);

  private static final class NoOpListener implements EngineListener {
    @Override
    public void onHead(EngineResponse response) {}

    @Override
    public void onBody(byte[] part) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(EngineFailure failure, String reason) {}
  }

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Guards against a crash that passes for a lost connection, so that nothing is held back. */
  @Test
  void engineWhoseOtherConnectionsCloseALittleLaterHasEnded() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    EngineInstance engine = new EngineInstance("e", "s", address, "z", 4, false);
    eventLoop.execute(() -> probe.check(engine, ignored -> {}));
    Socket other = server.accept();
    server.close();
    CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    EngineLivenessProbe second = new EngineLivenessProbe(eventLoop, transport, protocol);
    eventLoop.execute(() -> second.check(engine, verdict::complete));
    Thread.sleep(LATER_MS);
    other.close();
    assertThat(verdict.get()).isEqualTo(Verdict.ENDED);
  }

  /** Guards against a crash that is not recorded since the port closes after the connections. */
  @Test
  void engineWhosePortClosesALittleLaterHasEnded() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    EngineInstance engine = new EngineInstance("e", "s", address, "z", 4, false);
    CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(engine, verdict::complete));
    server.accept().close();
    server.accept().close();
    server.close();
    assertThat(verdict.get()).isEqualTo(Verdict.ENDED);
  }

  /** Guards against a response to an earlier probe that passes for a sign of life. */
  @Test
  void responseToAnEarlierProbeDoesNotShowThatTheEngineRunsNow() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    EngineInstance engine = new EngineInstance("e", "s", address, "z", 4, false);
    CompletableFuture<Verdict> earlier = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(engine, earlier::complete));
    Socket connection = server.accept();
    connection.getInputStream().read();
    CompletableFuture<Verdict> later = new CompletableFuture<>();
    eventLoop.submit(() -> probe.check(engine, later::complete)).sync();
    server.close();
    connection.getOutputStream().write(RESPONSE);
    connection.close();
    assertThat(earlier.get()).isEqualTo(Verdict.ALIVE);
    assertThat(later.get()).isEqualTo(Verdict.ENDED);
  }

  private static void answerOnceAsked(Socket connection) {
    Thread answering =
        new Thread(
            () -> {
              try {
                if (connection.getInputStream().read(new byte[REQUEST_BYTES]) > 0) {
                  connection.getOutputStream().write(RESPONSE);
                }
              } catch (IOException e) {
                // The test is over: it has closed the connection.
              }
            });
    answering.setDaemon(true);
    answering.start();
  }

  /** Guards against answers of a crashed engine that pass for whole: it answers where it can. */
  @Test
  void responseOnAnEarlierConnectionDoesNotShowThatTheEngineRuns() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    EngineInstance engine = new EngineInstance("e", "s", address, "z", 4, false);
    CompletableFuture<Verdict> earlier = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(engine, earlier::complete));
    try (Socket connection = server.accept()) {
      answerOnceAsked(connection);
      assertThat(earlier.get()).isEqualTo(Verdict.ALIVE);
      server.close();
      CompletableFuture<Verdict> later = new CompletableFuture<>();
      eventLoop.execute(() -> probe.check(engine, later::complete));
      answerOnceAsked(connection);
      assertThat(later.get()).isEqualTo(Verdict.UNKNOWN);
    }
  }

  /** Guards against answers of a crashed engine that pass for whole. */
  @Test
  void engineThatRefusesIsNotAliveForAnOpenConnection() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    EngineInstance engine = new EngineInstance("e", "s", address, "z", 4, false);
    eventLoop.execute(
        () -> transport.start(EngineLoadClient.reportCall(protocol, engine), new NoOpListener()));
    try (Socket other = server.accept()) {
      server.close();
      CompletableFuture<Verdict> verdict = new CompletableFuture<>();
      eventLoop.execute(() -> probe.check(engine, verdict::complete));
      assertThat(verdict.get()).isEqualTo(Verdict.UNKNOWN);
      assertThat(other.isClosed()).isFalse();
    }
  }
}
