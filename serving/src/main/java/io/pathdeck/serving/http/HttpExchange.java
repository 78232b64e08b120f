package io.pathdeck.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/**
 * A request and its response. Any thread may send the response; only the first call that ends it
 * takes effect.
 */
public final class HttpExchange {
  private static final long MILLIS_PER_SECOND = 1_000;

  /** The maximum number of unsent bytes; writes beyond it are rejected. */
  private static final int MAX_PENDING_BYTES = 4 * 1024 * 1024;

  private final Channel channel;
  private final HttpRequest request;
  private final byte[] body;
  private final ConnectionMemory memory;
  private final QueryStringDecoder uri;
  private final Runnable connectionCallback;
  private volatile Runnable endListener = () -> {};
  private volatile Runnable sentListener = () -> {};
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger pendingBytes = new AtomicInteger();
  private volatile boolean streaming;
  private volatile boolean closesAfterResponse;
  private volatile ChannelFutureListener closer = ChannelFutureListener.CLOSE;
  private volatile Runnable disconnectListener = () -> {};
  private volatile Runnable partWrittenListener = () -> {};

  HttpExchange(
      Channel channel,
      HttpRequest request,
      byte[] body,
      ConnectionMemory memory,
      Runnable connectionCallback) {
    this.channel = channel;
    this.request = request;
    this.body = body;
    this.memory = memory;
    this.uri = new QueryStringDecoder(request.uri());
    this.connectionCallback = connectionCallback;
    this.closesAfterResponse = !HttpUtil.isKeepAlive(request);
  }

  public HttpMethod method() {
    return request.method();
  }

  /** Returns the path and query as received. */
  public String uri() {
    return request.uri();
  }

  /** Returns the path without the query as received, so an encoded slash separates nothing. */
  public String path() {
    return uri.rawPath();
  }

  /**
   * Decodes a part of a path, such as an id. If that fails, the exception that a handler passes on
   * becomes an error response.
   */
  public static String decode(String pathPart) {
    return decode(() -> new QueryStringDecoder(pathPart).path());
  }

  /** Returns the first value of a query parameter, or null; fails as {@link #decode(String)}. */
  public String queryParameter(String name) {
    List<String> values = decode(uri::parameters).get(name);
    return values == null ? null : values.get(0);
  }

  private static <T> T decode(Supplier<T> decoder) {
    try {
      return decoder.get();
    } catch (IllegalArgumentException e) {
      throw new MalformedUriException(e);
    }
  }

  public HttpHeaders headers() {
    return request.headers();
  }

  HttpRequest request() {
    return request;
  }

  public byte[] body() {
    return body;
  }

  /** Returns the memory accounting of this request and its response. */
  public ConnectionMemory memory() {
    return memory;
  }

  /** Sets the action to run if the caller disconnects before the end of the response. */
  public void setDisconnectListener(Runnable action) {
    disconnectListener = action;
  }

  /** Sets the action to run when the response is sent or aborted. */
  void setEndListener(Runnable action) {
    endListener = action;
  }

  /** Sets the action to run on the event loop when the response is sent or its connection ends. */
  public void setSentListener(Runnable action) {
    sentListener = action;
  }

  private void notifyEndListeners() {
    endListener.run();
    connectionCallback.run();
  }

  void handleDisconnect() {
    if (ended.compareAndSet(false, true)) {
      notifyEndListeners();
      disconnectListener.run();
    }
  }

  /** Closes the connection after this response. */
  public void closeAfterResponse() {
    closesAfterResponse = true;
  }

  /** Closes the connection after this response by {@code newCloser}. */
  void closeAfterResponse(ChannelFutureListener newCloser) {
    closer = newCloser;
    closesAfterResponse = true;
  }

  /** Returns whether the response has ended or the caller has disconnected. */
  public boolean isEnded() {
    return ended.get();
  }

  // ---- complete responses

  /** Sends a JSON response. */
  public void sendJson(int status, byte[] json) {
    send(status, "application/json", json);
  }

  /** Sends an error response. */
  public void sendError(ApiError error) {
    sendError(error, Map.of());
  }

