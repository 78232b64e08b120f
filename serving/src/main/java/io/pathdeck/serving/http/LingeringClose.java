package io.pathdeck.serving.http;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.ssl.SslHandler;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection whose request was answered before it was read in full.
 *
 * <p>A socket that is closed with unread data resets the connection, and the reset may overtake the
 * response. So only the sending direction is closed at first; the handler discards what the caller
 * still sends until the caller closes the connection or a time limit passes.
 */
final class LingeringClose implements ChannelFutureListener {
  /** Enough for a caller to read the response and to stop sending. */
  private static final long LINGER_MS = 1_000;

  @Override
  public void operationComplete(ChannelFuture written) {
    if (!written.isSuccess()) {
      written.channel().close();
      return;
    }
    boolean encrypted = written.channel().pipeline().get(SslHandler.class) != null;
    if (!encrypted && written.channel() instanceof SocketChannel socket) {
      socket.shutdownOutput();
    }
    written
        .channel()
        .eventLoop()
        .schedule(() -> written.channel().close(), LINGER_MS, TimeUnit.MILLISECONDS);
  }
}
