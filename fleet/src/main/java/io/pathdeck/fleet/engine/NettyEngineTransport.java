package io.pathdeck.fleet.engine;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.pathdeck.common.http.ReadTurns;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Calls engines over persistent HTTP/1.1 connections; confined to one event loop.
 *
 * <p>A connection belongs to one engine instance and carries one call at a time. It can be reused
 * after a complete response, until shortly before the engine's idle timeout.
 */
public final class NettyEngineTransport implements EngineTransport {
  private static final int CONNECT_TIMEOUT_MS = 400;

  /**
   * How often a connection is read before it is the turn of others, which would wait for engines
   * that write without end otherwise.
   */
  private static final int MAX_READS = 4;

  /**
   * How long after the choice of an engine a call may still be sent; only a suspended process
   * exceeds it. Meanwhile the engine may have become one that must get nothing.
   */
  private static final long MAX_CHOICE_AGE_MS = 1_000;

  private static final long SWEEP_INTERVAL_MS = 1_000;
  private static final Deque<EngineConnection> NO_CONNECTIONS = new ArrayDeque<>(0);

  private final EventLoop eventLoop;
  private final EngineProtocol protocol;
  private final Bootstrap bootstrap;
  private final Function<EngineInstance, Optional<ChannelHandler>> meters;
  private final Map<String, Deque<EngineConnection>> idleConnections = new HashMap<>();
  private final Map<String, Integer> openConnectionCounts = new HashMap<>();
  private final IdleTimeouts idleTimeouts = new IdleTimeouts();
  private final ReadTurns readTurns;
  private Consumer<EngineInstance> idleLossListener = engine -> {};
  private long connectionsOpened;

  /** Creates a transport on {@code eventLoop} whose bytes nobody counts. */
  public NettyEngineTransport(EventLoop eventLoop, EngineProtocol protocol) {
    this(eventLoop, protocol, engine -> Optional.empty());
  }