  /** Sends an error response with additional headers. */
  public void sendError(ApiError error, Map<String, String> headers) {
    FullHttpResponse response = fullResponse(error.status(), "application/json", error.toJson());
    headers.forEach(response.headers()::set);
    if (error.retryAfterMs() > 0) {
      long seconds = (error.retryAfterMs() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    sendFull(response);
  }

  /** Sends a complete response. */
  public void send(int status, String contentType, byte[] content) {
    send(status, contentType, content, Map.of());
  }

  /** Sends a complete response with additional headers. */
  public void send(int status, String contentType, byte[] content, Map<String, String> headers) {
    FullHttpResponse response = fullResponse(status, contentType, content);
    headers.forEach(response.headers()::set);
    sendFull(response);
  }

  private static FullHttpResponse fullResponse(int status, String contentType, byte[] content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    return response;
  }

  private void sendFull(FullHttpResponse response) {
    if (!ended.compareAndSet(false, true)) {
      response.release();
      return;
    }
    finish(response);
  }

  /** Sends a complete response with these headers and the content length. */
  public void send(int status, HttpHeaders headers, byte[] content) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            Unpooled.wrappedBuffer(content));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    sendFull(response);
  }

  // ---- streamed responses

  /** Sends the head of a streamed response with these headers. */
  public void startStream(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    writeStreamHead(response);
  }

  /** Sends the head of a streamed response. */
  public void startStream(String contentType) {
    startStream(contentType, Map.of());
  }

  /** Sends the head of a streamed response with additional headers. */
  public void startStream(String contentType, Map<String, String> headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    headers.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    writeStreamHead(response);
  }

  private void writeStreamHead(HttpResponse response) {
    if (ended.get()) {
      return;
    }
    if (acceptsChunks()) {
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      closesAfterResponse = true;
      setReset(true);
    }
    if (closesAfterResponse) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    streaming = true;
    channel.write(response, channel.voidPromise());
  }

  /** Returns whether the caller knows chunks; for others, a stream ends with the connection. */
  private boolean acceptsChunks() {
    return request.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
  }

  /** Sets whether a close resets the connection, so that an incomplete body does not look whole. */
  private void setReset(boolean reset) {
    try {
      channel.config().setOption(ChannelOption.SO_LINGER, reset ? 0 : -1);
    } catch (ChannelException e) {
      // The connection is closed, which another thread may have done just now.
    }
  }

  /** Returns whether {@link #startStream} was called. */
  public boolean isStreaming() {
    return streaming;
  }

  /** Writes part of a streamed response; returns false if too many bytes are unsent. */
  public boolean write(byte[] part) {
    if (ended.get()) {
      return true;
    }
    if (pendingBytes.addAndGet(part.length) > MAX_PENDING_BYTES) {
      return false;
    }
    if (!memory.tryReserveResponse(part.length)) {
      return false;
    }
    ByteBuf buffer = Unpooled.wrappedBuffer(part);
    channel
        .writeAndFlush(new DefaultHttpContent(buffer))
        .addListener(future -> handlePartWritten(part.length));
    return true;
  }

  private void handlePartWritten(int length) {
    pendingBytes.addAndGet(-length);
    memory.releaseResponse(length);
    partWrittenListener.run();
  }

  /** Returns the number of unsent bytes of a streamed response. */
  public int pendingBytes() {
    return pendingBytes.get();
  }

  /** Sets the action to run on the event loop after each sent part of a stream. */
  public void setPartWrittenListener(Runnable action) {
    partWrittenListener = action;
  }

  /** Runs {@code action} after all previous writes have been sent. */
  public void runAfterWrites(Runnable action) {
    channel
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            future -> {
              if (future.isSuccess()) {
                action.run();
              }
            });
  }

  /** Ends a streamed response. */
  public void endStream() {
    if (ended.compareAndSet(false, true)) {
      finish(LastHttpContent.EMPTY_LAST_CONTENT);
    }
  }

  /** Closes the connection without completing the response. */
  public void abort() {
    if (ended.compareAndSet(false, true)) {
      channel.close();
      notifyEndListeners();
    }
  }

  /** Closes the connection, even if a completed response is not fully sent. */
  public void forceClose() {
    abort();
    channel.close();
  }

  private void finish(Object last) {
    if (closesAfterResponse && last instanceof HttpResponse response) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    channel.writeAndFlush(last).addListener((ChannelFutureListener) this::onLastWritten);
  }

  /** Closes the connection before the next request is read from it, if it must not be reused. */
  private void onLastWritten(ChannelFuture written) throws Exception {
    sentListener.run();
    if (streaming && !acceptsChunks() && written.isSuccess()) {
      setReset(false);
    }
    if (closesAfterResponse) {
      closer.operationComplete(written);
    } else if (!written.isSuccess()) {
      channel.close();
    }
    notifyEndListeners();
  }
}
