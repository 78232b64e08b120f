package io.pathdeck.serving.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.ssl.SslContext;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.pathdeck.common.settings.HostPort;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/** Serves HTTP/1.1 and hands each whole request to a handler. */
public final class HttpServer implements AutoCloseable {
  private static final int MAX_INITIAL_LINE_LENGTH = 8_192;
  private static final long DRAIN_POLL_MS = 20;

  private final BodyBudget bodyBudget;
  private volatile HttpLimits limits;
  private final Optional<SslContext> tls;
  private final Consumer<HttpExchange> handler;
  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final AtomicInteger activeExchanges = new AtomicInteger();
  private final Channel channel;
  private volatile boolean draining;
  private volatile boolean closingConnections;

  /** Binds {@code address}. */
  public HttpServer(
      HostPort address,
      EventLoopGroup eventLoops,
      HttpLimits limits,
      Optional<SslContext> tls,
      Consumer<HttpExchange> handler) {
    this.limits = limits;
    this.bodyBudget = new BodyBudget(limits.maxUploadBytes() + 8L * limits.maxBodyBytes());
    this.tls = tls;
    this.handler = handler;
    this.channel =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 1024)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer())
            .bind(address.toSocketAddress())
            .syncUninterruptibly()
            .channel();
  }

  /** Sets the limits of connections that come from now on. */
  public void setLimits(HttpLimits newLimits) {
    limits = newLimits;
  }

  /** The number of requests whose response has not ended. */
  public int activeExchanges() {
    return activeExchanges.get();
  }

  /** Whether new requests are refused because the process stops. */
  public boolean isDraining() {
    return draining;
  }

  /** Still serves, but closes each connection after its next response. */
  public void closeConnectionsAfterResponses() {
    closingConnections = true;
  }

  /**
   * Takes no new connections, refuses new requests as not run and waits for those in progress.
   *
   * @return whether all of them ended in time
   */
  public boolean drain(long timeoutMs) {
    draining = true;
    channel.close().syncUninterruptibly();
    long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
    while (activeExchanges.get() > 0 && System.nanoTime() < deadlineNs) {
      try {
        Thread.sleep(DRAIN_POLL_MS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return activeExchanges.get() == 0;
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel child) {
      HttpLimits current = limits;
      if (connections.size() >= current.maxConnections()) {
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
      child.pipeline().addLast(new ExchangeHandler(current, bodyBudget, HttpServer.this::dispatch));
    }
  }

  private void dispatch(HttpExchange exchange) {
    activeExchanges.incrementAndGet();
    exchange.onEnded(activeExchanges::decrementAndGet);
    if (closingConnections) {
      exchange.closeAfterResponse();
    }
    if (draining) {
      exchange.closeAfterResponse();
      exchange.sendError(
          ApiError.unavailable("stopping", "this node is stopping; use another one", 1_000));
      return;
    }
    handler.accept(exchange);
  }
}
