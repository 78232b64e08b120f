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
import io.pathdeck.fleet.adapter.EngineAnswer;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One connection to one life of an engine.
 *
 * <p>An engine may answer twice, the second time late, in the place of the next answer on the
 * connection. Its answers name the request, not the send. So a connection carries each request once
 * only, and an answer belongs to the call under way only if it names the call's request. A failure
 * that names none may be the second answer to a call without a request, and breaks the call off as
 * one that may have run. An answer that names another request is skipped. What arrives while no
 * call is under way belongs to nobody. A connection on which something was dropped is not kept.
 */
final class EngineConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final EventLog EVENTS = EventLog.of(EngineConnection.class);
  private static final String NOTHING = "";

  /**
   * Bounds what a connection remembers, about 90 bytes an id and so 23 KB, at the price of one new
   * connection in 256 calls.
   */
  private static final int MAX_REQUESTS = 256;

  /** How much sooner than the engine this side gives an idle connection up. */
  private static final long IDLE_MARGIN_MS = 600;

  private enum Reading {
    HEAD,
    BODY,
    SKIPPED_BODY
  }

  private final NettyEngineTransport owner;
  private final EngineProtocol protocol;
  private final EngineInstance engine;
  private final Set<String> carriedRequests = new HashSet<>();
  private ChannelHandlerContext context;
  private PendingCall current;
  private ChannelFuture requestWritten;
  private Reading reading = Reading.HEAD;
  private boolean keepAlive;
  private boolean usedBefore;
  private boolean anythingRead;
  private boolean droppedAnything;
  private boolean closing;
  private int callsEnded;
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

  /** Whether an answer to {@code requestId} could not be taken for one to an earlier send of it. */
  boolean mayCarry(String requestId) {
    return !carriedRequests.contains(requestId);
  }

  void send(PendingCall call) {
    current = call;
    if (call.call().isOfRequest()) {
      carriedRequests.add(call.call().requestId());
    }
    call.sentOn(this);
    reading = Reading.HEAD;
    anythingRead = false;
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

  /** Keeps a connection that came up after its call was given up. */
  void release() {
    idleSinceNs = System.nanoTime();
    owner.keep(this);
  }

  void pauseReading() {
    context.channel().config().setAutoRead(false);
  }

  void resumeReading() {
    context.channel().config().setAutoRead(true);
  }

  void close() {
    closing = true;
    current = null;
    context.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
    if (message.decoderResult().isFailure()) {
      breakOff("not an answer: " + message.decoderResult().cause());
      return;
    }
    if (closing) {
      return;
    }
    if (current == null) {
      logDropped(message, "no call is under way");
      owner.discard(this);
      close();
      return;
    }
    anythingRead = true;
    if (message instanceof HttpResponse head) {
      readHead(head);
    }
    if (message instanceof HttpContent content && current != null) {
      readBody(content);
    }
  }

  private void readHead(HttpResponse head) {
    HttpResponseStatus status = head.status();
    if (status.codeClass() == HttpStatusClass.INFORMATIONAL) {
      reading = Reading.SKIPPED_BODY;
      return;
    }
    EngineAnswer answer = protocol.read(head);
    boolean success = status.codeClass() == HttpStatusClass.SUCCESS;
    if (!answer.requestId().equals(current.call().requestId())) {
      logDropped(head, "it names another request");
      droppedAnything = true;
      reading = Reading.SKIPPED_BODY;
      if (!success && answer.requestId().equals(EngineCall.NO_REQUEST)) {
        breakOff("a failure that names no request");
      }
      return;
    }
    if (success && current.call().isOfRequest() && !answer.signed()) {
      breakOff("a success without a signature");
      return;
    }
    reading = Reading.BODY;
    keepAlive = HttpUtil.isKeepAlive(head) && !lacksLength(head);
    engineIdleTimeoutMs = answer.idleTimeoutMs();
    current.listener().onHead(answer);
  }

  private void logDropped(HttpObject message, String reason) {
    String named = NOTHING;
    String status = NOTHING;
    if (message instanceof HttpResponse head) {
      named = protocol.read(head).requestId();
      status = String.valueOf(head.status().code());
    }
    EVENTS.log(
        EventCode.ENGINE_ANSWER_DROPPED,
        "engine",
        engine.id(),
        "awaited",
        current == null ? NOTHING : current.call().requestId(),
        "named",
        named,
        "status",
        status,
        "reason",
        reason,
        "calls",
        callsEnded);
  }

  private static boolean lacksLength(HttpResponse head) {
    return !HttpUtil.isTransferEncodingChunked(head) && !HttpUtil.isContentLengthSet(head);
  }

  private void readBody(HttpContent content) {
    if (reading == Reading.BODY && content.content().isReadable()) {
      current.listener().onBody(ByteBufUtil.getBytes(content.content()));
    }
    if (content instanceof LastHttpContent && current != null) {
      if (reading == Reading.BODY) {
        endCall();
      }
      reading = Reading.HEAD;
    }
  }

  private void endCall() {
    PendingCall ended = current;
    current = null;
    callsEnded++;
    resumeReading();
    if (isReusable()) {
      usedBefore = true;
      idleSinceNs = System.nanoTime();
      owner.keep(this);
    } else {
      close();
    }
    ended.end();
  }

  private boolean isReusable() {
    boolean undisturbed = requestWritten.isDone() && !droppedAnything;
    boolean hasRoom = carriedRequests.size() < MAX_REQUESTS;
    return keepAlive && undisturbed && hasRoom && context.channel().isActive();
  }

  private void breakOff(String reason) {
    fail(EngineFailure.BROKEN, reason);
  }

  private void onLost(String reason) {
    boolean silent = usedBefore && !anythingRead;
    fail(silent ? EngineFailure.CLOSED_BEFORE_ANSWER : EngineFailure.CONNECTION_ENDED, reason);
  }

  private void fail(EngineFailure failure, String reason) {
    PendingCall broken = current;
    close();
    if (broken != null) {
      broken.fail(failure, reason);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    if (current != null) {
      onLost("the connection ended");
    } else if (!closing && usedBefore) {
      long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - idleSinceNs);
      owner.onIdleClosed(this, engine.service(), idleMs);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (cause instanceof IOException) {
      onLost(String.valueOf(cause));
    } else {
      breakOff(String.valueOf(cause));
    }
  }
}
