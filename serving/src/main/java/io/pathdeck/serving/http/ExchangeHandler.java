package io.pathdeck.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.pathdeck.common.http.ReadTurns;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Reads the requests of one connection, one at a time; a pipelined request waits for the end of the
 * previous response.
 */
final class ExchangeHandler extends ChannelInboundHandlerAdapter {
  private static final int MAX_PIPELINED_MESSAGES = 64;
  private static final long RETRY_AFTER_MS = 2_000;
  private static final ApiError CUT_BY_STOP =
      ApiError.failed(504, "stopping", "this process stops before the request has ended", true);

  /** The tenant of a request whose headers have not been authenticated. */
  private static final String UNKNOWN_TENANT = "";

  private final HttpLimits limits;
  private final ConnectionMemory memory;
  private final ReadTurns readTurns;
  private final PipelinedMessages pipelined;
  private final Consumer<HttpExchange> dispatcher;
  private ChannelHandlerContext context;
  private ReadTurns.Reader reader;
  private HttpRequest request;
  private CompositeByteBuf body;
  private HttpExchange exchange;
  private ScheduledFuture<?> readTimeout;
  private boolean rejected;

  ExchangeHandler(
      HttpLimits limits,
      ConnectionMemory memory,
      ReadTurns readTurns,
      BodyBudget pipelinedBudget,
      Consumer<HttpExchange> dispatcher) {
    this.memory = memory;
    this.readTurns = readTurns;
    this.pipelined = new PipelinedMessages(pipelinedBudget);
    this.limits = limits;
    this.dispatcher = dispatcher;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    reader = readTurns.reader(ctx.channel());
  }

  @Override
  public void channelActive(ChannelHandlerContext ctx) {
    context = ctx;
    startReadTimeout();
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reader.onReadComplete();
    ctx.fireChannelReadComplete();
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    reader.onMessage();
    if (rejected) {
      ReferenceCountUtil.release(message);
    } else if (exchange != null) {
      enqueuePipelined(message);
    } else {
      processMessage(message);
    }
  }

  private void enqueuePipelined(Object message) {
    if (!pipelined.offer(message)) {
      ReferenceCountUtil.release(message);
      discardPipelined();
    }
    updateReading();
  }

  /** Reads no further requests for want of memory; the connection ends with the response. */
  private void discardPipelined() {
    rejected = true;
    pipelined.releaseAll();
    exchange.closeAfterResponse(new LingeringClose());
    context.executor().execute(this::removeDecoder);
  }

  /** Frees the decoder's buffer; what the caller still sends is discarded undecoded. */
  private void removeDecoder() {
    HttpServerCodec codec = context.pipeline().get(HttpServerCodec.class);
    if (codec != null) {
      codec.removeInboundHandler();
    }
  }

  /** Stops reading while many messages wait, so that a caller cannot fill the memory with them. */
  private void updateReading() {
    boolean discards = exchange != null && rejected;
    if (!discards && pipelined.size() < MAX_PIPELINED_MESSAGES) {
      reader.resume();
    } else {
      reader.pause();
    }
  }

  private void processMessage(Object message) {
    if (message instanceof HttpRequest head) {
      processHead(head);
    }
    if (message instanceof HttpContent content) {
      processContent(content);
    }
  }

