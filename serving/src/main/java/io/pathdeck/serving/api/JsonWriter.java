package io.pathdeck.serving.api;

import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.http.Json;

/** Sends the response of a non-streaming request after its last event. */
final class JsonWriter implements ResponseWriter {
  private static final int OK = 200;

  private final HttpExchange exchange;
  private final CompletionAssembler assembler;

  JsonWriter(HttpExchange exchange, boolean chat) {
    this.exchange = exchange;
    this.assembler = new CompletionAssembler(chat);
  }

  @Override
  public boolean onEvents(byte[] events, int tokens) {
    assembler.add(events, tokens);
    return true;
  }

  @Override
  public void complete() {
    exchange.sendJson(OK, Json.encode(assembler.assemble()));
  }

  @Override
  public void fail(ApiError error) {
    exchange.sendError(error);
  }
}
