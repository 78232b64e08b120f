package io.pathdeck.serving.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.ReadTurns;
import io.pathdeck.common.settings.HostPort;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * HTTP/1.1 server that passes each complete request to a handler.
 *
 * <p>A graceful stop goes through the phases of {@link ServerPhase}. Idle connections are detected
 * on their event loop, which also reads requests, so no connection with a pending request is
 * closed.
 */
public final class HttpServer implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(HttpServer.class);
  private static final int MAX_INITIAL_LINE_LENGTH = 8_192;

  /** The refusal of a request that comes too late to be served by a process that stops. */
  static final ApiError STOPPING =
      ApiError.unavailable("stopping", "this process is stopping; use another one", 0);

  /** Other processes are available during a stop, so refused callers may retry without delay. */
  static final Map<String, String> RETRY_IMMEDIATELY =
      Map.of(HttpHeaderNames.RETRY_AFTER.toString(), "0");

  private static final long DRAIN_POLL_MS = 20;

  /** The part of the heap that pipelined requests of all connections may take. */
  private static final int PIPELINED_HEAP_RATIO = 16;

  private final Supplier<ConnectionMemory> memory;
  private volatile HttpLimits limits;
  private final Optional<SslContext> tls;
  private final Consumer<HttpExchange> handler;
  private final Map<EventLoop, ReadTurns> readTurns = new ConcurrentHashMap<>();
  private final BodyBudget pipelinedBudget =
      new BodyBudget(Runtime.getRuntime().maxMemory() / PIPELINED_HEAP_RATIO);
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger activeExchanges = new AtomicInteger();
  private final AtomicReference<ServerPhase> phase = new AtomicReference<>(ServerPhase.SERVING);
  private volatile OptionalLong refusesFromNs = OptionalLong.empty();
  private final Channel channel;

  /** Starts a server that limits the memory of request bodies only. */
  public HttpServer(
      HostPort address,
      EventLoopGroup eventLoops,
      HttpLimits limits,
      Optional<SslContext> tls,
      Consumer<HttpExchange> handler) {
    this(address, eventLoops, limits, tls, limitBodiesOnly(limits), handler);
  }

  /** Starts a server; {@code memory} creates the memory accounting of each connection. */
  public HttpServer(
      HostPort address,
      EventLoopGroup eventLoops,
      HttpLimits limits,
      Optional<SslContext> tls,
      Supplier<ConnectionMemory> memory,
      Consumer<HttpExchange> handler) {
    this.limits = limits;
    this.memory = memory;
    this.tls = tls;
    this.handler = handler;
    this.channel =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ConnectionInitializer())
            .bind(address.toSocketAddress())
            .syncUninterruptibly()
            .channel();
  }

  /** Returns memory accounting that limits request bodies but not responses. */
  public static Supplier<ConnectionMemory> limitBodiesOnly(HttpLimits limits) {
    BodyBudget budget = new BodyBudget(limits.maxUploadBytes() + 8L * limits.maxBodyBytes());
    return budget::forConnection;
  }

  /** Sets the limits for new connections. */
  public void setLimits(HttpLimits newLimits) {
    limits = newLimits;
  }

  /** Returns the number of requests without a finished response. */
  public int activeExchanges() {
    return activeExchanges.get();
  }

  /** Returns whether new requests are refused because the process is stopping. */
  public boolean isDraining() {
    OptionalLong fromNs = refusesFromNs;
    return phase.get().compareTo(ServerPhase.DRAINING) >= 0
        || (fromNs.isPresent() && System.nanoTime() - fromNs.getAsLong() >= 0);
  }

  /**
   * Refuses requests that are read from this instant of {@link System#nanoTime} on, also while the
   * thread that is going to call {@link #drain} does not run.
   */
  public void refuseRequestsFrom(long instantNs) {
    refusesFromNs = OptionalLong.of(instantNs);
  }

  private void advanceTo(ServerPhase next) {
    phase.accumulateAndGet(
        next, (current, candidate) -> current.compareTo(candidate) < 0 ? candidate : current);
  }

  /** Closes each connection after its next response; new requests are still served. */
  public void closeConnectionsAfterResponses() {
    advanceTo(ServerPhase.CLOSING_CONNECTIONS);
    forEachConnection(ExchangeHandler::closeAfterResponse);
  }

  /**
   * Stops accepting connections, refuses new requests as not run and closes each connection after
   * the responses to all requests read from it.
   *
   * @return whether all connections were closed before the timeout
   */
  public boolean drain(long timeoutMs) {
    advanceTo(ServerPhase.DRAINING);
    channel.close().syncUninterruptibly();
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (!connections.isEmpty() && System.nanoTime() < deadlineNs) {
      forEachConnection(ExchangeHandler::closeIfIdle);
      try {
        Thread.sleep(DRAIN_POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return connections.isEmpty();
  }

  /**
   * Answers all requests in progress after a {@link #drain} that ran out of time: one that may have
   * run as failed, one that was read in part as not run. Breaks streams off.
   *
   * @param timeoutMs how long to wait for callers to get the answers
   */
  public void endRequests(long timeoutMs) {
    forEachConnection(ExchangeHandler::end);
    drain(timeoutMs);
  }

  /** Runs an action for each connection on its event loop. */
  private void forEachConnection(Consumer<ExchangeHandler> action) {
    for (Channel connection : connections) {
      ExchangeHandler handler = connection.pipeline().get(ExchangeHandler.class);
      if (handler != null) {
        connection.eventLoop().execute(() -> action.accept(handler));
      }
    }
  }

  @Override
  public void close() {
    advanceTo(ServerPhase.CLOSED);
    channel.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel child) {
      HttpLimits current = limits;
      boolean full = connections.size() >= current.maxConnections();
      if (full || phase.get() == ServerPhase.CLOSED) {
        child.close();
        return;
      }
      connections.add(child);
      tls.ifPresent(ssl -> child.pipeline().addLast(ssl.newHandler(child.alloc())));
      HttpDecoderConfig decoder =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(MAX_INITIAL_LINE_LENGTH)
              .setMaxHeaderSize(current.maxHeaderBytes());
      child.pipeline().addLast(new FlushConsolidationHandler(64, true));
      child.pipeline().addLast(new HttpServerCodec(decoder));
      ReadTurns turns = readTurns.computeIfAbsent(child.eventLoop(), ReadTurns::new);
      child
          .pipeline()
          .addLast(
              new ExchangeHandler(
                  current, memory.get(), turns, pipelinedBudget, HttpServer.this::dispatch));
    }
  }

  private void dispatch(HttpExchange exchange) {
    activeExchanges.incrementAndGet();
    exchange.setEndListener(activeExchanges::decrementAndGet);
    boolean draining = isDraining();
    if (draining || phase.get() != ServerPhase.SERVING) {
      exchange.closeAfterResponse();
    }
    if (draining) {
      EVENTS.log(EventCode.REQUEST_REFUSED, "path", exchange.path(), "reason", "stopping");
      exchange.sendError(STOPPING, RETRY_IMMEDIATELY);
      return;
    }
    handler.accept(exchange);
  }
}
