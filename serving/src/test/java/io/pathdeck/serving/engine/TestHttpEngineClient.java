package io.pathdeck.serving.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.protocol.model.EngineSpec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against taking an engine's late error response to an earlier attempt, received on a reused
 * connection, for the response to the current attempt.
 */
class TestHttpEngineClient {
  private static final String ATTEMPT = "run-1.a.2";
  private static final String EARLIER_ATTEMPT = "run-1.a.1";

  private static final int PIECE_BYTES = 8_192;

  /** Includes what the sockets of both sides buffer. */
  private static final long MAX_SENT_BYTES = 16 << 20;

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private HttpServer engine;
  private HttpEngineClient client;

  @BeforeEach
  void start() throws IOException {
    engine = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    engine.start();
    client = new HttpEngineClient(eventLoops, 2);
  }

  @AfterEach
  void stop() throws IOException {
    client.close();
    engine.stop(0);
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  /** Returns the failure of an attempt after a response with this status and attempt ID or null. */
  private AttemptFailure failure(int status, String echoedAttemptId) throws Exception {
    engine.createContext(
        "/",
        exchange -> {
          if (echoedAttemptId != null) {
            exchange.getResponseHeaders().set(EngineHeaders.REQUEST_ID, echoedAttemptId);
          }
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    return failure();
  }

  private AttemptFailure failure() throws Exception {
    return failureAt(engine.getAddress().getPort());
  }

  private AttemptFailure failureAt(int port) throws Exception {
    String address = "127.0.0.1:" + port;
    EngineSpec spec = new EngineSpec("engine-0", address, "zone-a", "svc", 4, false);
    EngineRequest request =
        new EngineRequest(ATTEMPT, "run-1", "/v1", new byte[0], Priority.BATCH, 0, 2_000, 2_000);
    CompletableFuture<AttemptFailure> failure = new CompletableFuture<>();
    client.start(spec, request, new FailureListener(failure));
    return failure.get(5, TimeUnit.SECONDS);
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 429, 500, 503})
  void errorNamingEarlierAttemptIsBroken(int status) throws Exception {
    assertThat(failure(status, EARLIER_ATTEMPT)).isInstanceOf(AttemptFailure.Broken.class);
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 429, 500, 503})
  void errorNamingNoAttemptIsBroken(int status) throws Exception {
    assertThat(failure(status, null)).isInstanceOf(AttemptFailure.Broken.class);
  }

  @ParameterizedTest
  @ValueSource(ints = {429, 503})
  void refusalNamingThisAttemptIsRefused(int status) throws Exception {
    assertThat(failure(status, ATTEMPT)).isInstanceOf(AttemptFailure.Refused.class);
  }

  @ParameterizedTest
  @ValueSource(ints = {400, 422})
  void clientErrorNamingThisAttemptIsInvalid(int status) throws Exception {
    assertThat(failure(status, ATTEMPT)).isInstanceOf(AttemptFailure.Invalid.class);
  }

  /** Guards against an error without end, which kept an attempt until its whole time was over. */
  @Test
  void errorWithoutEndIsGivenUp() throws Exception {
    CompletableFuture<Long> sentBytes = new CompletableFuture<>();
    engine.createContext(
        "/",
        exchange -> {
          exchange.getResponseHeaders().set(EngineHeaders.REQUEST_ID, ATTEMPT);
          exchange.sendResponseHeaders(400, 0);
          long sent = 0;
          try {
            while (true) {
              exchange.getResponseBody().write(new byte[PIECE_BYTES]);
              sent += PIECE_BYTES;
            }
          } catch (IOException e) {
            sentBytes.complete(sent);
          }
        });
    assertThat(failure()).isInstanceOf(AttemptFailure.Broken.class);
    assertThat(sentBytes.get(5, TimeUnit.SECONDS)).isLessThan(MAX_SENT_BYTES);
  }

  /** Guards against an attempt that completes although the engine ended within its head. */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void headThatBreaksOffIsBroken(boolean reset) throws Exception {
    String head = "HTTP/1.1 200 OK\r\n" + EngineHeaders.REQUEST_ID + ": " + ATTEMPT + "\r\n\r\n";
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      for (int length = 0; length < head.length(); length++) {
        String cutHead = head.substring(0, length);
        CompletableFuture.runAsync(() -> respond(server, cutHead, reset));
        assertThat(failureAt(server.getLocalPort()))
            .as(cutHead)
            .isInstanceOf(AttemptFailure.Broken.class);
      }
    }
  }

