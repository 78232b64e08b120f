package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.SnapshotFiles;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.state.FleetStateMachine;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts from a coordinator's folder that an earlier version wrote: a snapshot and a log with route
 * tables and tenants, founders of jobs groups, leaving stores and quarantined requests.
 */
class TestStoredFolder {
  private static final String ADDRESS = "127.0.0.1:7000";
  private static final int GROUP = 0;
  private static final int SELF = 1;
  private static final long SNAPSHOT_THRESHOLD_BYTES = 1 << 20;
  private static final long PATIENCE_S = 10;

  @TempDir Path folder;

  @BeforeEach
  void copyFolder() throws Exception {
    Path stored = Path.of(getClass().getResource("/stored-form-1/incarnation").toURI()).getParent();
    try (Stream<Path> files = Files.list(stored)) {
      for (Path file : files.toList()) {
        Files.copy(file, folder.resolve(file.getFileName()));
      }
    }
  }

  private Result<ReplicaHost, StorageError> open(FleetStateMachine state) {
    JoinSettings join =
        new JoinSettings(Set.of(SELF), Set.of(SELF), ADDRESS, MembershipPolicy.openTolerating(0));
    return ReplicaHost.open(
        new ReplicaHost.Options(
            GROUP, SELF, join, state, SNAPSHOT_THRESHOLD_BYTES, SNAPSHOT_THRESHOLD_BYTES),
        DataFolder.open(folder).value(),
        PeerLinks.fixed(Map.of()));
  }

  /** Commits a command; everything before it in the log has been applied then. */
  private static void commit(ReplicaHost host, Command command) throws Exception {
    Message reply;
    do {
      CompletableFuture<Message> answered = new CompletableFuture<>();
      host.execute(() -> host.group().propose("", 0, command, answered::complete, host.clock()));
      reply = answered.get(PATIENCE_S, TimeUnit.SECONDS);
    } while (!(reply instanceof ProposeReply));
  }

  private static JobsGroupFounders founders(int group, int firstId) {
    List<Member> members =
        IntStream.range(firstId, firstId + 3)
            .mapToObj(id -> new Member(id, 1_000L + id, true, "127.0.0.1:" + (8_000 + id)))
            .toList();
    return new JobsGroupFounders(group, new GroupConfiguration(members));
  }

  private static void assertStored(FleetStateMachine state) {
    assertThat(state.jobsFounders()).containsExactly(founders(1, 11), founders(2, 21));
    assertThat(state.leavingStores())
        .contains(new SetStoreLeaving("store-a", 12), new SetStoreLeaving("store-b", 22));
    assertThat(state.quarantine().requests())
        .containsExactly(
            new RequestFingerprint(42, "00ff"),
            new RequestFingerprint(44, "22dd"),
            new RequestFingerprint(45, "33cc"));
    assertThat(state.evacuatedZones()).isEqualTo(EvacuatedZones.NONE);
    assertRoutes(state.routeTable().orElseThrow());
  }

  private static void assertRoutes(RouteTable table) {
    assertThat(table.version()).isEqualTo(8);
    assertThat(table.document()).asString(StandardCharsets.UTF_8).isEqualTo("{\"version\":8}");
    assertThat(table.keySalt()).containsExactly(1, 2, 3, 4);
    RouteSpec stream = table.match("shop.example", "/ask/1").orElseThrow();
    assertThat(stream.kind()).isEqualTo(RouteKind.STREAM);
    assertThat(stream.targets())
        .containsExactly(new RouteTarget("svc-a", 3), new RouteTarget("svc-b", 1));
    assertThat(stream.timeoutMs()).isEqualTo(4_000);
    assertThat(stream.gapTargetMs()).isEqualTo(150);
    RouteSpec batch = table.match("shop.example", "/batch/1").orElseThrow();
    assertThat(batch.runTargetMs()).isEqualTo(18_000);
    assertThat(batch.maxQueuedTokens()).isEqualTo(970_000);
    assertThat(batch.anonymous()).isTrue();
    assertThat(table.service("svc-b").orElseThrow().memoryTokens()).isEqualTo(72_000);
    assertThat(table.tenant("acme").orElseThrow().keyDigests()).containsExactly("d1", "d2");
    assertThat(table.tenant("acme").orElseThrow().requestsPerSecond()).isEqualTo(12.5);
    assertThat(table.limits().maxBodyBytes()).isEqualTo(1_048_576);
  }

  @Test
  void nothingAcknowledgedIsLost() throws Exception {
    FleetStateMachine state = new FleetStateMachine();
    try (ReplicaHost host = open(state).value()) {
      host.start(nowMs -> {});
      commit(host, new SetStoreLeaving("store-c", 23));
      assertStored(state);
    }
    FleetStateMachine restarted = new FleetStateMachine();
    try (ReplicaHost host = open(restarted).value()) {
      host.start(nowMs -> {});
      commit(host, new SetStoreLeaving("store-d", 24));
      assertStored(restarted);
      assertThat(restarted.leavingStores()).contains(new SetStoreLeaving("store-c", 23));
    }
  }

  @Test
  void snapshotWithUnknownRecordDoesNotStart() throws Exception {
    SnapshotFiles files = new SnapshotFiles(DataFolder.open(folder).value());
    SnapshotMetadata stored = files.newestMetadata(GROUP).orElseThrow();
    List<Object> records = new ArrayList<>();
    files.read(GROUP).forEachRemaining(records::add);
    records.add(new SetStoreLeaving("a record of a later version", 1));
    files.write(
        GROUP,
        new SnapshotMetadata(stored.index() + 1, stored.term(), stored.configuration()),
        records.iterator());
    assertThat(open(new FleetStateMachine()).error().toString()).contains("SetStoreLeaving");
  }

  @Test
  void damagedSnapshotDoesNotStart() throws IOException {
    Path snapshot = folder.resolve("snapshot-0-000000000000005");
    byte[] bytes = Files.readAllBytes(snapshot);
    bytes[bytes.length / 2]++;
    Files.write(snapshot, bytes);
    assertThat(open(new FleetStateMachine()).error().toString()).contains("damaged");
  }
}
