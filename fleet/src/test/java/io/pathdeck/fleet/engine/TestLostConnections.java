package io.pathdeck.fleet.engine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * An engine may accept connections and close each one at the next request. Its losses must not pass
 * for connections closed for being idle, or the gateway sends it one request after the other.
 */
class TestLostConnections {
  private static final long IDLE_MS = 600;
  private static final long BOUND_MS = 5_000;
  private static final byte[] RESPONSE =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII);

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final NettyEngineTransport transport =
      new NettyEngineTransport(eventLoop, new PlainEngineProtocol(""));
  private ServerSocket server;
  private EngineInstance engine;
  private volatile boolean down;
  private int calls;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    String address = "127.0.0.1:" + server.getLocalPort();
    engine = new EngineInstance("e", "s", address, "z", 4, false);
    startThread(
        () -> {
          while (true) {
            Socket socket = server.accept();
            startThread(() -> serve(socket));
          }
        });
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private interface IoAction {
    void run() throws IOException;
  }

  private static void startThread(IoAction action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (IOException e) {
                // The socket was closed.
              }
            });
    thread.setDaemon(true);
    thread.start();
  }

  /** Answers calls; closes the connection at a call while down. */
  private void serve(Socket socket) throws IOException {
    InputStream input = socket.getInputStream();
    StringBuilder received = new StringBuilder();
    for (int next = input.read(); next >= 0 && !down; next = input.read()) {
      received.append((char) next);
      if (received.toString().endsWith("\r\n\r\n")) {
        received.setLength(0);
        socket.getOutputStream().write(RESPONSE);
      }
    }
    socket.close();
  }

  private Optional<EngineFailure> call() throws Exception {
    CallOutcome outcome = new CallOutcome();
    EngineCall call =
        new EngineCall(
            engine,
            HttpMethod.POST,
            "/" + calls++,
            "h",
            EngineCall.NO_REQUEST_ID,
            new EngineTenant.PassThrough(),
            new DefaultHttpHeaders(),
            new byte[0],
            1_000,
            -1);
    eventLoop.execute(() -> transport.start(call, outcome));
    return outcome.failureWithin(BOUND_MS);
  }

  @Test
  void lossOfRecentlyUsedConnectionIsFailureOfEngine() throws Exception {
    assertThat(call()).isEmpty();
    down = true;
    assertThat(call()).contains(EngineFailure.CONNECTION_ENDED);
  }

  @Test
  void lossOfIdleConnectionIsNot() throws Exception {
    assertThat(call()).isEmpty();
    Thread.sleep(IDLE_MS);
    down = true;
    assertThat(call()).contains(EngineFailure.CLOSED_BEFORE_ANSWER);
  }
}
