package io.pathdeck.protocol.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.protocol.client.ControllerEndpoint;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.Ping;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;

/**
 * A connection to one other process, re-established on demand.
 *
 * <p>All state belongs to one event loop. Requests are bounded in number and time; each future
 * completes exactly once, on the event loop.
 */
public final class PeerClient implements ControllerEndpoint, AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(PeerClient.class);

  /**
   * Shorter than the second after which TCP repeats a lost SYN: a machine that was off when the
   * first one arrived is asked again soon after its start.
   */
  private static final int CONNECT_TIMEOUT_MS = 300;

  private static final long RECONNECT_DELAY_NS = TimeUnit.MILLISECONDS.toNanos(200);
  private static final long PROBE_AFTER_NS = TimeUnit.MILLISECONDS.toNanos(600);
  private static final long PROBE_TIMEOUT_MS = 1_000;

  /**
   * How much may wait for the network before one-way messages are dropped: more than a leader has
   * on its way to one member, so that entries and the heartbeats behind them are not.
   */
  private static final WriteBufferWaterMark WRITE_BUFFER =
      new WriteBufferWaterMark(512 * 1024, 1024 * 1024);

  private static final int MAX_PENDING_REQUESTS = 4_096;

  private final HostPort address;
  private final EventLoop eventLoop;
  private final Bootstrap bootstrap;
  private final Map<Long, Pending> pending = new HashMap<>();
  private final LongAdder dropped = new LongAdder();
  private final List<Runnable> waitingForConnection = new ArrayList<>();
  private Channel channel;
  private boolean connecting;
  private boolean closed;
  private boolean attemptedBefore;
  private long lastAttemptNs;
  private long nextCorrelationId = 1;
  private long lastReadNs;
  private boolean pingOutstanding;

  private record Pending(CompletableFuture<Result<Message, TransportError>> reply) {}

  /** Prepares a client of {@code address} that compresses no frames. */
  public PeerClient(HostPort address, EventLoopGroup eventLoops, TransportTls tls) {
    this(address, eventLoops, tls, FrameCompression.OFF);
  }

  /** Prepares a client of {@code address} whose frames nobody counts. */
  public PeerClient(
      HostPort address, EventLoopGroup eventLoops, TransportTls tls, FrameCompression compression) {
    this(address, eventLoops, tls, compression, FrameMeter.NONE);
  }

  /** Prepares a client of {@code address}; it connects with the first message. */
  public PeerClient(
      HostPort address,
      EventLoopGroup eventLoops,
      TransportTls tls,
      FrameCompression compression,
      FrameMeter meter) {
    this.address = address;
    this.eventLoop = eventLoops.next();
    this.bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WRITE_BUFFER)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel created) {
                    tls.client()
                        .ifPresent(
                            ssl ->
                                created
                                    .pipeline()
                                    .addLast(
                                        ssl.newHandler(
                                            created.alloc(), address.host(), address.port())));
                    created.pipeline().addLast(new FlushConsolidationHandler());
                    created.pipeline().addLast(new FrameCodec(compression, meter));
                    created.pipeline().addLast(new ReplyHandler());
                  }
                });
  }

  /** The address of the other process. */
  public HostPort address() {
    return address;
  }

  /** How many one-way messages were dropped; thread-safe. */
  public long droppedMessages() {
    return dropped.sum();
  }

  /** Sends a one-way message; it is dropped when there is no connection or it is congested. */
  public void send(Message message) {
    eventLoop.execute(
        () ->
            whenConnected(
                () -> {
                  if (isConnected() && channel.isWritable()) {
                    channel.writeAndFlush(new Frame(Frame.Kind.ONE_WAY, 0, message));
                    probeIfSilent();
                  } else {
                    dropped.increment();
                  }
                }));
  }

  @Override
  public CompletableFuture<Result<Message, TransportError>> request(
      Message message, long timeoutMs) {
    CompletableFuture<Result<Message, TransportError>> reply = new CompletableFuture<>();
    eventLoop.execute(() -> whenConnected(() -> sendRequest(message, timeoutMs, reply)));
    return reply;
  }

  private void sendRequest(
      Message message, long timeoutMs, CompletableFuture<Result<Message, TransportError>> reply) {
    if (!isConnected()) {
      reply.complete(Result.err(TransportError.NOT_CONNECTED));
      return;
    }
    if (pending.size() >= MAX_PENDING_REQUESTS) {
      reply.complete(Result.err(TransportError.OVERLOADED));
      return;
    }
    long correlationId = nextCorrelationId++;
    pending.put(correlationId, new Pending(reply));
    channel.writeAndFlush(new Frame(Frame.Kind.REQUEST, correlationId, message));
    probeIfSilent();
    var timeout =
        eventLoop.schedule(
            () -> complete(correlationId, Result.err(TransportError.TIMED_OUT)),
            timeoutMs,
            TimeUnit.MILLISECONDS);
    reply.whenComplete((result, failure) -> timeout.cancel(false));
  }

  /**
   * Asks a peer that has said nothing for a while for a sign of life, and closes the connection
   * when none comes: a connection through a cut or to a machine without power would hang otherwise.
   */
  private void probeIfSilent() {
    if (pingOutstanding || System.nanoTime() - lastReadNs < PROBE_AFTER_NS) {
      return;
    }
    pingOutstanding = true;
    Channel probed = channel;
    probed.writeAndFlush(new Frame(Frame.Kind.REQUEST, 0, new Ping()));
    eventLoop.schedule(
        () -> {
          if (pingOutstanding && probed == channel) {
            EVENTS.log(EventCode.CONNECTION_FAILED, "peer", address, "reason", "silent");
            probed.close();
          }
        },
        PROBE_TIMEOUT_MS,
        TimeUnit.MILLISECONDS);
  }

  private void complete(long correlationId, Result<Message, TransportError> result) {
    Pending request = pending.remove(correlationId);
    if (request != null) {
      request.reply().complete(result);
    }
  }

  private boolean isConnected() {
    return channel != null && channel.isActive();
  }

  private void whenConnected(Runnable action) {
    if (isConnected() || closed) {
      action.run();
      return;
    }
    boolean tooSoon = attemptedBefore && System.nanoTime() - lastAttemptNs < RECONNECT_DELAY_NS;
    if (!connecting && tooSoon) {
      action.run();
      return;
    }
    if (waitingForConnection.size() < MAX_PENDING_REQUESTS) {
      waitingForConnection.add(action);
    } else {
      action.run();
    }
    if (!connecting) {
      connect();
    }
  }

  private void connect() {
    connecting = true;
    attemptedBefore = true;
    lastAttemptNs = System.nanoTime();
    bootstrap
        .connect(address.toSocketAddress())
        .addListener((ChannelFuture future) -> onConnectFinished(future));
  }

  private void onConnectFinished(ChannelFuture future) {
    connecting = false;
    if (future.isSuccess()) {
      channel = future.channel();
      lastReadNs = System.nanoTime();
      pingOutstanding = false;
      if (closed) {
        channel.close();
      }
    } else {
      EVENTS.log(
          EventCode.CONNECTION_FAILED, "peer", address, "reason", future.cause().getMessage());
    }
    List<Runnable> actions = new ArrayList<>(waitingForConnection);
    waitingForConnection.clear();
    actions.forEach(Runnable::run);
  }

  /** Closes the connection; waiting requests complete with an error. */
  @Override
  public void close() {
    eventLoop.execute(
        () -> {
          closed = true;
          if (channel != null) {
            channel.close();
          }
        });
  }

  private final class ReplyHandler extends SimpleChannelInboundHandler<Frame> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
      lastReadNs = System.nanoTime();
      pingOutstanding = false;
      if (frame.kind() == Frame.Kind.REPLY) {
        complete(frame.correlationId(), Result.ok(frame.message()));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (channel == context.channel()) {
        channel = null;
      }
      List<Pending> lost = new ArrayList<>(pending.values());
      pending.clear();
      lost.forEach(request -> request.reply().complete(Result.err(TransportError.CONNECTION_LOST)));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      boolean strangeBytes = cause instanceof CorruptedFrameException;
      EVENTS.log(
          strangeBytes ? EventCode.FRAME_REJECTED : EventCode.CONNECTION_FAILED,
          "peer",
          address,
          "reason",
          String.valueOf(cause));
      context.close();
    }
  }
}
