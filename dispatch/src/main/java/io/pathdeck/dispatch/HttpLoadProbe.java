package io.pathdeck.dispatch;

import io.netty.channel.EventLoopGroup;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineHeaders;
import io.pathdeck.serving.engine.EngineLoad;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;

/** Reads engine loads from {@code /load} over HTTP. */
final class HttpLoadProbe implements LoadProbe, AutoCloseable {
  private static final int TIMEOUT_MS = 1_000;
  private static final int OK = 200;

  private final AsyncHttpClient client;

  HttpLoadProbe(EventLoopGroup eventLoops) {
    this.client =
        Dsl.asyncHttpClient(
            Dsl.config()
                .setEventLoopGroup(eventLoops)
                .setUseNativeTransport(false)
                .setMaxRequestRetry(0)
                .setConnectTimeout(Duration.ofMillis(TIMEOUT_MS))
                .setRequestTimeout(Duration.ofMillis(TIMEOUT_MS)));
  }

  @Override
  public void probe(EngineSpec engine, Consumer<EngineLoad> listener) {
    client
        .prepareGet("http://" + engine.address() + "/load")
        .execute()
        .toCompletableFuture()
        .thenAccept(
            response -> {
              if (response.getStatusCode() == OK) {
                EngineLoad.parse(response.getHeader(EngineHeaders.LOAD)).ifPresent(listener);
              }
            });
  }

  @Override
  public void close() throws IOException {
    client.close();
  }
}
