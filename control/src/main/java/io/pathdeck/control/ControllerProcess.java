package io.pathdeck.control;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.common.duty.DutyThread;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.AdminServer;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.RaftSettings;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.Disk;
import io.pathdeck.consensus.storage.FolderRecovery;
import io.pathdeck.consensus.storage.RecoveredGroups;
import io.pathdeck.consensus.storage.SegmentedLog;
import io.pathdeck.consensus.storage.SnapshotFiles;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.client.ControllerConnections;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.protocol.transport.PeerClient;
import io.pathdeck.protocol.transport.PeerServer;
import io.pathdeck.protocol.transport.TransportTls;
import java.io.IOException;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A running controller. */
public final class ControllerProcess implements AutoCloseable {
  /** The group that holds the configuration; jobs partitions have the numbers from 1. */
  public static final int META_GROUP = 0;

  private static final EventLog EVENTS = EventLog.of(ControllerProcess.class);
  private static final int NETWORK_THREADS = 2;
  private static final long SNAPSHOT_THRESHOLD_BYTES = 64L * 1024 * 1024;
  private static final int STORAGE_FAILURE_EXIT_CODE = 3;

  private final ResourceStack resources = new ResourceStack();
  private final ControllerSettings settings;
  private final Section<ControllerStatus> status = new Section<>(new ControllerStatus(List.of()));
  private final PrometheusMeterRegistry metrics =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  private ControllerProcess(ControllerSettings settings) {
    this.settings = settings;
  }

  /** Recovers the data folder and starts all duties. */
  public static Result<ControllerProcess, StorageError> start(
      ControllerSettings settings, TransportTls tls) {
    return FolderRecovery.open(
        settings.dataFolder(), Disk.LOCAL, folder -> start(settings, tls, folder));
  }

  private static Result<ControllerProcess, StorageError> start(
      ControllerSettings settings, TransportTls tls, DataFolder folder) {
    RecoveredGroups recovered = new RecoveredGroups();
    Result<SegmentedLog, StorageError> opened = SegmentedLog.open(folder, recovered::replay);
    if (!opened.isOk()) {
      return Result.err(opened.error());
    }
    SegmentedLog log = opened.value();
    recovered.onOpened(folder, log);
    ControllerProcess process = new ControllerProcess(settings);
    try {
      process.run(folder, log, recovered, tls);
      return Result.ok(process);
    } catch (IOException e) {
      process.resources.closeAll();
      return Result.err(RecoveryErrors.afterFailure(e, log));
    }
  }

  private void run(DataFolder folder, SegmentedLog log, RecoveredGroups recovered, TransportTls tls)
      throws IOException {
    ControllerClock clock = ControllerClock.system();
    SnapshotFiles snapshotFiles = new SnapshotFiles(folder);
    ControllerRings rings = ControllerRings.create();
    EventLoopGroup eventLoops = EventLoops.create(NETWORK_THREADS);
    resources.push(eventLoops::shutdownGracefully);
    Map<Integer, PeerLink> peers = connectPeers(eventLoops, tls);
    StorageDuty storageDuty =
        new StorageDuty(
            log,
            rings.storage(),
            event -> complete(rings, event),
            ControllerProcess::haltAfterStorageFailure);
    GroupStorage groupStorage = groupStorage(storageDuty, snapshotFiles);
    Map<Integer, GroupRuntime> groups =
        new GroupRecovery(
                settings.id(),
                folder.incarnation(),
                settings.peers().size(),
                RaftSettings.DEFAULT,
                SNAPSHOT_THRESHOLD_BYTES,
                !folder.isGivenUp())
            .recover(settings.partitions(), recovered, groupStorage, clock.monotonicMs());

    SnapshotDuty snapshotDuty =
        new SnapshotDuty(
            snapshotFiles,
            rings.snapshots(),
            event -> complete(rings, event),
            ControllerProcess::haltAfterStorageFailure);
    ConsensusDuty consensusDuty =
        new ConsensusDuty(
            groups,
            PeerLinks.fixed(peers),
            rings,
            groupStorage,
            new ConfigurationLeases(settings.partitions(), settings.configurationLeaseMs()),
            status,
            clock);
    consensusDuty.extend(
        SetAsideCleanup.extend(
            ConsensusExtension.NONE, folder, groups.values(), rings.snapshots()));
    resources.push(new DutyThread(storageDuty, rings.storage()).start());
    resources.push(new DutyThread(snapshotDuty, rings.snapshots()).start());
    resources.push(new DutyThread(consensusDuty, rings.events()).start());
    startServers(eventLoops, tls, rings);
    EVENTS.log(
        EventCode.PROCESS_STARTED,
        "role",
        "controller",
        "id",
        settings.id(),
        "listen",
        settings.listen(),
        "incarnation",
        folder.incarnation());
  }