  /** Guards against a refusal that breaks off and makes the response to a run pass for another. */
  @Test
  void successAfterRefusalThatBreaksOffIsBroken() throws Exception {
    String refusal = "HTTP/1.1 429 Too Many Requests\r\nServer: e\r\n";
    String success = "HTTP/1.1 200 OK\r\n" + EngineHeaders.REQUEST_ID + ": " + ATTEMPT + "\r\n\r\n";
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      for (int length = 0; length < refusal.length(); length++) {
        String response = refusal.substring(0, length) + success;
        CompletableFuture.runAsync(() -> respond(server, response, false));
        assertThat(failureAt(server.getLocalPort()))
            .as(response)
            .isInstanceOf(AttemptFailure.Broken.class);
      }
    }
  }

  /** The client closes the connection, so that the rest of the response is not read as another. */
  private void assertIsBroken(String head) throws Exception {
    String named = EngineHeaders.REQUEST_ID + ": " + ATTEMPT + "\r\n";
    String response = head + named + "Content-Length: 0\r\n\r\n";
    try (ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      CompletableFuture<Boolean> closed =
          CompletableFuture.supplyAsync(() -> isClosedAfter(server, response));
      assertThat(failureAt(server.getLocalPort())).isInstanceOf(AttemptFailure.Broken.class);
      assertThat(closed.get(5, TimeUnit.SECONDS)).isTrue();
    }
  }

  /** Guards against a status that passes for the engine's verdict on the request. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 x",
        "HTTP/1.1 099 x",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 0429 x",
        "HTTP/1.1 +503 x",
        "HTTP/1.1 600 x",
        "http/1.1 429 x"
      })
  void invalidStatusLineIsBroken(String statusLine) throws Exception {
    assertIsBroken(statusLine + "\r\n");
  }

  /** Guards against a line that passes for a field that the engine did not write. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "X Note: 1",
        "X-Note : 1",
        "X-Note\t: 1",
        "X Note",
        "Content-Length : 9",
        "Transfer-Encoding : chunked",
        "X\u0001Note: 1",
        "X-Note\u007f: 1"
      })
  void invalidFieldNameIsBroken(String line) throws Exception {
    assertIsBroken("HTTP/1.1 422 x\r\n" + line + "\r\n");
    assertIsBroken("HTTP/1.1 429 x\r\n" + line + "\r\n");
  }

  @ParameterizedTest
  @ValueSource(strings = {"gzip", "xchunked", "identity", "gzip, chunked"})
  void otherTransferCodingIsBroken(String coding) throws Exception {
    assertIsBroken("HTTP/1.1 422 x\r\nTransfer-Encoding: " + coding + "\r\n");
  }

  private static boolean isClosedAfter(ServerSocket server, String response) {
    try (Socket connection = server.accept()) {
      connection.setSoTimeout(2_000);
      readRequest(connection);
      connection.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
      return connection.getInputStream().read() < 0;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void respond(ServerSocket server, String response, boolean reset) {
    try (Socket connection = server.accept()) {
      readRequest(connection);
      connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      connection.setSoLinger(reset, 0);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void readRequest(Socket connection) throws IOException {
    StringBuilder request = new StringBuilder();
    while (!request.toString().endsWith("\r\n\r\n")) {
      request.append((char) connection.getInputStream().read());
    }
  }

  private record FailureListener(CompletableFuture<AttemptFailure> failure)
      implements AttemptListener {
    @Override
    public void onLoad(EngineLoad load) {
      // Not under test.
    }

    @Override
    public void onEvents(byte[] events, int tokens) {
      failure.completeExceptionally(new AssertionError("unexpected stream events"));
    }

    @Override
    public void onCompleted() {
      failure.completeExceptionally(new AssertionError("the attempt completed instead of failing"));
    }

    @Override
    public void onFailed(AttemptFailure reason) {
      failure.complete(reason);
    }
  }
}
