package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.fleet.engine.EngineFailure;
import io.pathdeck.fleet.engine.EngineListener;
import io.pathdeck.fleet.engine.EngineLivenessProbe;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.NettyEngineTransport;
import io.pathdeck.fleet.engine.PlainEngineProtocol;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Answers without a length of an engine of which another life runs when they end. */
@Timeout(10)
class TestAnswersAroundRestarts {
  private static final long LISTED_BORN_MS = 1_000;
  private static final long MINUTE_MS = 60_000;
  private static final int REQUEST_BYTES = 4_096;
  private static final byte[] REPORT =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final CompletableFuture<String> outcome = new CompletableFuture<>();
  private ServerSocket server;
  private long runningBornMs;
  private final PlainEngineProtocol protocol = new PlainEngineProtocol("", () -> runningBornMs);

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private final class OutcomeListener implements EngineListener {
    @Override
    public void onHead(EngineResponse response) {}

    @Override
    public void onBody(byte[] part) {}

    @Override
    public void onEnd() {
      outcome.complete("whole");
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      outcome.complete(failure.name());
    }
  }

  /** Ends an answer in order, and reports the life that runs by then. */
  private String outcomeOfClosedAnswer() throws Exception {
    EngineTransport connections =
        (call, listener) -> {
          listener.onClose();
          return () -> {};
        };
    NettyEngineTransport probeTransport = new NettyEngineTransport(eventLoop, protocol);
    QuarantiningTransport transport =
        new QuarantiningTransport(
            connections,
            protocol,
            new EngineLivenessProbe(eventLoop, probeTransport, protocol),
            new EngineCrashReporter(eventLoop, null, () -> {}),
            CrashSuspects.PROMPT_PARTS,
            eventLoop,
            engine -> {});
    eventLoop.execute(() -> transport.start(call(), new OutcomeListener()));
    try (Socket probe = server.accept()) {
      probe.getInputStream().read(new byte[REQUEST_BYTES]);
      probe.getOutputStream().write(REPORT);
      return outcome.get();
    }
  }

  private EngineCall call() {
    String address = "127.0.0.1:" + server.getLocalPort();
    return new EngineCall(
        new EngineInstance("e", "s", address, "z", 4, false, LISTED_BORN_MS),
        HttpMethod.GET,
        "/",
        "h",
        EngineCall.NO_REQUEST_ID,
        new EngineTenant.PassThrough(),
        new DefaultHttpHeaders(),
        new byte[0],
        1_000,
        -1);
  }

  /** Guards against an answer cut by a crash that passes for whole since the engine runs again. */
  @Test
  void answerOfALifeThatHasEndedIsNotWhole() throws Exception {
    runningBornMs = System.currentTimeMillis() + MINUTE_MS;
    assertThat(outcomeOfClosedAnswer()).isEqualTo(EngineFailure.CONNECTION_ENDED.name());
  }

  /** Guards against a sound answer that is failed since the list shows an earlier life. */
  @Test
  void answerOfALifeThatIsNotListedYetIsWhole() throws Exception {
    runningBornMs = System.currentTimeMillis() - MINUTE_MS;
    assertThat(outcomeOfClosedAnswer()).isEqualTo("whole");
  }
}
