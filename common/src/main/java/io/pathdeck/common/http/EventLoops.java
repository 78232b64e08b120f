package io.pathdeck.common.http;

import io.netty.channel.EventLoopGroup;

/** Creates the event loops of a process. */
public final class EventLoops {
  private EventLoops() {}

  /**
   * Event loops over NIO. AsyncHttpClient accepts a shared group only if it is of the older class,
   * so that class is used although Netty 4.2 deprecates it.
   */
  @SuppressWarnings("deprecation")
  public static EventLoopGroup create(int threads) {
    return new io.netty.channel.nio.NioEventLoopGroup(threads);
  }
}