  private void processHead(HttpRequest head) {
    request = head;
    body = Unpooled.compositeBuffer(1024);
    memory.setOwner(UNKNOWN_TENANT, this::rejectOutOfMemory);
    if (head.decoderResult().isFailure()) {
      rejectMalformed();
      return;
    }
    if (hasUnknownEncoding(head)) {
      reject(ApiError.notImplemented("the only transfer encoding supported is chunked"));
      return;
    }
    if (head.method().equals(HttpMethod.CONNECT)) {
      reject(ApiError.notImplemented("tunnels are not supported"));
      return;
    }
    long length = HttpUtil.getContentLength(head, 0L);
    if (length > maxBodyLength()) {
      reject(ApiError.tooLarge("the body is larger than " + maxBodyLength() + " bytes"));
    } else if (HttpUtil.is100ContinueExpected(head)) {
      context.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Whether the body has an encoding that is not removed on receipt. */
  private static boolean hasUnknownEncoding(HttpRequest head) {
    return head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
        .anyMatch(encoding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encoding));
  }

  private int maxBodyLength() {
    boolean upload = request.uri().startsWith("/v1/files");
    return upload ? limits.maxUploadBytes() : limits.maxBodyBytes();
  }

  private void processContent(HttpContent content) {
    ByteBuf data = content.content();
    if (rejected || request == null) {
      data.release();
      return;
    }
    if (content.decoderResult().isFailure()) {
      data.release();
      rejectMalformed();
      return;
    }
    if (body.readableBytes() + data.readableBytes() > maxBodyLength()) {
      data.release();
      reject(ApiError.tooLarge("the body is larger than " + maxBodyLength() + " bytes"));
      return;
    }
    int length = data.readableBytes();
    if (!memory.tryReserveBody(length)) {
      data.release();
      rejectOutOfMemory();
      return;
    }
    body.addComponent(true, data);
    if (content instanceof LastHttpContent) {
      dispatch();
    }
  }

  private void rejectMalformed() {
    reject(ApiError.invalid("bad_request", "the request is not valid HTTP"));
  }

  private boolean rejectOutOfMemory() {
    reject(ApiError.unavailable("overloaded", "too many large requests at a time", RETRY_AFTER_MS));
    return true;
  }

  private void dispatch() {
    cancelReadTimeout();
    memory.disableEviction();
    byte[] bytes = new byte[body.readableBytes()];
    body.readBytes(bytes);
    releaseBody();
    exchange = new HttpExchange(context.channel(), request, bytes, memory, this::onExchangeEnd);
    request = null;
    try {
      dispatcher.accept(exchange);
    } catch (MalformedUriException e) {
      exchange.sendError(ApiError.invalid("bad_request", e.getMessage()));
    } catch (RuntimeException e) {
      exchange.abort();
      throw e;
    }
  }

  /** Sends an error before the request was fully read; the connection is not reusable. */
  private void reject(ApiError error) {
    reject(error, Map.of());
  }

  private void reject(ApiError error, Map<String, String> headers) {
    rejected = true;
    cancelReadTimeout();
    pipelined.releaseAll();
    HttpExchange errorExchange =
        new HttpExchange(context.channel(), request, new byte[0], memory, () -> {});
    request.headers().set(HttpHeaderNames.CONNECTION, "close");
    errorExchange.closeAfterResponse(new LingeringClose());
    errorExchange.sendError(error, headers);
    releaseBody();
    memory.releaseAll();
  }

  /** Closes the connection after the current response, unless that is already streaming. */
  void closeAfterResponse() {
    if (exchange != null && !exchange.isStreaming()) {
      exchange.closeAfterResponse();
    }
  }

  /** Closes the connection unless a request is partly read, queued or awaiting its response. */
  void closeIfIdle() {
    if (exchange == null && request == null && pipelined.isEmpty()) {
      context.close();
    }
  }

  /**
   * Ends the request in progress, if any, and the connection after it. A request that a handler has
   * may have run.
   */
  void end() {
    if (exchange != null && exchange.isStreaming()) {
      exchange.abort();
    } else if (exchange != null) {
      exchange.closeAfterResponse();
      exchange.sendError(CUT_BY_STOP);
    } else if (request != null && !rejected) {
      reject(HttpServer.STOPPING, HttpServer.RETRY_IMMEDIATELY);
    } else {
      closeIfIdle();
    }
  }

  private void onExchangeEnd() {
    context.executor().execute(this::startNextExchange);
  }

  private void startNextExchange() {
    exchange = null;
    memory.releaseAll();
    if (context.channel().isActive()) {
      startReadTimeout();
      while (!pipelined.isEmpty() && exchange == null) {
        processMessage(pipelined.poll());
      }
      updateReading();
    }
  }

  private void startReadTimeout() {
    cancelReadTimeout();
    readTimeout =
        context
            .executor()
            .schedule(this::onReadTimeout, limits.readTimeoutMs(), TimeUnit.MILLISECONDS);
  }

  private void onReadTimeout() {
    if (request != null && !rejected) {
      reject(
          new ApiError(
              408,
              "invalid_request_error",
              "request_timeout",
              "the request came too slowly",
              true,
              0));
    } else if (exchange == null) {
      context.close();
    }
  }

  private void cancelReadTimeout() {
    if (readTimeout != null) {
      readTimeout.cancel(false);
      readTimeout = null;
    }
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    cancelReadTimeout();
    releaseBody();
    memory.releaseAll();
    pipelined.releaseAll();
    if (exchange != null) {
      exchange.handleDisconnect();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    ctx.close();
  }
}
