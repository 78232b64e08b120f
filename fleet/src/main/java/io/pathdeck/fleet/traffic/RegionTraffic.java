package io.pathdeck.fleet.traffic;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.MeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.fleet.topology.ZoneDistance;
import io.pathdeck.protocol.transport.FrameMeter;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import java.util.stream.Collectors;

/**
 * Counts by purpose the bytes between this process and other regions, in both directions.
 *
 * <p>Only connections that this process opened count, so that the sum over all processes counts
 * each byte once. Nothing is counted in a fleet of one region. Thread-safe.
 */
public final class RegionTraffic {
  private final String zone;
  private final Topology topology;
  private final Map<TrafficPurpose, LongAdder> bytesByPurpose = new EnumMap<>(TrafficPurpose.class);
  private volatile Set<String> addressesElsewhere = Set.of();

  /** Creates the counters of a process in {@code zone}. */
  public RegionTraffic(String zone, Topology topology) {
    this.zone = zone;
    this.topology = topology;
    for (TrafficPurpose purpose : TrafficPurpose.values()) {
      bytesByPurpose.put(purpose, new LongAdder());
    }
  }

  /** Learns which processes stand in other regions. */
  public void onChange(FleetView view) {
    addressesElsewhere =
        view.processes().values().stream()
            .filter(process -> isElsewhere(process.zone()))
            .map(process -> process.peerAddress())
            .collect(Collectors.toUnmodifiableSet());
  }

  private boolean isElsewhere(String otherZone) {
    return topology.distance(zone, otherZone) == ZoneDistance.OTHER_REGION;
  }

  /** Returns the meter of connections to a process at {@code address}. */
  public FrameMeter meterOf(String address) {
    return (message, bytes) -> {
      if (addressesElsewhere.contains(address)) {
        add(TrafficPurpose.of(message), bytes);
      }
    };
  }

  /** Returns a handler that counts the bytes of a connection to an engine, if it is elsewhere. */
  public Optional<ChannelHandler> engineMeter(String engineZone) {
    return isElsewhere(engineZone) ? Optional.of(new EngineMeter()) : Optional.empty();
  }

  private void add(TrafficPurpose purpose, int bytes) {
    bytesByPurpose.get(purpose).add(bytes);
  }

  long bytes(TrafficPurpose purpose) {
    return bytesByPurpose.get(purpose).sum();
  }

  /** Registers the metrics. */
  public void bindTo(MeterRegistry registry) {
    bytesByPurpose.forEach(
        (purpose, bytes) ->
            FunctionCounter.builder("pathdeck.region.bytes", bytes, LongAdder::sum)
                .tag("purpose", purpose.tag())
                .register(registry));
  }

  private final class EngineMeter extends ChannelDuplexHandler {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
      count(message);
      super.channelRead(context, message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
        throws Exception {
      count(message);
      super.write(context, message, promise);
    }

    private void count(Object message) {
      if (message instanceof ByteBuf bytes) {
        add(TrafficPurpose.ENGINES, bytes.readableBytes());
      }
    }
  }
}
