package io.pathdeck.dispatch;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaders;
import io.pathdeck.common.http.ResponseHeadValidator;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineClientSettings;
import io.pathdeck.serving.engine.EngineHeaders;
import io.pathdeck.serving.engine.EngineLoad;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/** Reads engine loads from {@code /load} over HTTP. */
final class HttpLoadProbe implements LoadProbe, AutoCloseable {
  private static final int TIMEOUT_MS = 1_000;
  private static final int OK = 200;

  /** Loads are told in the head; a body says nothing. */
  private static final int MAX_BODY_BYTES = 64 * 1024;

  private static final ResponseHeadValidator HEADS =
      new ResponseHeadValidator(List.of(EngineHeaders.LOAD));

  private final AsyncHttpClient client;

  HttpLoadProbe(EventLoopGroup eventLoops) {
    this.client =
        Dsl.asyncHttpClient(
            EngineClientSettings.on(eventLoops)
                .setConnectTimeout(Duration.ofMillis(TIMEOUT_MS))
                .setRequestTimeout(Duration.ofMillis(TIMEOUT_MS)));
  }

  @Override
  public void probe(EngineSpec engine, Consumer<EngineLoad> listener) {
    client
        .prepareGet("http://" + engine.address() + "/load")
        .execute(new LoadHandler())
        .toCompletableFuture()
        .thenAccept(load -> load.ifPresent(listener));
  }

  /** Reads the load from the head, and the body up to a limit so that the connection is kept. */
  private static final class LoadHandler implements AsyncHandler<Optional<EngineLoad>> {
    private HttpResponseStatus status;
    private int bodyBytes;
    private Optional<EngineLoad> load = Optional.empty();

    @Override
    public State onStatusReceived(HttpResponseStatus receivedStatus) {
      status = receivedStatus;
      return State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
      if (HEADS.problemOf(status.getStatusText(), headers).isPresent()) {
        return State.ABORT;
      }
      if (status.getStatusCode() == OK) {
        load = EngineLoad.parse(headers.get(EngineHeaders.LOAD));
      }
      return State.CONTINUE;
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
      bodyBytes += part.length();
      return bodyBytes <= MAX_BODY_BYTES ? State.CONTINUE : State.ABORT;
    }

    @Override
    public void onThrowable(Throwable cause) {
      // The load stays as it was last known.
    }

    @Override
    public Optional<EngineLoad> onCompleted() {
      return load;
    }
  }

  @Override
  public void close() throws IOException {
    client.close();
  }
}
