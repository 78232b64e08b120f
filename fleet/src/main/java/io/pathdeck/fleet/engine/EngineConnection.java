package io.pathdeck.fleet.engine;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.ReadTurns;
import io.pathdeck.common.http.ResponseHeadValidator;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A connection to one engine instance; carries one call at a time.
 *
 * <p>An engine may respond twice to a call, so that the second response arrives while the next call
 * on the connection waits for its own. A response contains the id of its request, but does not
 * identify the attempt. So a connection carries each request id only once, and accepts a response
 * only if its request id is that of the current call. Other responses are dropped, and so is data
 * that arrives without a call in progress. An error response without a request id cannot be
 * attributed to a call, so it is dropped and fails the current call, whose request may have run. A
 * connection that dropped anything is not reused. A head of several responses fails the call, and
 * so does a body with another one within; events are checked by their receiver.
 *
 * <p>A response without a length or chunks ends with the engine's end of stream. That is read from
 * the open channel, which therefore allows half-closure. A channel that has closed shows no end: a
 * write that fails closes it, too, and takes the error of a reset from the reader.
 */
final class EngineConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final EventLog EVENTS = EventLog.of(EngineConnection.class);
  private static final String NO_VALUE = "";
  private static final long NANOS_PER_MS = 1_000_000;

  /**
   * Bounds the memory for {@link #sentRequestIds} to about 23 KB, at 90 bytes per id. It costs one
   * new connection in 256 calls.
   */
  private static final int MAX_REQUESTS_PER_CONNECTION = 256;

  /** Idle connections are closed this long before the engine's own idle timeout. */
  private static final long IDLE_MARGIN_MS = 600;

  /**
   * Engines keep idle connections for a second or longer. One that was used within this time before
   * a call was not closed for being idle, so its loss is a failure of the engine.
   */
  private static final long MIN_IDLE_TIMEOUT_MS = 500;

  private enum ReadState {
    HEAD,
    BODY,
    IGNORED_BODY
  }

  private final NettyEngineTransport owner;
  private final EngineProtocol protocol;
  private final EngineInstance engine;
  private final ResponseHeadValidator validator;
  private final Set<String> sentRequestIds = new HashSet<>();
  private ChannelHandlerContext context;
  private ReadTurns.Reader reader;
  private PendingCall currentCall;
  private ResponseLimit limit;
  private ChannelFuture requestWrite;
  private ReadState readState = ReadState.HEAD;
  private boolean success;
  private boolean keepAlive;
  private boolean closeDelimited;
  private EmbeddedHeadDetector embeddedHeads;
  private boolean usedBefore;

  /**
   * Whether bytes have arrived since the call began or, between calls, since the last one ended.
   */
  private boolean receivedBytes;

  private boolean responseDropped;
  private boolean closing;
  private int completedCalls;
  private long idleSinceNs;
  private boolean sentAfterIdling;
  private long engineIdleTimeoutMs;

  EngineConnection(NettyEngineTransport owner, EngineProtocol protocol, EngineInstance engine) {
    this.owner = owner;
    this.protocol = protocol;
    this.engine = engine;
    this.validator = new ResponseHeadValidator(protocol.uniqueHeaders());
  }

  EngineInstance engine() {
    return engine;
  }

  String lifeId() {
    return engine.lifeId();
  }

  String service() {
    return engine.service();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext ctx) {
    context = ctx;
    reader = owner.readTurns().reader(ctx.channel());
  }

  /** Whether this connection has not carried {@code requestId} yet. */
  boolean canSend(String requestId) {
    return !sentRequestIds.contains(requestId);
  }

  /** Whether this connection has carried calls other than requests for load. */
  boolean hasCarriedRequests() {
    return !sentRequestIds.isEmpty();
  }

  void send(PendingCall call) {
    currentCall = call;
    limit = ResponseLimit.of(call.call());
    if (call.call().hasRequestId()) {
      sentRequestIds.add(call.call().requestId());
    }
    call.onSent(this);
    sentAfterIdling =
        usedBefore && System.nanoTime() - idleSinceNs >= MIN_IDLE_TIMEOUT_MS * NANOS_PER_MS;
    readState = ReadState.HEAD;
    receivedBytes = false;
    requestWrite = context.channel().writeAndFlush(protocol.write(call.call()));
  }

  /** Whether this idle connection is open and has been idle for less than the limit. */
  boolean isUsable(long nowNs, long limitMs) {
    long effectiveLimitMs = limitMs;
    if (engineIdleTimeoutMs > 0) {
      effectiveLimitMs = Math.min(effectiveLimitMs, engineIdleTimeoutMs - IDLE_MARGIN_MS);
    }
    return context.channel().isActive() && idleMs(nowNs) < effectiveLimitMs;
  }

  long idleMs(long nowNs) {
    return TimeUnit.NANOSECONDS.toMillis(nowNs - idleSinceNs);
  }

  /** Whether nothing has arrived since the last call, such as a part of a late response. */
  boolean isIdle() {
    return currentCall == null && !receivedBytes;
  }

  /** Makes this new connection available to other calls, since its own call was canceled. */
  void keepUnused() {
    idleSinceNs = System.nanoTime();
    owner.addIdle(this);
  }

  void pauseReading() {
    reader.pause();
  }

  void resumeReading() {
    reader.resume();
  }

  void close() {
    closing = true;
    currentCall = null;
    context.close();
  }

  /** The number of messages that the decoder has got from the connection. */
  int messages() {
    return reader.messages();
  }

  /** Whether the response to the current call has no body. */
  boolean awaitsHeadOnly() {
    return currentCall != null && currentCall.call().method().equals(HttpMethod.HEAD);
  }

  /** Handles bytes before they are decoded. */
  void onBytes() {
    receivedBytes = true;
  }

  /** Handles bytes from which the decoder gets no message. */
  void onUndecodableBytes() {
    abortCall("not an answer: nothing but blank lines");
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    reader.onReadComplete();
    ctx.fireChannelReadComplete();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    reader.onMessage();
    if (message.decoderResult().cause() instanceof PrematureChannelClosureException) {
      // The event of the connection's end follows.
      receivedBytes = true;
      return;
    }
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
    if (message instanceof HttpResponse head) {
      readHead(head);
    }
    if (message instanceof HttpContent content && currentCall != null) {
      readBody(content);
    }
  }

  private void readHead(HttpResponse head) {
    HttpResponseStatus status = head.status();
    Optional<String> problem = validator.problemOf(status.reasonPhrase(), head.headers());
    if (problem.isPresent()) {
      abortCall("not an answer: " + problem.get());
      return;
    }
    if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
      readState = ReadState.IGNORED_BODY;
      if (!limit.allowsInformationalHead()) {
        abortCall("too many informational responses");
      }
      return;
    }
    EngineResponse response = protocol.read(head, currentCall.call());
    success = status.codeClass() == HttpStatusClass.SUCCESS;
    if (!response.requestId().equals(currentCall.call().requestId())) {
      logDropped(head, "it names another request");
      responseDropped = true;
      readState = ReadState.IGNORED_BODY;
      if (!success && response.requestId().equals(EngineCall.NO_REQUEST_ID)) {
        abortCall("a failure that names no request");
      }
      return;
    }
    if (success && currentCall.call().hasRequestId() && !response.stamped()) {
      abortCall("a success without a signature");
      return;
    }
    readState = ReadState.BODY;
    closeDelimited = isCloseDelimited(head);
    embeddedHeads = new EmbeddedHeadDetector(protocol.uniqueHeaders(), sentRequestIds);
    keepAlive = HttpUtil.isKeepAlive(head) && !closeDelimited;
    engineIdleTimeoutMs = response.idleTimeoutMs();
    currentCall.listener().onHead(response);
  }

  private void logDropped(HttpObject message, String reason) {
    String namedRequestId = NO_VALUE;
    String status = NO_VALUE;
    if (message instanceof HttpResponse head) {
      namedRequestId = protocol.requestIdOf(head);
      status = String.valueOf(head.status().code());
    }
    EVENTS.log(
        EventCode.ENGINE_ANSWER_DROPPED,
        "engine",
        engine.id(),
        "awaited",
        currentCall == null ? NO_VALUE : currentCall.call().requestId(),
        "named",
        namedRequestId,
        "status",
        status,
        "reason",
        reason,
        "calls",
        completedCalls);
  }

  private static boolean isCloseDelimited(HttpResponse head) {
    return !HttpUtil.isTransferEncodingChunked(head) && !HttpUtil.isContentLengthSet(head);
  }

  private void readBody(HttpContent content) {
    if (!isWithinLimit(content.content().readableBytes())) {
      abortCall("the response is too long");
      return;
    }
    if (readState == ReadState.BODY && content.content().isReadable()) {
      passOn(ByteBufUtil.getBytes(content.content()));
    }
    if (content instanceof LastHttpContent && currentCall != null) {
      if (readState == ReadState.BODY) {
        completeCall();
      }
      readState = ReadState.HEAD;
    }
  }

  private void passOn(byte[] part) {
    boolean areEventsChecked = success && currentCall.listener().checksEvents();
    if (!areEventsChecked && embeddedHeads.add(part)) {
      abortCall("another response within the body");
    } else {
      currentCall.listener().onBody(part);
    }
  }

  private boolean isWithinLimit(int bytes) {
    return (readState == ReadState.BODY && success)
        ? limit.allowsSuccessfulBody(bytes)
        : limit.allowsUnsuccessfulBody(bytes);
  }

  private void completeCall() {
    boolean endedByClose = closeDelimited && !isInputOpen();
    if (endedByClose && !context.channel().isActive()) {
      onConnectionLost("no end of stream; request write: " + requestWrite.cause());
      return;
    }
    PendingCall completedCall = currentCall;
    currentCall = null;
    completedCalls++;
    receivedBytes = false;
    resumeReading();
    if (isReusable()) {
      usedBefore = true;
      idleSinceNs = System.nanoTime();
      owner.addIdle(this);
    } else {
      close();
    }
    if (endedByClose) {
      completedCall.close();
    } else {
      completedCall.complete();
    }
  }

  private boolean isInputOpen() {
    return !((DuplexChannel) context.channel()).isInputShutdown();
  }

  private boolean isReusable() {
    boolean isClean = requestWrite.isDone() && !responseDropped;
    boolean hasRoom = sentRequestIds.size() < MAX_REQUESTS_PER_CONNECTION;
    boolean isOpen = context.channel().isActive() && !reader.awaitsTurn();
    return keepAlive && isClean && hasRoom && isOpen;
  }

  private void abortCall(String reason) {
    fail(EngineFailure.BROKEN, reason);
  }

  private void onConnectionLost(String reason) {
    boolean closedForIdling = sentAfterIdling && !receivedBytes;
    fail(
        closedForIdling ? EngineFailure.CLOSED_BEFORE_ANSWER : EngineFailure.CONNECTION_ENDED,
        reason);
  }

  private void fail(EngineFailure failure, String reason) {
    PendingCall failedCall = currentCall;
    close();
    if (failedCall != null) {
      failedCall.fail(failure, reason);
    }
  }

  /** Closes the channel after the engine's end of stream, which the decoder has seen by now. */
  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    if (event == ChannelInputShutdownEvent.INSTANCE) {
      ctx.close();
    }
    super.userEventTriggered(ctx, event);
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (currentCall != null) {
      onConnectionLost("the connection ended");
    } else if (!closing && usedBefore) {
      owner.onClosedBetweenCalls(this);
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
