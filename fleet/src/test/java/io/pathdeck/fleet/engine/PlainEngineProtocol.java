package io.pathdeck.fleet.engine;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/** Calls that name their request, and answers that may name it, have a stamp and tell no load. */
public final class PlainEngineProtocol implements EngineProtocol {
  private static final String ID = "x-id";
  private static final String STAMP = "x-stamp";

  private final String unnamedId;
  private final LongSupplier reportedBornMs;

  /** Takes an answer that names no request for one to {@code unnamedId}. */
  public PlainEngineProtocol(String unnamedId) {
    this(unnamedId, () -> EngineInstance.BORN_UNKNOWN);
  }

  /** Reads from each report that the engine's life began at {@code reportedBornMs}. */
  public PlainEngineProtocol(String unnamedId, LongSupplier reportedBornMs) {
    this.unnamedId = unnamedId;
    this.reportedBornMs = reportedBornMs;
  }

  @Override
  public FullHttpRequest write(EngineCall call) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, call.method(), call.uri(), Unpooled.wrappedBuffer(call.body()));
    request.headers().set(ID, call.requestId());
    request.headers().set(HttpHeaderNames.CONTENT_LENGTH, call.body().length);
    return request;
  }

  @Override
  public String requestIdOf(HttpResponse head) {
    return head.headers().get(ID, unnamedId);
  }

  @Override
  public List<String> uniqueHeaders() {
    return List.of(ID, STAMP);
  }

  @Override
  public EngineResponse read(HttpResponse head, EngineCall call) {
    return new EngineResponse(
        head.status().code(),
        requestIdOf(head),
        true,
        false,
        false,
        false,
        null,
        0,
        0,
        EngineResponse.COLD_UNKNOWN,
        head.headers().copy());
  }

  @Override
  public List<String> sharedPromptParts(EngineCall call) {
    return List.of();
  }

  @Override
  public String reportPath() {
    return "/load";
  }

  @Override
  public Optional<EngineLoadReport> readReport(byte[] body) {
    return Optional.of(new EngineLoadReport(0, 0, 0, reportedBornMs.getAsLong()));
  }
}
