package io.pathdeck.serving.engine;

import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.pathdeck.common.http.ResponseHeadValidator;
import io.pathdeck.protocol.model.EngineSpec;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;
import org.asynchttpclient.ListenableFuture;
import org.asynchttpclient.netty.request.NettyRequest;

/** Engine client over HTTP, based on AsyncHttpClient. */
public final class HttpEngineClient implements EngineClient, AutoCloseable {
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int MAX_ERROR_BODY_LENGTH = 64 * 1024;
  private static final long DEFAULT_RETRY_AFTER_MS = 1_000;
  private static final ResponseHeadValidator HEADS =
      new ResponseHeadValidator(List.of(EngineHeaders.REQUEST_ID));

  private final AsyncHttpClient client;

  public HttpEngineClient(EventLoopGroup eventLoops, int maxConnectionsPerEngine) {
    this.client =
        Dsl.asyncHttpClient(
            EngineClientSettings.on(eventLoops)
                .setConnectTimeout(Duration.ofMillis(CONNECT_TIMEOUT_MS))
                .setMaxConnectionsPerHost(maxConnectionsPerEngine)
                .setCompressionEnforced(false)
                .setFollowRedirect(false));
  }

  @Override
  public Call start(EngineSpec engine, EngineRequest request, AttemptListener listener) {
    var builder =
        client
            .preparePost("http://" + engine.address() + request.path())
            .setHeader(HttpHeaderNames.CONTENT_TYPE, "application/json")
            .setHeader(HttpHeaderNames.ACCEPT, "text/event-stream")
            .setHeader(EngineHeaders.REQUEST_ID, request.attemptId())
            .setHeader(EngineHeaders.RESPONSE_ID, request.responseId())
            .setHeader(EngineHeaders.PRIORITY, request.priority().headerValue())
            .setReadTimeout(Duration.ofMillis(request.idleTimeoutMs()))
            .setRequestTimeout(Duration.ofMillis(request.totalTimeoutMs()))
            .setBody(request.body());
    if (request.resumeAfter() > 0) {
      builder.setHeader(EngineHeaders.LAST_EVENT_ID, Integer.toString(request.resumeAfter()));
    }
    StreamHandler handler = new StreamHandler(request, listener);
    ListenableFuture<Void> future = builder.execute(handler);
    return () -> {
      handler.silence();
      future.abort(new CancellationException("cancelled"));
    };
  }

  @Override
  public void close() throws IOException {
    client.close();
  }

  /** Translates HTTP callbacks into attempt events, with exactly one final event. */
  private static final class StreamHandler implements AsyncHandler<Void> {
    private final EngineRequest request;
    private final AttemptListener listener;
    private final SseReader reader;
    private final ByteArrayOutputStream errorBody = new ByteArrayOutputStream();
    private int status;
    private String reasonPhrase;
    private boolean leaving;
    private long retryAfterMs = DEFAULT_RETRY_AFTER_MS;
    private volatile boolean sent;
    private volatile boolean ended;

    StreamHandler(EngineRequest request, AttemptListener listener) {
      this.request = request;
      this.listener = listener;
      this.reader = new SseReader(request.resumeAfter());
    }

    void silence() {
      ended = true;
    }

    @Override
    public void onRequestSend(NettyRequest nettyRequest) {
      sent = true;
    }

    @Override
    public State onStatusReceived(HttpResponseStatus responseStatus) {
      status = responseStatus.getStatusCode();
      reasonPhrase = responseStatus.getStatusText();
      return ended ? State.ABORT : State.CONTINUE;
    }

    @Override
    public State onHeadersReceived(HttpHeaders headers) {
      if (ended) {
        return State.ABORT;
      }
      Optional<String> problem = HEADS.problemOf(reasonPhrase, headers);
      if (problem.isPresent()) {
        fail(new AttemptFailure.Broken(problem.get()));
        return State.ABORT;
      }
      // An engine may send a second, late response, which arrives in place of the next one. An
      // error response without this attempt's ID says nothing about this attempt.
      if (!request.attemptId().equals(headers.get(EngineHeaders.REQUEST_ID))) {
        fail(new AttemptFailure.Broken("the answer does not name this attempt"));
        return State.ABORT;
      }
      EngineLoad.parse(headers.get(EngineHeaders.LOAD)).ifPresent(listener::onLoad);
      leaving = Boolean.parseBoolean(headers.get(EngineHeaders.LEAVING));
      retryAfterMs = retryAfterMs(headers.get(HttpHeaderNames.RETRY_AFTER));
      return State.CONTINUE;
    }

    private static long retryAfterMs(String seconds) {
      try {
        return seconds == null ? DEFAULT_RETRY_AFTER_MS : Long.parseLong(seconds) * 1_000;
      } catch (NumberFormatException e) {
        return DEFAULT_RETRY_AFTER_MS;
      }
    }

    @Override
    public State onBodyPartReceived(HttpResponseBodyPart part) {
      if (ended) {
        return State.ABORT;
      }
      if (status != OK) {
        return collectError(part.getBodyPartBytes());
      }
      reader.read(part.getBodyPartBytes());
      if (reader.load() != null) {
        listener.onLoad(reader.load());
      }
      byte[] events = reader.events();
      if (events.length > 0) {
        listener.onEvents(events, reader.tokens());
      }
      if (reader.problem() != null) {
        fail(new AttemptFailure.Broken(reader.problem()));
        return State.ABORT;
      }
      return State.CONTINUE;
    }

    private State collectError(byte[] bytes) {
      if (errorBody.size() + bytes.length > MAX_ERROR_BODY_LENGTH) {
        fail(new AttemptFailure.Broken("the body of the error " + status + " is too long"));
        return State.ABORT;
      }
      errorBody.writeBytes(bytes);
      return State.CONTINUE;
    }

    @Override
    public Void onCompleted() {
      if (ended) {
        return null;
      }
      if (status == OK && reader.hasEndMarker()) {
        ended = true;
        listener.onCompleted();
      } else {
        fail(classify());
      }
      return null;
    }

    private AttemptFailure classify() {
      if (status == OK) {
        return new AttemptFailure.Broken("the stream ended without its end marker");
      }
      if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
        return new AttemptFailure.Refused(status, leaving, retryAfterMs);
      }
      if (status >= INTERNAL_SERVER_ERROR) {
        return new AttemptFailure.Broken("the engine answered " + status);
      }
      return new AttemptFailure.Invalid(status, errorBody.toByteArray());
    }

    @Override
    public void onThrowable(Throwable cause) {
      if (ended) {
        return;
      }
      String reason = cause.getClass().getSimpleName() + ": " + cause.getMessage();
      fail(sent ? new AttemptFailure.Broken(reason) : new AttemptFailure.ConnectFailed(reason));
    }

    private void fail(AttemptFailure failure) {
      ended = true;
      listener.onFailed(failure);
    }
  }
}
