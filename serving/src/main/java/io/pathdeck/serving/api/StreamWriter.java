package io.pathdeck.serving.api;

import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/** Forwards events to the caller of a streaming request. */
final class StreamWriter implements ResponseWriter {
  static final String CONTENT_TYPE = "text/event-stream; charset=utf-8";

  private final HttpExchange exchange;

  StreamWriter(HttpExchange exchange) {
    this.exchange = exchange;
  }

  @Override
  public boolean onEvents(byte[] events, int tokens) {
    if (!exchange.isStreaming()) {
      exchange.startStream(CONTENT_TYPE);
    }
    return exchange.write(events);
  }

  @Override
  public void complete() {
    exchange.endStream();
  }

  @Override
  public void fail(ApiError error) {
    if (!exchange.isStreaming()) {
      exchange.sendError(error);
      return;
    }
    ByteArrayOutputStream event = new ByteArrayOutputStream();
    event.writeBytes("data: ".getBytes(StandardCharsets.UTF_8));
    event.writeBytes(error.toJson());
    event.writeBytes("\n\n".getBytes(StandardCharsets.UTF_8));
    exchange.write(event.toByteArray());
    exchange.closeAfterResponse();
    exchange.endStream();
  }
}