  /**
   * Creates a transport on {@code eventLoop}; {@code meters} returns what counts the bytes of a
   * connection.
   */
  public NettyEngineTransport(
      EventLoop eventLoop,
      EngineProtocol protocol,
      Function<EngineInstance, Optional<ChannelHandler>> meters) {
    this.meters = meters;
    this.eventLoop = eventLoop;
    this.readTurns = new ReadTurns(eventLoop);
    this.protocol = protocol;
    this.bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(
                ChannelOption.RECVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAX_READS))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS);
    eventLoop.scheduleWithFixedDelay(
        this::closeExpired, SWEEP_INTERVAL_MS, SWEEP_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  ReadTurns readTurns() {
    return readTurns;
  }

  /** Number of connections opened so far. */
  public long connectionsOpened() {
    return connectionsOpened;
  }

  /**
   * Sets what is told when an engine has closed its last connection between calls: for being idle,
   * or because it has ended.
   */
  public void setIdleLossListener(Consumer<EngineInstance> listener) {
    idleLossListener = listener;
  }

  /** Applies the list of engines; must be called on the event loop. */
  public void onListed(Map<String, EngineInstance> engines) {
    idleTimeouts.onListed(
        engines.values().stream().map(EngineInstance::lifeId).collect(Collectors.toSet()));
  }

  @Override
  public Handle start(EngineCall call, EngineListener listener) {
    PendingCall pending = pendingCall(call, listener);
    EngineConnection idleConnection = takeIdle(call);
    if (idleConnection != null) {
      idleConnection.send(pending);
    } else {
      connect(pending);
    }
    return pending;
  }

  /**
   * Starts a call on a connection that is opened for it; must be called on the event loop. An
   * engine that crashes may still answer on a connection that it had before.
   */
  public Handle startOnNewConnection(EngineCall call, EngineListener listener) {
    PendingCall pending = pendingCall(call, listener);
    connect(pending);
    return pending;
  }

  /**
   * Creates a call. One that the fleet makes itself has a timeout here; those of requests and items
   * have theirs where their progress is known.
   */
  private PendingCall pendingCall(EngineCall call, EngineListener listener) {
    PendingCall pending = new PendingCall(call, listener);
    if (!call.hasRequestId() && call.timeoutMs() > 0) {
      pending.setTimeout(eventLoop, call.timeoutMs());
    }
    return pending;
  }

  /** Takes the most recently used idle connection that may carry {@code call}, or null. */
  private EngineConnection takeIdle(EngineCall call) {
    Deque<EngineConnection> connections =
        idleConnections.getOrDefault(call.engine().lifeId(), NO_CONNECTIONS);
    long nowNs = System.nanoTime();
    long limitMs = idleTimeouts.limitMs(call.engine().service());
    Iterator<EngineConnection> newestFirst = connections.iterator();
    while (newestFirst.hasNext()) {
      EngineConnection connection = newestFirst.next();
      boolean usable = connection.isUsable(nowNs, limitMs);
      if (usable && !connection.canSend(call.requestId())) {
        continue;
      }
      newestFirst.remove();
      if (usable) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  private void connect(PendingCall pending) {
    Optional<HostPort> address = HostPort.parse(pending.call().engine().address());
    if (address.isEmpty()) {
      eventLoop.execute(() -> pending.fail(EngineFailure.NOT_SENT, "not an address"));
      return;
    }
    connectionsOpened++;
    EngineConnection connection = new EngineConnection(this, protocol, pending.call().engine());
    bootstrap
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                meters.apply(pending.call().engine()).ifPresent(channel.pipeline()::addLast);
                channel.pipeline().addLast(new HttpRequestEncoder());
                channel.pipeline().addLast(new UndecodedBytes(connection));
                channel.pipeline().addLast(new EngineResponseDecoder(connection));
                channel.pipeline().addLast(connection);
              }
            })
        .connect(address.get().toSocketAddress())
        .addListener((ChannelFuture future) -> onConnected(future, connection, pending));
  }

  private void onConnected(ChannelFuture future, EngineConnection connection, PendingCall pending) {
    if (!future.isSuccess()) {
      pending.fail(failureOf(future.cause()), String.valueOf(future.cause().getMessage()));
      return;
    }
    openConnectionCounts.merge(connection.lifeId(), 1, Integer::sum);
    future.channel().closeFuture().addListener(closed -> onConnectionClosed(connection.lifeId()));
    if (!pending.isDone() && pending.ageMs() > MAX_CHOICE_AGE_MS) {
      pending.fail(EngineFailure.NOT_SENT, "the process was suspended while it connected");
    }
    if (pending.isDone()) {
      connection.keepUnused();
    } else {
      connection.send(pending);
    }
  }

  private static EngineFailure failureOf(Throwable cause) {
    boolean refused =
        cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
    return refused ? EngineFailure.CONNECTION_REFUSED : EngineFailure.NOT_SENT;
  }

  private void onConnectionClosed(String lifeId) {
    openConnectionCounts.computeIfPresent(lifeId, (id, count) -> count > 1 ? count - 1 : null);
  }

  /** Number of open connections to an engine instance, including idle ones. */
  int openConnections(EngineInstance engine) {
    return openConnectionCounts.getOrDefault(engine.lifeId(), 0);
  }

  /** Makes a connection available for reuse. */
  void addIdle(EngineConnection connection) {
    idleConnections
        .computeIfAbsent(connection.lifeId(), key -> new ArrayDeque<>())
        .addFirst(connection);
  }

  /** Removes a connection from the idle ones; the caller closes it. */
  void removeIdle(EngineConnection connection) {
    Deque<EngineConnection> connections = idleConnections.get(connection.lifeId());
    if (connections != null) {
      connections.remove(connection);
    }
  }

  /** Removes a connection that the engine closed between calls. */
  void onClosedBetweenCalls(EngineConnection connection) {
    Deque<EngineConnection> connections = idleConnections.get(connection.lifeId());
    if (connections != null && connections.remove(connection)) {
      if (connection.isIdle()) {
        idleTimeouts.onIdleClosed(connection.engine(), connection.idleMs(System.nanoTime()));
      }
      if (connections.isEmpty()) {
        idleConnections.remove(connection.lifeId());
        onLastIdleClosed(connection);
      }
    }
  }

  /** Tells nothing of a connection that carried load reports only, such as that of a probe. */
  private void onLastIdleClosed(EngineConnection connection) {
    if (connection.hasCarriedRequests() && openConnections(connection.engine()) == 0) {
      idleLossListener.accept(connection.engine());
    }
  }

  private void closeExpired() {
    long nowNs = System.nanoTime();
    for (Deque<EngineConnection> connections : idleConnections.values()) {
      connections.removeIf(
          connection -> {
            boolean expired =
                !connection.isUsable(nowNs, idleTimeouts.limitMs(connection.service()));
            if (expired) {
              connection.close();
            }
            return expired;
          });
    }
    idleConnections.values().removeIf(Deque::isEmpty);
  }
}
