package io.pathdeck.common.http;

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.pathdeck.common.settings.HostPort;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** Serves {@code /metrics}, {@code /healthz} and {@code /readyz} on a process's admin port. */
public final class AdminServer implements AutoCloseable {
  private static final int MAX_REQUEST_LENGTH = 4_096;

  private final PrometheusMeterRegistry metrics;
  private final BooleanSupplier ready;
  private final Channel channel;

  /** Binds the admin port. */
  public AdminServer(
      HostPort address,
      EventLoopGroup eventLoops,
      PrometheusMeterRegistry metrics,
      BooleanSupplier ready) {
    this.metrics = metrics;
    this.ready = ready;
    this.channel =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .childHandler(new Initializer())
            .bind(address.toSocketAddress())
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
  }

  private FullHttpResponse answer(String path) {
    return switch (path) {
      case "/metrics" -> text(HttpResponseStatus.OK, metrics.scrape());
      case "/healthz" -> text(HttpResponseStatus.OK, "ok\n");
      case "/readyz" ->
          ready.getAsBoolean()
              ? text(HttpResponseStatus.OK, "ready\n")
              : text(HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
      default -> text(HttpResponseStatus.NOT_FOUND, "not found\n");
    };
  }

  private static FullHttpResponse text(HttpResponseStatus status, String body) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    return response;
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel child) {
      child.pipeline().addLast(new HttpServerCodec());
      child.pipeline().addLast(new HttpObjectAggregator(MAX_REQUEST_LENGTH));
      child.pipeline().addLast(new Handler());
    }
  }

  private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      context.writeAndFlush(answer(request.uri())).addListener(ChannelFutureListener.CLOSE);
    }
  }
}
