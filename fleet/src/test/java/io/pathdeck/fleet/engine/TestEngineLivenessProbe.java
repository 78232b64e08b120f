package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.engine.EngineLivenessProbe.Verdict;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(10)
class TestEngineLivenessProbe {
  private static final long LATER_MS = 10;
  private static final int REQUEST_BYTES = 4_096;
  private static final int TASKS_UNTIL_CONNECT = 10;
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final PlainEngineProtocol protocol = new PlainEngineProtocol("");
  private final NettyEngineTransport transport = new NettyEngineTransport(eventLoop, protocol);
  private final EngineLivenessProbe probe = new EngineLivenessProbe(eventLoop, transport, protocol);

  private ServerSocket server;
  private EngineInstance engine;

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

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    engine = new EngineInstance("e", "s", address, "z", 4, false);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  /** Guards against a crash that passes for a lost connection, so that nothing is held back. */
  @Test
  void engineWhoseOtherConnectionsCloseALittleLaterHasEnded() throws Exception {
    eventLoop.execute(() -> probe.check(engine, ignored -> {}));
    Socket other = server.accept();
    server.close();
    CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    EngineLivenessProbe second = new EngineLivenessProbe(eventLoop, transport, protocol);
    eventLoop.execute(() -> second.check(engine, result -> verdict.complete(result.verdict())));
    Thread.sleep(LATER_MS);
    other.close();
    assertThat(verdict.get()).isEqualTo(Verdict.ENDED);
  }

  /** Guards against a crash that is not recorded since the port closes after the connections. */
  @Test
  void engineWhosePortClosesALittleLaterHasEnded() throws Exception {
    CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(engine, result -> verdict.complete(result.verdict())));
    server.accept().close();
    server.accept().close();
    server.close();
    assertThat(verdict.get()).isEqualTo(Verdict.ENDED);
  }

  /** Guards against a crash that is not recorded since the port closes while the probe connects. */
  @Test
  void engineThatResetsNewConnectionsWhileItEndsHasEnded() throws Exception {
    CompletableFuture<Verdict> verdict = new CompletableFuture<>();
    CountDownLatch connecting = new CountDownLatch(1);
    CountDownLatch closed = new CountDownLatch(1);
    eventLoop.execute(
        () -> {
          probe.check(engine, result -> verdict.complete(result.verdict()));
          afterFurtherTasks(
              TASKS_UNTIL_CONNECT,
              () -> {
                connecting.countDown();
                awaitUninterruptibly(closed);
              });
        });
    connecting.await();
    server.close();
    closed.countDown();
    assertThat(verdict.get()).isEqualTo(Verdict.ENDED);
  }

  /** Runs {@code action} before the event loop looks at its channels again. */
  private void afterFurtherTasks(int tasks, Runnable action) {
    if (tasks == 0) {
      action.run();
    } else {
      eventLoop.execute(() -> afterFurtherTasks(tasks - 1, action));
    }
  }

  private static void awaitUninterruptibly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Guards against a response to an earlier probe that passes for a sign of life. */
  @Test
  void responseToAnEarlierProbeDoesNotShowThatTheEngineRunsNow() throws Exception {
    CompletableFuture<Verdict> earlier = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(engine, result -> earlier.complete(result.verdict())));
    Socket connection = server.accept();
    connection.getInputStream().read();
    CompletableFuture<Verdict> later = new CompletableFuture<>();
    eventLoop.submit(() -> probe.check(engine, result -> later.complete(result.verdict()))).sync();
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
    CompletableFuture<Verdict> earlier = new CompletableFuture<>();
    eventLoop.execute(() -> probe.check(engine, result -> earlier.complete(result.verdict())));
    try (Socket connection = server.accept()) {
      answerOnceAsked(connection);
      assertThat(earlier.get()).isEqualTo(Verdict.ALIVE);
      server.close();
      CompletableFuture<Verdict> later = new CompletableFuture<>();
      eventLoop.execute(() -> probe.check(engine, result -> later.complete(result.verdict())));
      answerOnceAsked(connection);
      assertThat(later.get()).isEqualTo(Verdict.UNKNOWN);
    }
  }

  /** Guards against answers of a crashed engine that pass for whole. */
  @Test
  void engineThatRefusesIsNotAliveForAnOpenConnection() throws Exception {
    eventLoop.execute(() -> transport.start(callWithoutTimeout(), new NoOpListener()));
    try (Socket other = server.accept()) {
      server.close();
      CompletableFuture<Verdict> verdict = new CompletableFuture<>();
      eventLoop.execute(() -> probe.check(engine, result -> verdict.complete(result.verdict())));
      assertThat(verdict.get()).isEqualTo(Verdict.UNKNOWN);
      assertThat(other.isClosed()).isFalse();
    }
  }

  /** Returns a call whose connection stays open, however late the probe comes. */
  private EngineCall callWithoutTimeout() {
    EngineCall call = EngineLoadClient.reportCall(protocol, engine);
    return new EngineCall(
        call.engine(),
        call.method(),
        call.uri(),
        call.host(),
        call.requestId(),
        call.tenant(),
        call.headers(),
        call.body(),
        0,
        call.resumeAfter());
  }
}
