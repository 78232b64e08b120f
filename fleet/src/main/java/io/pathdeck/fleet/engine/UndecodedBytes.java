package io.pathdeck.fleet.engine;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Bounds the bytes of a connection from which the decoder gets nothing. The decoder itself skips
 * blank lines and control characters without a limit if they come in small pieces.
 */
final class UndecodedBytes extends ChannelInboundHandlerAdapter {
  /** More than the decoder's limits of a status line and of all headers together. */
  private static final int MAX_BYTES = 64 * 1024;

  private final EngineConnection connection;
  private int bytes;

  UndecodedBytes(EngineConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) {
    int messagesBefore = connection.messages();
    int received = ((ByteBuf) message).readableBytes();
    connection.onBytes();
    ctx.fireChannelRead(message);
    bytes = connection.messages() == messagesBefore ? bytes + received : 0;
    if (bytes > MAX_BYTES) {
      connection.onUndecodableBytes();
    }
  }
}
