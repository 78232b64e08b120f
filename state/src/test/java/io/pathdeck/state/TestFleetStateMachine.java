package io.pathdeck.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CountQuarantineTrial;
import io.pathdeck.protocol.command.EvacuatedZonesHeld;
import io.pathdeck.protocol.command.FoundJobsGroups;
import io.pathdeck.protocol.command.FoundJobsGroupsInRegions;
import io.pathdeck.protocol.command.PutRouteTable;
import io.pathdeck.protocol.command.QuarantineRequests;
import io.pathdeck.protocol.command.ReleaseRequests;
import io.pathdeck.protocol.command.RouteTableHeld;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.command.SetZoneEvacuated;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestFleetStateMachine {
  private final FleetStateMachine machine = new FleetStateMachine();

  private CommandResult apply(Command command) {
    return machine.apply(new CommandEnvelope("", 0, 1, command));
  }

  private static PutRouteTable putRouteTable(long version, String document) {
    return new PutRouteTable(
        new RouteTable(
            version,
            List.of(),
            List.of(),
            CallerLimits.NONE,
            List.of(),
            new byte[0],
            document.getBytes(StandardCharsets.UTF_8)));
  }

  private String storedDocument() {
    return new String(machine.routeTable().orElseThrow().document(), StandardCharsets.UTF_8);
  }

  @Test
  void highestVersionWins() {
    assertThat(apply(putRouteTable(5, "five"))).isEqualTo(new RouteTableHeld(5));
    assertThat(apply(putRouteTable(3, "three"))).isEqualTo(new RouteTableHeld(5));
    assertThat(storedDocument()).isEqualTo("five");
    assertThat(apply(putRouteTable(9, "nine"))).isEqualTo(new RouteTableHeld(9));
    assertThat(storedDocument()).isEqualTo("nine");
  }

  @Test
  void sameVersionDoesNotReplaceTable() {
    apply(putRouteTable(5, "five"));
    assertThat(apply(putRouteTable(5, "another"))).isEqualTo(new RouteTableHeld(5));
    assertThat(storedDocument()).isEqualTo("five");
  }

  private static JobsGroupFounders founders(Member member) {
    return new JobsGroupFounders(1, new GroupConfiguration(List.of(member)));
  }

  @Test
  void jobsGroupsAreFoundedOnce() {
    JobsGroupFounders first = founders(new Member(1, 1, true, "a:1"));
    JobsGroupFounders second = founders(new Member(2, 2, true, "b:1"));
    apply(new FoundJobsGroups(List.of(first)));
    apply(new FoundJobsGroups(List.of(second)));
    assertThat(machine.jobsFounders()).containsExactly(first);
  }

  @Test
  void regionsOfJobsGroupsSurviveSnapshot() {
    JobsGroupRegions regions = new JobsGroupRegions(1, List.of("north"));
    JobsGroupFounders first = founders(new Member(1, 1, true, "a:1"));
    apply(new FoundJobsGroupsInRegions(List.of(first), List.of(regions)));
    apply(new FoundJobsGroups(List.of(founders(new Member(2, 2, true, "b:1")))));
    FleetStateMachine restored = new FleetStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    assertThat(restored.jobsFounders()).containsExactly(first);
    assertThat(restored.jobsGroupRegions()).containsExactly(regions);
  }

  @Test
  void snapshotRestoresEverything() {
    apply(putRouteTable(5, "five"));
    apply(new FoundJobsGroups(List.of(founders(new Member(1, 1, true, "a:1")))));
    apply(new SetStoreLeaving("store-1", 1));
    FleetStateMachine restored = new FleetStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    assertThat(restored.routeTable().orElseThrow().version()).isEqualTo(5);
    assertThat(restored.jobsFounders()).isEqualTo(machine.jobsFounders());
    assertThat(restored.leavingStores()).containsExactly(new SetStoreLeaving("store-1", 1));
  }

  @Test
  void quarantineSurvivesSnapshotUntilReleased() {
    RequestFingerprint first = new RequestFingerprint(1, "first");
    RequestFingerprint second = new RequestFingerprint(2, "second");
    apply(new QuarantineRequests(List.of(first, second)));
    apply(new QuarantineRequests(List.of(second)));
    FleetStateMachine restored = new FleetStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    assertThat(restored.quarantine()).isEqualTo(new QuarantineList(1, List.of(first, second)));
    restored.apply(new CommandEnvelope("", 0, 1, new ReleaseRequests(List.of(first))));
    assertThat(restored.quarantine()).isEqualTo(new QuarantineList(2, List.of(second)));
  }

  /** Guards against a part that crashes engines and is tried anew by each leader. */
  @Test
  void trialsSurviveSnapshotUntilReleased() {
    RequestFingerprint tried = new RequestFingerprint(1, "tried");
    apply(new QuarantineRequests(List.of(tried)));
    apply(new CountQuarantineTrial(tried));
    apply(new CountQuarantineTrial(tried));
    apply(new CountQuarantineTrial(new RequestFingerprint(2, "released before")));
    FleetStateMachine restored = new FleetStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    assertThat(restored.quarantineTrials(tried)).isEqualTo(2);
    restored.apply(new CommandEnvelope("", 0, 1, new ReleaseRequests(List.of(tried))));
    assertThat(restored.quarantineTrials(tried)).isZero();
  }

  @Test
  void trialsOfAPartCountForAllServices() {
    RequestFingerprint atOne = RequestFingerprint.ofPromptPart("one", 1);
    RequestFingerprint atOther = RequestFingerprint.ofPromptPart("other", 1);
    apply(new QuarantineRequests(List.of(atOther, atOne)));
    apply(new CountQuarantineTrial(atOne));
    assertThat(machine.quarantineTrials(atOther)).isEqualTo(1);
  }

  @Test
  void oldestQuarantinedRequestsAreEvicted() {
    for (int number = 0; number < 600; number++) {
      apply(new QuarantineRequests(List.of(new RequestFingerprint(number, "r" + number))));
    }
    assertThat(machine.quarantine().requests()).hasSize(512);
    assertThat(machine.isQuarantined(new RequestFingerprint(599, "r599"))).isTrue();
    assertThat(machine.isQuarantined(new RequestFingerprint(0, "r0"))).isFalse();
  }

  private static SetZoneEvacuated order(String zone, boolean evacuated, long basedOnVersion) {
    return new SetZoneEvacuated(zone, evacuated, basedOnVersion);
  }

  @Test
  void repeatedEvacuationIsHeldOnce() {
    EvacuatedZones one = new EvacuatedZones(1, List.of("a"));
    assertThat(apply(order("a", true, 0))).isEqualTo(new EvacuatedZonesHeld(one));
    assertThat(apply(order("a", true, 0))).isEqualTo(new EvacuatedZonesHeld(one));
    assertThat(apply(order("a", true, 1))).isEqualTo(new EvacuatedZonesHeld(one));
    apply(order("b", true, 1));
    assertThat(machine.evacuatedZones()).isEqualTo(new EvacuatedZones(2, List.of("a", "b")));
  }

  @Test
  void lateCopyOfAnOrderUndoesNothing() {
    apply(order("a", true, 0));
    apply(order("a", false, 1));
    EvacuatedZones none = new EvacuatedZones(2, List.of());
    assertThat(apply(order("a", true, 0))).isEqualTo(new EvacuatedZonesHeld(none));
    assertThat(machine.evacuatedZones()).isEqualTo(none);
  }

  @Test
  void lastCommittedOfOppositeOrdersHolds() {
    apply(order("a", true, 0));
    apply(order("a", false, 1));
    apply(order("a", true, 2));
    assertThat(machine.evacuatedZones().contains("a")).isTrue();
  }

  @Test
  void evacuatedZonesSurviveSnapshot() {
    apply(order("a", true, 0));
    FleetStateMachine restored = new FleetStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    assertThat(restored.evacuatedZones()).isEqualTo(new EvacuatedZones(1, List.of("a")));
  }
}
