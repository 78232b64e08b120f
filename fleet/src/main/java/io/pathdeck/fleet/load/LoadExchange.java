package io.pathdeck.fleet.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.SocketProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;

/**
 * Exchanges in-flight call counts with the other gateways of the zone and applies theirs to the
 * engine table; confined to the event loop.
 *
 * <p>Nothing is sent until {@link #openIfNeeded} opens the socket. A gateway whose socket is not
 * open yet misses the counts of others.
 */
public final class LoadExchange implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(LoadExchange.class);
  private static final long BIND_RETRY_MS = 5_000;

  /**
   * Identity of this process. The incarnation distinguishes its runs; {@code listen} is the address
   * at which it receives datagrams.
   */
  public record Self(String name, long incarnation, String zone, HostPort listen) {}

  private final EventLoop eventLoop;
  private final Self self;
  private final EngineTable engines;
  private final LoadMetrics metrics;
  private final boolean alwaysEnabled;
  private final PeerLoads peers = new PeerLoads();
  private final SendSchedule schedule = new SendSchedule();
  private Map<Long, InetSocketAddress> readyPeers = Map.of();
  private volatile Channel channel;
  private long sequence;
  private long nextBindMs = Long.MIN_VALUE;
  private boolean failureLogged;
  private boolean closed;

  /**
   * Creates an exchange without a socket; {@code alwaysEnabled} shares counts even if no engine
   * reports its pace.
   */
  public LoadExchange(
      EventLoop eventLoop,
      Self self,
      EngineTable engines,
      LoadMetrics metrics,
      boolean alwaysEnabled) {
    this.eventLoop = eventLoop;
    this.self = self;
    this.engines = engines;
    this.metrics = metrics;
    this.alwaysEnabled = alwaysEnabled;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static long hash(String name) {
    return LongHashFunction.xx3().hashBytes(name.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the address at which this process receives counts; empty while no socket is open. */
  String address() {
    return channel == null ? "" : self.listen().toString();
  }

  /**
   * Opens the socket if an engine reports its pace, as engines that share their machine do, or if
   * sharing is always enabled. Retries failed attempts at intervals.
   */
  public void openIfNeeded() {
    boolean open = channel != null || closed;
    if (open || !(alwaysEnabled || engines.anyReportsPace())) {
      return;
    }
    long nowMs = nowMs();
    if (nowMs >= nextBindMs) {
      nextBindMs = nowMs + BIND_RETRY_MS;
      bind();
    }
  }

  private void bind() {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channelFactory(() -> new NioDatagramChannel(SocketProtocolFamily.INET))
            .handler(new DatagramHandler());
    bootstrap
        .bind(self.listen().toSocketAddress())
        .addListener((ChannelFuture future) -> onBound(future));
  }

  private void onBound(ChannelFuture future) {
    if (!future.isSuccess()) {
      logFailure(future.cause());
    } else if (closed) {
      future.channel().close();
    } else {
      channel = future.channel();
      failureLogged = false;
      EVENTS.log(EventCode.LOAD_SHARING_STARTED, "listen", self.listen());
      tick();
    }
  }

  /** Logs the first of a series of failures; requests are then served without the peers' counts. */
  private void logFailure(Throwable cause) {
    if (!failureLogged) {
      failureLogged = true;
      EVENTS.log(EventCode.LOAD_SHARING_FAILED, "listen", self.listen(), "reason", cause);
    }
  }

  /** Updates the known peers: the other gateways of the zone. */
  public void onChange(FleetView view) {
    Set<Long> senders = new HashSet<>();
    Map<Long, InetSocketAddress> reachable = new HashMap<>();
    for (FleetProcess gateway : view.withRole(FleetRole.GATEWAY)) {
      boolean peer = gateway.zone().equals(self.zone()) && !gateway.name().equals(self.name());
      if (!peer) {
        continue;
      }
      long sender = hash(gateway.name());
      senders.add(sender);
      Optional<HostPort> address = HostPort.parse(gateway.peerAddress());
      if (gateway.ready() && address.isPresent()) {
        reachable.put(sender, address.get().toSocketAddress());
      }
    }
    peers.setKnownPeers(senders);
    readyPeers = Map.copyOf(reachable);
  }

  private void tick() {
    if (closed) {
      return;
    }
    long nowMs = nowMs();
    Set<Long> activePeers = peers.activePeers(nowMs);
    peers.expire(nowMs);
    InFlightCalls.applyPeerCalls(engines, peers);
    Map<Long, Integer> calls = InFlightCalls.of(engines);
    broadcast(schedule.onInterval(calls, activePeers.size(), nowMs), calls, activePeers);
    boolean idle = calls.isEmpty() && activePeers.isEmpty();
    long waitMs =
        idle ? SendSchedule.IDLE_INTERVAL_MS : SendSchedule.intervalMs(activePeers.size());
    eventLoop.schedule(this::tick, waitMs, TimeUnit.MILLISECONDS);
  }

  /** Sends the counts after a call of this process has started. */
  public void onCallStarted() {
    if (channel == null) {
      return;
    }
    long nowMs = nowMs();
    Set<Long> activePeers = peers.activePeers(nowMs);
    Map<Long, Integer> calls = InFlightCalls.of(engines);
    broadcast(schedule.onCallStart(calls, activePeers.size(), nowMs), calls, activePeers);
  }

  private void broadcast(
      SendSchedule.Recipients recipients, Map<Long, Integer> calls, Set<Long> activePeers) {
    if (recipients == SendSchedule.Recipients.NONE) {
      return;
    }
    int ttlMs = SendSchedule.ttlMs(activePeers.size());
    byte[] bytes =
        new LoadDatagram(hash(self.name()), self.incarnation(), ++sequence, ttlMs, calls).encode();
    readyPeers.forEach(
        (peer, address) -> {
          if (recipients == SendSchedule.Recipients.ALL || activePeers.contains(peer)) {
            send(bytes, address);
          }
        });
    channel.flush();
  }

  private void send(byte[] bytes, InetSocketAddress address) {
    if (!channel.isWritable()) {
      metrics.onDropped();
      return;
    }
    channel
        .write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), address))
        .addListener((ChannelFuture future) -> onWritten(future));
  }

  private void onWritten(ChannelFuture future) {
    if (future.isSuccess()) {
      metrics.onSent();
    } else {
      metrics.onDropped();
    }
  }

  @Override
  public void close() {
    eventLoop.execute(this::closeNow);
  }

  private void closeNow() {
    closed = true;
    Channel open = channel;
    channel = null;
    if (open != null) {
      open.close();
      EVENTS.log(EventCode.LOAD_SHARING_STOPPED, "listen", self.listen());
    }
  }

  /** Receives the peers' datagrams. */
  private final class DatagramHandler extends SimpleChannelInboundHandler<DatagramPacket> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
      Optional<LoadDatagram> datagram = LoadDatagram.decode(packet.content().nioBuffer());
      if (datagram.isPresent() && peers.accept(datagram.get(), nowMs())) {
        metrics.onReceived();
      } else {
        metrics.onDropped();
      }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      InFlightCalls.applyPeerCalls(engines, peers);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      metrics.onDropped();
      logFailure(cause);
    }
  }
}
