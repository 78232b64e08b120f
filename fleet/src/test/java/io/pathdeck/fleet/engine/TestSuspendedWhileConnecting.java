package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A process that is suspended while a connection comes up must not act on its old choice. */
class TestSuspendedWhileConnecting {
  private static final long SUSPENDED_MS = 1_200;

  private static final class SilentProtocol implements EngineProtocol {
    @Override
    public FullHttpRequest write(EngineCall call) {
      return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri());
    }

    @Override
    public String requestIdOf(HttpResponse head) {
      throw new AssertionError("the engine never responds");
    }

    @Override
    public List<String> uniqueHeaders() {
      return List.of();
    }

    @Override
    public EngineResponse read(HttpResponse head, EngineCall call) {
      throw new AssertionError("the engine never responds");
    }

    @Override
    public List<String> sharedPromptParts(EngineCall call) {
      return List.of();
    }

    @Override
    public String reportPath() {
      return "/load";
    }

    @Override
    public Optional<EngineLoadReport> readReport(byte[] body) {
      return Optional.empty();
    }
  }

  private static final class FailureListener implements EngineListener {
    private final CompletableFuture<EngineFailure> failure = new CompletableFuture<>();

    @Override
    public void onHead(EngineResponse head) {}

    @Override
    public void onBody(byte[] part) {}

    @Override
    public void onEnd() {}

    @Override
    public void onFailure(EngineFailure cause, String reason) {
      failure.complete(cause);
    }
  }

  @Test
  void callIsNotSentAfterSuspension() throws Exception {
    EventLoopGroup eventLoops = EventLoops.create(1);
    EventLoop eventLoop = eventLoops.next();
    try (ServerSocket engine = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
      String address = "127.0.0.1:" + engine.getLocalPort();
      EngineCall call =
          new EngineCall(
              new EngineInstance("e", "s", address, "z", 8, false),
              HttpMethod.POST,
              "/",
              "h",
              "r",
              new EngineTenant.Named("t"),
              new DefaultHttpHeaders(),
              new byte[0],
              1_000,
              -1);
      FailureListener listener = new FailureListener();
      NettyEngineTransport transport = new NettyEngineTransport(eventLoop, new SilentProtocol());
      eventLoop.execute(
          () -> {
            transport.start(call, listener);
            suspend();
          });
      assertThat(listener.failure.get(5, TimeUnit.SECONDS)).isEqualTo(EngineFailure.NOT_SENT);
    } finally {
      eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
  }

  private static void suspend() {
    try {
      TimeUnit.MILLISECONDS.sleep(SUSPENDED_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
