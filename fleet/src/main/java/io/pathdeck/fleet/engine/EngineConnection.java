package io.pathdeck.fleet.engine;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One connection to one engine instance.
 *
 * <p>An engine may send a second response to a call late, in place of the response to the next call
 * on the connection. Responses name the request but not the attempt. So a connection carries each
 * request only once, and accepts a response only if it names the request of the current call. An
 * error response that names no request may be a second response to a call without a request: it
 * fails the current call as one that may have run. A response that names another request is
 * skipped. Data that arrives without a call in progress is dropped. A connection that dropped
 * anything is not reused.
 */
final class EngineConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final EventLog EVENTS = EventLog.of(EngineConnection.class);
  private static final String NONE = "";

  /**
   * Bounds the request ids kept by a connection to about 23 KB, at 90 bytes each; costs one new
   * connection in 256 calls.
   */
  private static final int MAX_REQUESTS_PER_CONNECTION = 256;

  /** How much earlier than the engine this side stops using an idle connection. */
  private static final long IDLE_MARGIN_MS = 600;

  private enum ReadState {
    HEAD,
    BODY,
    SKIPPED_BODY
  }

  private final NettyEngineTransport owner;
  private final EngineProtocol protocol;
  private final EngineInstance engine;
  private final Set<String> sentRequestIds = new HashSet<>();
  private ChannelHandlerContext context;
  private PendingCall currentCall;
  private ChannelFuture requestWritten;
  private ReadState readState = ReadState.HEAD;
  private boolean keepAlive;
  private boolean usedBefore;
  private boolean responseStarted;
  private boolean responseDropped;
  private boolean closing;
  private int completedCalls;
  private long idleSinceNs;
  private long engineIdleTimeoutMs;

  EngineConnection(NettyEngineTransport owner, EngineProtocol protocol, EngineInstance engine) {
    this.owner = owner;
    this.protocol = protocol;
    this.engine = engine;
  }

  String lifeId() {
    return engine.lifeId();
  }

  String service() {
    return engine.service();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext added) {
    context = added;
  }

  /** Whether {@code requestId} was not sent here before: responses do not tell attempts apart. */
  boolean canSend(String requestId) {
    return !sentRequestIds.contains(requestId);
  }

  void send(PendingCall call) {
    currentCall = call;
    if (call.call().hasRequestId()) {
      sentRequestIds.add(call.call().requestId());
    }
    call.onSent(this);
    readState = ReadState.HEAD;
    responseStarted = false;
    requestWritten = context.channel().writeAndFlush(protocol.write(call.call()));
  }

  /** Whether an idle connection may carry another call. */
  boolean isUsable(long nowNs, long limitMs) {
    long idleMs = TimeUnit.NANOSECONDS.toMillis(nowNs - idleSinceNs);
    long limit = limitMs;
    if (engineIdleTimeoutMs > 0) {
      limit = Math.min(limit, engineIdleTimeoutMs - IDLE_MARGIN_MS);
    }
    return context.channel().isActive() && idleMs < limit;
  }

  /** Keeps a connection that was established after its call was canceled. */
  void keepUnused() {
    idleSinceNs = System.nanoTime();
    owner.addIdle(this);
  }

  void pauseReading() {
    context.channel().config().setAutoRead(false);
  }

  void resumeReading() {
    context.channel().config().setAutoRead(true);
  }

  void close() {
    closing = true;
    currentCall = null;
    context.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      abortCall("not an answer: " + message.decoderResult().cause());
      return;
    }
    if (closing) {
      return;
    }
    if (currentCall == null) {
      logDropped(message, "no call is under way");
      owner.removeIdle(this);
      close();
      return;
    }
    responseStarted = true;
    if (message instanceof HttpResponse head) {
      readHead(head);
    }
    if (message instanceof HttpContent content && currentCall != null) {
      readBody(content);
    }
  }

  private void readHead(HttpResponse head) {
    HttpResponseStatus status = head.status();
    if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
      readState = ReadState.SKIPPED_BODY;
      return;
    }
    EngineResponse response = protocol.read(head);
    boolean success = status.codeClass() == HttpStatusClass.SUCCESS;
    if (!response.requestId().equals(currentCall.call().requestId())) {
      logDropped(head, "it names another request");
      responseDropped = true;
      readState = ReadState.SKIPPED_BODY;
      if (!success && response.requestId().equals(EngineCall.NO_REQUEST_ID)) {
        abortCall("a failure that names no request");
      }
      return;
    }
    if (success && currentCall.call().hasRequestId() && !response.signed()) {
      abortCall("a success without a signature");
      return;
    }
    readState = ReadState.BODY;
    keepAlive = HttpUtil.isKeepAlive(head) && !endsWithConnection(head);
    engineIdleTimeoutMs = response.idleTimeoutMs();
    currentCall.listener().onHead(response);
  }

  private void logDropped(HttpObject message, String reason) {
    String namedRequestId = NONE;
    String status = NONE;
    if (message instanceof HttpResponse head) {
      namedRequestId = protocol.read(head).requestId();
      status = String.valueOf(head.status().code());
    }
    EVENTS.log(
        EventCode.ENGINE_ANSWER_DROPPED,
        "engine",
        engine.id(),
        "awaited",
        currentCall == null ? NONE : currentCall.call().requestId(),
        "named",
        namedRequestId,
        "status",
        status,
        "reason",
        reason,
        "calls",
        completedCalls);
  }

  private static boolean endsWithConnection(HttpResponse head) {
    return !HttpUtil.isTransferEncodingChunked(head) && !HttpUtil.isContentLengthSet(head);
  }

  private void readBody(HttpContent content) {
    if (readState == ReadState.BODY && content.content().isReadable()) {
      currentCall.listener().onBody(ByteBufUtil.getBytes(content.content()));
    }
    if (content instanceof LastHttpContent && currentCall != null) {
      if (readState == ReadState.BODY) {
        completeCall();
      }
      readState = ReadState.HEAD;
    }
  }

  private void completeCall() {
    PendingCall completed = currentCall;
    currentCall = null;
    completedCalls++;
    resumeReading();
    if (isReusable()) {
      usedBefore = true;
      idleSinceNs = System.nanoTime();
      owner.addIdle(this);
    } else {
      close();
    }
    completed.complete();
  }

  private boolean isReusable() {
    boolean clean = requestWritten.isDone() && !responseDropped;
    boolean hasRoom = sentRequestIds.size() < MAX_REQUESTS_PER_CONNECTION;
    return keepAlive && clean && hasRoom && context.channel().isActive();
  }

  private void abortCall(String reason) {
    fail(EngineFailure.BROKEN, reason);
  }

  private void onConnectionLost(String reason) {
    boolean closedBeforeResponse = usedBefore && !responseStarted;
    fail(
        closedBeforeResponse ? EngineFailure.CLOSED_BEFORE_ANSWER : EngineFailure.CONNECTION_ENDED,
        reason);
  }

  private void fail(EngineFailure failure, String reason) {
    PendingCall failed = currentCall;
    close();
    if (failed != null) {
      failed.fail(failure, reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (currentCall != null) {
      onConnectionLost("the connection ended");
    } else if (!closing && usedBefore) {
      long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNs);
      owner.onIdleClosed(this, engine.service(), idleMs);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      onConnectionLost(String.valueOf(cause));
    } else {
      abortCall(String.valueOf(cause));
    }
  }
}