  private static GroupStorage groupStorage(StorageDuty storageDuty, SnapshotFiles snapshotFiles) {
    return new GroupStorage() {
      @Override
      public Optional<SnapshotMetadata> newestSnapshot(int group) throws IOException {
        return snapshotFiles.newestMetadata(group);
      }

      @Override
      public Iterator<Object> readSnapshot(int group) throws IOException {
        return snapshotFiles.read(group);
      }

      @Override
      public void coverUpTo(Map<Integer, Long> snapshotIndexes) {
        storageDuty.coverUpTo(snapshotIndexes);
      }
    };
  }

  private void startServers(EventLoopGroup eventLoops, TransportTls tls, ControllerRings rings)
      throws IOException {
    resources.push(
        new PeerServer(
            settings.listen(),
            eventLoops,
            tls,
            (message, reply) -> route(message, reply, rings.events())));
    ControlPlane client =
        resources
            .push(
                new ControllerConnections(
                    settings.peers(), eventLoops, tls, "operator-gateway-" + settings.id()))
            .client();
    resources.push(
        new OperatorServer(
            settings.operatorListen(),
            settings.tls(),
            settings.id(),
            settings.partitions(),
            client,
            status));
    registerMetrics();
    resources.push(
        new AdminServer(
            settings.adminListen(), eventLoops, metrics, () -> status.read().isReady()));
  }

  private void registerMetrics() {
    for (int group = 0; group <= settings.partitions(); group++) {
      int index = group;
      Gauge.builder(
              "pathdeck_group_applied_index",
              status,
              section ->
                  section.read().groups().stream()
                      .filter(view -> view.group() == index)
                      .mapToLong(ControllerStatus.GroupView::appliedIndex)
                      .sum())
          .tag("group", Integer.toString(group))
          .register(metrics);
    }
  }

  private Map<Integer, PeerLink> connectPeers(EventLoopGroup eventLoops, TransportTls tls) {
    Map<Integer, PeerLink> peers = new HashMap<>();
    for (int id = 1; id <= settings.peers().size(); id++) {
      if (id != settings.id()) {
        PeerClient client = new PeerClient(settings.peers().get(id - 1), eventLoops, tls);
        resources.push(client);
        peers.put(id, client::send);
      }
    }
    return peers;
  }

  private static void route(Message message, ReplySink reply, BoundedRing<ControllerEvent> events) {
    ControllerEvent event = ControllerEvent.of(message, reply);
    if (event == null) {
      return;
    }
    boolean accepted = events.offer(event);
    if (!accepted && !(event instanceof ControllerEvent.PeerMessages)) {
      reply.reply(new Unavailable("the controller is overloaded", false));
    }
  }

  private static void complete(ControllerRings rings, ControllerEvent event) {
    while (!rings.completions().offer(event)) {
      rings.events().wakeConsumer();
      Thread.onSpinWait();
    }
    rings.events().wakeConsumer();
  }

  /** What is durable is unknown after a failed sync, so the process ends without any more steps. */
  private static void haltAfterStorageFailure() {
    Runtime.getRuntime().halt(STORAGE_FAILURE_EXIT_CODE);
  }

  /** Stops in the reverse order of the start. */
  @Override
  public void close() {
    EVENTS.log(EventCode.PROCESS_STOPPING, "role", "controller", "id", settings.id());
    resources.closeAll();
    EVENTS.log(EventCode.PROCESS_STOPPED, "role", "controller", "id", settings.id());
  }
}
