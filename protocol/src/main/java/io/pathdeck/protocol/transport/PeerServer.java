package io.pathdeck.protocol.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.protocol.message.Ping;

/** Accepts connections from other processes of the system. */
public final class PeerServer implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(PeerServer.class);

  private final ChannelGroup connections = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final MessageHandler handler;
  private final TransportTls tls;
  private final FrameCompression compression;
  private final Channel channel;

  /** Binds {@code address} and hands every message to {@code handler}; replies are sent plain. */
  public PeerServer(
      HostPort address, EventLoopGroup eventLoops, TransportTls tls, MessageHandler handler) {
    this(address, eventLoops, tls, FrameCompression.OFF, handler);
  }

  /** Binds {@code address} and hands every message to {@code handler}. */
  public PeerServer(
      HostPort address,
      EventLoopGroup eventLoops,
      TransportTls tls,
      FrameCompression compression,
      MessageHandler handler) {
    this.handler = handler;
    this.tls = tls;
    this.compression = compression;
    this.channel =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new Initializer())
            .bind(address.toSocketAddress())
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void close() {
    channel.close().syncUninterruptibly();
    connections.close().awaitUninterruptibly();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel child) {
      tls.server().ifPresent(ssl -> child.pipeline().addLast(ssl.newHandler(child.alloc())));
      child.pipeline().addLast(new FlushConsolidationHandler());
      child.pipeline().addLast(new FrameCodec(compression));
      child.pipeline().addLast(new InboundHandler());
    }
  }

  private final class InboundHandler extends SimpleChannelInboundHandler<Frame> {
    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.add(context.channel());
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
      long correlationId = frame.correlationId();
      if (frame.message() instanceof Ping ping) {
        context.writeAndFlush(new Frame(Frame.Kind.REPLY, correlationId, ping));
        return;
      }
      handler.onMessage(
          frame.message(),
          reply -> {
            if (frame.kind() == Frame.Kind.REQUEST) {
              context.writeAndFlush(new Frame(Frame.Kind.REPLY, correlationId, reply));
            }
          });
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      EVENTS.log(
          EventCode.FRAME_REJECTED,
          "peer",
          context.channel().remoteAddress(),
          "reason",
          cause.getMessage());
      context.close();
    }
  }
}
