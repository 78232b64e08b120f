package io.pathdeck.serving.http;

import static org.assertj.core.api.Assertions.assertThatCode;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.pathdeck.common.http.EventLoops;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** A caller without chunks that has left must not fail the call that its response comes from. */
class TestStreamToClosedConnection {
  /** Closes between a check and what follows from it, as on another thread. */
  private static final class ClosingChannel extends NioSocketChannel {
    @Override
    public boolean isOpen() {
      return true;
    }
  }

  @Test
  void startsWithoutError() {
    EventLoopGroup eventLoops = EventLoops.create(1);
    NioSocketChannel channel = new ClosingChannel();
    eventLoops.register(channel).syncUninterruptibly();
    channel.close().syncUninterruptibly();
    HttpExchange exchange =
        new HttpExchange(
            channel,
            new DefaultFullHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/"),
            new byte[0],
            new BodyBudget(0).forConnection(),
            () -> {});
    assertThatCode(() -> exchange.startStream("text/event-stream")).doesNotThrowAnyException();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
