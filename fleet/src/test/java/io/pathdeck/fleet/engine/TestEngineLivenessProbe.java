package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.engine.EngineLivenessProbe.Verdict;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(10)
class TestEngineLivenessProbe {
  private static final long LATER_MS = 10;

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final PlainEngineProtocol protocol = new PlainEngineProtocol("");
  private final NettyEngineTransport transport = new NettyEngineTransport(eventLoop, protocol);
  private final EngineLivenessProbe probe = new EngineLivenessProbe(eventLoop, transport, protocol);

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

  /** Guards against answers of a crashed engine that pass for whole. */
  @Test
  void engineThatRefusesIsNotAliveForAnOpenConnection() throws Exception {
    ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    EngineInstance engine = new EngineInstance("e", "s", address, "z", 4, false);
    eventLoop.execute(() -> probe.check(engine, ignored -> {}));
    try (Socket other = server.accept()) {
      server.close();
      CompletableFuture<Verdict> verdict = new CompletableFuture<>();
      EngineLivenessProbe second = new EngineLivenessProbe(eventLoop, transport, protocol);
      eventLoop.execute(() -> second.check(engine, verdict::complete));
      assertThat(verdict.get()).isEqualTo(Verdict.UNKNOWN);
      assertThat(other.isClosed()).isFalse();
    }
  }
}
