package io.pathdeck.protocol.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * The frame that a connection has received in part, bounded in memory and in time. Confined to the
 * connection's event loop, except for {@link #evict}.
 */
final class PartialFrame implements PartialFrames.Holder {
  /** More than the largest frame takes on a link of 5 Mbit/s. */
  static final long MAX_TIME_S = 30;

  private static final String TOO_MUCH = "frames in part take too much memory";
  private static final String TOO_SLOW = "frame in part for " + MAX_TIME_S + " s";

  private final PartialFrames frames;
  private ChannelHandlerContext context;
  private ScheduledFuture<?> timeout;

  PartialFrame(PartialFrames frames) {
    this.frames = frames;
  }

  /** Records that {@code received} is not a whole frame yet; throws if it has to be given up. */
  void onIncomplete(ChannelHandlerContext newContext, ByteBuf received) {
    context = newContext;
    if (timeout == null) {
      timeout = context.executor().schedule(() -> giveUp(TOO_SLOW), MAX_TIME_S, TimeUnit.SECONDS);
    }
    if (!frames.hold(this, received.capacity())) {
      end();
      received.skipBytes(received.readableBytes());
      throw new CorruptedFrameException(TOO_MUCH);
    }
  }

  /** Records that the frame is whole or that its connection has ended. */
  void end() {
    if (timeout != null) {
      timeout.cancel(false);
      timeout = null;
      frames.release(this);
    }
  }

  @Override
  public void evict() {
    if (context.executor().inEventLoop()) {
      giveUp(TOO_MUCH);
    } else {
      context.executor().execute(() -> giveUp(TOO_MUCH));
    }
  }

  /**
   * Rejects the frame. The codec is removed first, as that frees its buffer at once; a close does
   * so only after other connections have been read.
   */
  private void giveUp(String reason) {
    if (timeout == null || context.isRemoved()) {
      return;
    }
    ChannelPipeline pipeline = context.pipeline();
    pipeline.remove(context.handler());
    pipeline.fireExceptionCaught(new CorruptedFrameException(reason));
  }
}
