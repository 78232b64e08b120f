package io.pathdeck.serving.engine;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.protocol.model.EngineSpec;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Failures count for the attempt that they name, and for no other.
 *
 * <p>An engine that answers a second time sends a refusal or failure of an earlier attempt late, in
 * the place of the next answer on a kept connection. Taken for that answer it gives an item up for
 * good, or promises that a request has not run that is running.
 */
class TestHttpEngineClient {
  private static final String ATTEMPT = "run-1.a.2";
  private static final String EARLIER_ATTEMPT = "run-1.a.1";

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

  /** How an attempt fails that is answered with {@code status} naming {@code named}, if any. */
  private AttemptFailure failure(int status, String named) throws Exception {
    engine.createContext(
        "/",
        exchange -> {
          if (named != null) {
            exchange.getResponseHeaders().set(EngineHeaders.REQUEST_ID, named);
          }
          exchange.sendResponseHeaders(status, -1);
          exchange.close();
        });
    String address = "127.0.0.1:" + engine.getAddress().getPort();
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

  private record FailureListener(CompletableFuture<AttemptFailure> failure)
      implements AttemptListener {
    @Override
    public void onLoad(EngineLoad load) {
      // The load is not looked at here.
    }

    @Override
    public void onEvents(byte[] events, int tokens) {
      failure.completeExceptionally(new AssertionError("events came"));
    }

    @Override
    public void onCompleted() {
      failure.completeExceptionally(new AssertionError("it completed"));
    }

    @Override
    public void onFailed(AttemptFailure reason) {
      failure.complete(reason);
    }
  }
}
