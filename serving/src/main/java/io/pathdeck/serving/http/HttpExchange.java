package io.pathdeck.serving.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
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

/**
 * One request of a caller and its response. Responses may be sent from any thread; whoever ends the
 * response first wins, later ends are ignored.
 */
public final class HttpExchange {
  private static final long MILLIS_PER_SECOND = 1_000;

  /** The most bytes that may wait for a slow caller before it is given up. */
  private static final int MAX_PENDING_BYTES = 4 * 1024 * 1024;

  private final Channel channel;
  private final HttpRequest request;
  private final byte[] body;
  private final ConnectionMemory memory;
  private final QueryStringDecoder uri;
  private final Runnable connectionCallback;
  private volatile Runnable endListener = () -> {};
  private final AtomicBoolean ended = new AtomicBoolean();
  private final AtomicInteger pendingBytes = new AtomicInteger();
  private volatile boolean streaming;
  private volatile boolean closesAfterResponse;
  private volatile Runnable disconnectListener = () -> {};
  private volatile Runnable partWrittenListener = () -> {};

  HttpExchange(
      Channel channel, HttpRequest request, byte[] body, ConnectionMemory memory, Runnable onEnd) {
    this.channel = channel;
    this.request = request;
    this.body = body;
    this.memory = memory;
    this.uri = new QueryStringDecoder(request.uri());
    this.connectionCallback = onEnd;
    this.closesAfterResponse = !HttpUtil.isKeepAlive(request);
  }

  public HttpMethod method() {
    return request.method();
  }

  /** The path with the query, as the caller sent it. */
  public String uri() {
    return request.uri();
  }

  /** The path without the query. */
  public String path() {
    return uri.path();
  }

  /** The first value of a query parameter, or null. */
  public String queryParameter(String name) {
    List<String> values = uri.parameters().get(name);
    return values == null ? null : values.get(0);
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

  /** What is kept in memory for this request and its answer. */
  public ConnectionMemory memory() {
    return memory;
  }

  /** Runs {@code action} if the caller disconnects before the response has ended. */
  public void setDisconnectListener(Runnable action) {
    disconnectListener = action;
  }

  /** Runs {@code observer} when the response has been sent or given up. */
  void setEndListener(Runnable observer) {
    endListener = observer;
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

  /** Whether the response has been ended, or the caller is gone. */
  public boolean isEnded() {
    return ended.get();
  }

  // ---- whole responses

  /** Sends a JSON response. */
  public void sendJson(int status, byte[] json) {
    send(status, "application/json", json);
  }

  /** Sends an error response. */
  public void sendError(ApiError error) {
    sendError(error, Map.of());
  }

  /** Sends an error response with further headers. */
  public void sendError(ApiError error, Map<String, String> headers) {
    FullHttpResponse response = fullResponse(error.status(), "application/json", error.toJson());
    headers.forEach(response.headers()::set);
    if (error.retryAfterMs() > 0) {
      long seconds = (error.retryAfterMs() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
      response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }
    sendFull(response);
  }

  /** Sends a whole response. */
  public void send(int status, String contentType, byte[] content) {
    send(status, contentType, content, Map.of());
  }

  /** Sends a whole response with further headers. */
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

  /** Sends a whole response with exactly these headers and the body's length. */
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

  /** Sends the head of a chunked response with exactly these headers. */
  public void startStream(int status, HttpHeaders headers) {
    HttpResponse response =
        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
    response.headers().set(headers);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    if (closesAfterResponse) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    streaming = true;
    channel.write(response, channel.voidPromise());
  }

  /** Sends the head of a chunked response. */
  public void startStream(String contentType) {
    startStream(contentType, Map.of());
  }

  /** Sends the head of a chunked response with further headers. */
  public void startStream(String contentType, Map<String, String> headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    headers.forEach(response.headers()::set);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    response.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    streaming = true;
    channel.write(response, channel.voidPromise());
  }

  /** Whether {@link #startStream} was called. */
  public boolean isStreaming() {
    return streaming;
  }

  /** Sends a part of a streamed response; returns false when the caller takes it too slowly. */
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

  /** How many bytes of a streamed response the caller has not taken yet. */
  public int pendingBytes() {
    return pendingBytes.get();
  }

  /** Runs {@code action} on the event loop whenever the caller has taken a part of a stream. */
  public void setPartWrittenListener(Runnable action) {
    partWrittenListener = action;
  }

  /** Runs {@code action} once all that was written so far has left this process. */
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

  /** Closes the connection without ending the response properly. */
  public void abort() {
    if (ended.compareAndSet(false, true)) {
      channel.close();
      notifyEndListeners();
    }
  }

  /** Closes the connection, also while an ended response waits for a slow caller. */
  public void forceClose() {
    abort();
    channel.close();
  }

  private void finish(Object last) {
    if (closesAfterResponse && last instanceof HttpResponse response) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    ChannelFuture written = channel.writeAndFlush(last);
    written.addListener(future -> notifyEndListeners());
    if (closesAfterResponse) {
      written.addListener(ChannelFutureListener.CLOSE);
    }
  }
}
