package io.pathdeck.testkit.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import io.pathdeck.serving.http.Json;
import io.pathdeck.testkit.engine.EmulatedText;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.asynchttpclient.AsyncHandler;
import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.HttpResponseBodyPart;
import org.asynchttpclient.HttpResponseStatus;

/** Sends one online request as any HTTP client would, and checks the answer word for word. */
final class OnlineCaller implements AsyncHandler<Void> {
  private static final int OK = 200;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final byte[] EVENT_PREFIX = "data: ".getBytes(StandardCharsets.UTF_8);

  private final LoadStatistics statistics;
  private final ObjectNode request;
  private final boolean stream;

  /** Whether its times count; those of the warm-up do not. */
  private final boolean measured;

  private final long sentAtNs = System.nanoTime();
  private final CompletableFuture<Void> done = new CompletableFuture<>();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private final StringBuilder text = new StringBuilder();
  private byte[] pending = new byte[0];
  private int status;
  private long lastTokenAtNs;
  private boolean endMarker;
  private boolean errorEvent;

  private OnlineCaller(LoadStatistics statistics, ObjectNode request, boolean measured) {
    this.statistics = statistics;
    this.measured = measured;
    this.request = request;
    this.stream = request.path("stream").asBoolean();
  }

  /** Sends the request; the future completes when the answer has been checked. */
  static CompletableFuture<Void> send(
      AsyncHttpClient client,
      String baseUrl,
      String key,
      ObjectNode request,
      boolean measured,
      LoadStatistics statistics) {
    OnlineCaller caller = new OnlineCaller(statistics, request, measured);
    statistics.onSent();
    client
        .preparePost(baseUrl + "/v1/chat/completions")
        .setHeader("authorization", "Bearer " + key)
        .setHeader("content-type", "application/json")
        .setBody(Json.encode(request))
        .execute(caller);
    return caller.done;
  }

  @Override
  public State onStatusReceived(HttpResponseStatus responseStatus) {
    status = responseStatus.getStatusCode();
    return State.CONTINUE;
  }

  @Override
  public State onHeadersReceived(HttpHeaders headers) {
    return State.CONTINUE;
  }

  @Override
  public State onBodyPartReceived(HttpResponseBodyPart part) {
    if (status == OK && stream) {
      acceptEvents(part.getBodyPartBytes());
    } else {
      body.writeBytes(part.getBodyPartBytes());
    }
    return State.CONTINUE;
  }

  private void acceptEvents(byte[] bytes) {
    byte[] all = new byte[pending.length + bytes.length];
    System.arraycopy(pending, 0, all, 0, pending.length);
    System.arraycopy(bytes, 0, all, pending.length, bytes.length);
    int start = 0;
    for (int i = 1; i < all.length; i++) {
      if (all[i] == '\n' && all[i - 1] == '\n') {
        acceptLines(all, start, i - 1);
        start = i + 1;
      }
    }
    pending = java.util.Arrays.copyOfRange(all, start, all.length);
  }

  /** Passes over an engine's {@code id} line and comments; nodes send neither. */
  private void acceptLines(byte[] bytes, int from, int to) {
    int start = from;
    while (start < to && bytes[start] != EVENT_PREFIX[0]) {
      while (start < to && bytes[start] != '\n') {
        start++;
      }
      start++;
    }
    if (start < to) {
      acceptEvent(bytes, start + EVENT_PREFIX.length, to);
    }
  }

  private void acceptEvent(byte[] bytes, int from, int to) {
    if (bytes[from] == '[') {
      endMarker = true;
      return;
    }
    ObjectNode event = Json.parseObject(bytes, from, to - from).orElse(Json.object());
    errorEvent |= event.has("error");
    String content = event.path("choices").path(0).path("delta").path("content").asText("");
    if (!content.isEmpty()) {
      onToken();
      text.append(content);
    }
  }

  private void onToken() {
    long nowNs = System.nanoTime();
    if (!measured) {
      lastTokenAtNs = nowNs;
    } else if (lastTokenAtNs == 0) {
      statistics.onFirstToken(nowNs - sentAtNs);
    } else {
      statistics.onGap(nowNs - lastTokenAtNs);
    }
    lastTokenAtNs = nowNs;
    statistics.onTokens(1);
  }

  @Override
  public Void onCompleted() {
    if (status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE) {
      statistics.onRefused();
    } else if (status != OK) {
      statistics.onFailed("status " + status + ": " + body.toString(StandardCharsets.UTF_8));
    } else {
      check();
    }
    done.complete(null);
    return null;
  }

  private void check() {
    String expected = EmulatedText.answer(request);
    if (stream && (errorEvent || !endMarker)) {
      statistics.onFailed("the stream ended with an error after " + text.length() + " characters");
    } else if (stream && !text.toString().equals(expected)) {
      statistics.onWrong("a streamed answer differs from the expected one");
    } else if (!stream && !jsonText().equals(expected)) {
      statistics.onWrong("an answer differs from the expected one");
    } else {
      statistics.onAnswered();
    }
  }

  private String jsonText() {
    return Json.parseObject(body.toByteArray())
        .orElse(Json.object())
        .path("choices")
        .path(0)
        .path("message")
        .path("content")
        .asText();
  }

  @Override
  public void onThrowable(Throwable cause) {
    statistics.onFailed(String.valueOf(cause));
    done.complete(null);
  }
}
