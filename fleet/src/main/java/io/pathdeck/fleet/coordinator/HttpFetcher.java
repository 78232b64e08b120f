package io.pathdeck.fleet.coordinator;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpVersion;
import io.pathdeck.common.http.StrictClientCodec;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Fetches documents of limited size over HTTP, each on its own connection. */
final class HttpFetcher {
  private static final int MAX_DOCUMENT_LENGTH = 8 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MS = 500;
  private static final int STATUS_OK = 200;

  private final EventLoop eventLoop;

  HttpFetcher(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /**
   * Fetches {@code path}; the future completes on the event loop with the body or an error message.
   */
  CompletableFuture<Result<byte[], String>> get(HostPort address, String path, long timeoutMs) {
    CompletableFuture<Result<byte[], String>> outcome = new CompletableFuture<>();
    ChannelFuture connectFuture =
        new Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new StrictClientCodec());
                    channel.pipeline().addLast(new HttpObjectAggregator(MAX_DOCUMENT_LENGTH));
                    channel.pipeline().addLast(new ResponseHandler(outcome));
                  }
                })
            .connect(address.toSocketAddress());
    connectFuture.addListener(
        (ChannelFuture future) -> {
          if (future.isSuccess()) {
            future.channel().writeAndFlush(request(address, path));
          } else {
            outcome.complete(Result.err(String.valueOf(future.cause().getMessage())));
          }
        });
    eventLoop.schedule(
        () -> {
          outcome.complete(Result.err("no answer in " + timeoutMs + " ms"));
          connectFuture.channel().close();
        },
        timeoutMs,
        TimeUnit.MILLISECONDS);
    return outcome;
  }

  private static FullHttpRequest request(HostPort address, String path) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
    request.headers().set(HttpHeaderNames.HOST, address.toString());
    request.headers().set(HttpHeaderNames.CONNECTION, "close");
    return request;
  }

  private static final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
    private final CompletableFuture<Result<byte[], String>> outcome;

    ResponseHandler(CompletableFuture<Result<byte[], String>> outcome) {
      this.outcome = outcome;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
      outcome.complete(document(response));
      context.close();
    }

    private static Result<byte[], String> document(FullHttpResponse response) {
      if (response.decoderResult().isFailure()) {
        return Result.err(String.valueOf(response.decoderResult().cause()));
      }
      int status = response.status().code();
      return status == STATUS_OK
          ? Result.ok(ByteBufUtil.getBytes(response.content()))
          : Result.err("status " + status);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      outcome.complete(Result.err("the connection ended"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      outcome.complete(Result.err(String.valueOf(cause)));
      context.close();
    }
  }
}
