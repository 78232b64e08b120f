package io.pathdeck.fleet.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.message.Ping;
import io.pathdeck.protocol.message.ProposeRequest;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Bytes between regions are priced, so the operator must see what they are for. */
class TestRegionTraffic {
  private final RegionTraffic traffic =
      new RegionTraffic("a1", Topology.of(Map.of("a1", "north", "a2", "north", "b1", "east")));

  private static FleetProcess store(String name, String zone) {
    return new FleetProcess(name, FleetRole.STORE, zone, 1, 1, name + ":1", "", true, 0);
  }

  @Test
  void countsPeersOfOtherRegionsByPurpose() {
    traffic.onChange(
        new FleetView(
            null,
            null,
            Map.of("near", store("near", "a2"), "far", store("far", "b1")),
            List.of(),
            List.of(),
            0,
            List.of(),
            QuarantineList.NONE,
            EvacuatedZones.NONE));
    ProposeRequest call = new ProposeRequest(1, "", 0, null);
    traffic.meterOf("near:1").onFrame(call, 100);
    traffic.meterOf("far:1").onFrame(call, 20);
    traffic.meterOf("far:1").onFrame(new Ping(), 3);
    assertThat(traffic.bytes(TrafficPurpose.GROUP_CALLS)).isEqualTo(20);
    assertThat(traffic.bytes(TrafficPurpose.OTHER)).isEqualTo(3);
  }

  @Test
  void countsEnginesOfOtherRegionsInBothDirections() {
    assertThat(traffic.engineMeter("a2")).isEmpty();
    EmbeddedChannel channel = new EmbeddedChannel(traffic.engineMeter("b1").orElseThrow());
    channel.writeOutbound(Unpooled.wrappedBuffer(new byte[30]));
    channel.writeInbound(Unpooled.wrappedBuffer(new byte[12]));
    channel.finishAndReleaseAll();
    assertThat(traffic.bytes(TrafficPurpose.ENGINES)).isEqualTo(42);
  }
}
