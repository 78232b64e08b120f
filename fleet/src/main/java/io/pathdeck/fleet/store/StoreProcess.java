package io.pathdeck.fleet.store;

import io.micrometer.core.instrument.MeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.Disk;
import io.pathdeck.consensus.storage.FolderRecovery;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.control.ControllerStatus;
import io.pathdeck.fleet.FleetMemberProcess;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.adapter.FleetAdapter;
import io.pathdeck.fleet.member.CoordinatorContacts;
import io.pathdeck.fleet.member.FleetFollower;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.MemberIds;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.metrics.MemberMetrics;
import io.pathdeck.fleet.origin.StreamOriginKeeper;
import io.pathdeck.fleet.quarantine.EngineCrashReporter;
import io.pathdeck.fleet.traffic.RegionTraffic;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.message.FirstStartNotice;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.protocol.transport.PeerServer;
import io.pathdeck.protocol.transport.TransportTls;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * A store: keeps a replica of one group of batch jobs and runs the group's items while it leads. In
 * memory it also keeps origins of streams for gateways.
 *
 * <p>The coordinators assign the group to a new store. The store writes the group's number to disk
 * before any of its data, so that a disk never holds parts of two groups.
 */
public final class StoreProcess implements FleetMemberProcess {
  private static final EventLog EVENTS = EventLog.of(StoreProcess.class);
  private static final String JOBS_GROUP_FILE = "jobs-group";
  private static final long FIRST_START_NOTICE_INTERVAL_MS = 500;

  private final StoreSettings settings;
  private final DataFolder folder;
  private final FleetAdapter adapter;
  private final ResourceStack resources = new ResourceStack();
  private FirstStartRecord firstStart;
  private EventLoop eventLoop;
  private PeerPool pool;
  private RegionTraffic regionTraffic;
  private CoordinatorContacts contacts;
  private FleetFollower follower;
  private EngineCrashReporter reporter;
  private StreamOriginKeeper streamOrigins;

  /** The replica of this store's group; null while the store has none. */
  private volatile JobsReplica replica;

  private StoreProcess(StoreSettings settings, DataFolder folder, FleetAdapter adapter) {
    this.settings = settings;
    this.folder = folder;
    this.adapter = adapter;
  }

  /** Recovers the data folder on the local disk and starts. */
  public static Result<StoreProcess, StorageError> start(
      StoreSettings settings, TransportTls tls, FleetAdapter adapter) {
    return start(settings, tls, adapter, Disk.LOCAL);
  }

  /** Recovers the data folder on {@code disk} and starts. */
  public static Result<StoreProcess, StorageError> start(
      StoreSettings settings, TransportTls tls, FleetAdapter adapter, Disk disk) {
    return FolderRecovery.open(
        settings.dataFolder(), disk, folder -> start(settings, tls, adapter, folder));
  }

  private static Result<StoreProcess, StorageError> start(
      StoreSettings settings, TransportTls tls, FleetAdapter adapter, DataFolder folder) {
    StoreProcess process = new StoreProcess(settings, folder, adapter);
    Result<Void, StorageError> started = process.run(tls);
    if (!started.isOk()) {
      process.resources.closeAll();
    }
    return started.map(nothing -> process);
  }

  private Result<Void, StorageError> run(TransportTls tls) {
    FleetSettings fleet = settings.fleet();
    Result<FirstStartRecord, StorageError> opened =
        FirstStartRecord.open(folder, settings.firstStart(), fleet.seedAddresses());
    if (!opened.isOk()) {
      return Result.err(opened.error());
    }
    firstStart = opened.value();
    EventLoopGroup eventLoops = EventLoops.create(1);
    resources.push(eventLoops::shutdownGracefully);
    eventLoop = eventLoops.next();
    streamOrigins = new StreamOriginKeeper(eventLoop);
    regionTraffic = new RegionTraffic(fleet.zone(), fleet.topology());
    pool =
        resources.push(
            new PeerPool(eventLoops, tls, fleet.peerCompression(), regionTraffic::meterOf));
    contacts = new CoordinatorContacts(fleet, pool, eventLoops);
    follower = contacts.createFollower(eventLoop, this::selfReport);
    follower.setChangeListener(this::onChange);
    follower.setSuspectedPartsListener(this::onSuspectedParts);
    reporter = new EngineCrashReporter(eventLoop, contacts.client(), follower::reportNow);
    follower.setNewLeaderListener(reporter::onNewLeader);
    Result<Void, StorageError> recoverResult = recoverReplica();
    if (!recoverResult.isOk()) {
      return recoverResult;
    }
    resources.push(
        new PeerServer(fleet.listen(), eventLoops, tls, fleet.peerCompression(), this::route));
    MemberMetrics.serve(
        fleet, eventLoops, follower, this::status, pool, resources, this::bindMetrics);
    resources.push(follower);
    follower.start();
    eventLoop.execute(this::tellFirstStart);
    EVENTS.log(
        EventCode.PROCESS_STARTED,
        "role",
        "store",
        "id",
        fleet.name(),
        "listen",
        fleet.listen(),
        "member",
        MemberIds.of(fleet.listen().toString()),
        "incarnation",
        folder.incarnation(),
        "jobs_group",
        groupNumber());
    return Result.ok(null);
  }

  private void bindMetrics(MeterRegistry registry) {
    regionTraffic.bindTo(registry);
    ItemMetrics.bindTo(registry, this::waiting);
    reporter.heldBackSends().bindTo(registry);
  }

  private ItemWaits.Count waiting(WaitReason reason) {
    JobsReplica currentReplica = replica;
    return currentReplica == null ? ItemWaits.Count.NONE : currentReplica.waiting(reason);
  }

  /**
   * Tells the seeds of the first start that no coordinator has led since, until one does: if all
   * were killed before they recorded the first start, nothing else lets them found their group.
   */
  private void tellFirstStart() {
    List<String> seeds = firstStart.seedsWithoutLeader();
    if (seeds.isEmpty()) {
      return;
    }
    if (!follower.hasLeaderAnswered()) {
      FirstStartNotice notice = new FirstStartNotice(seeds);
      seeds.forEach(seed -> pool.client(seed).ifPresent(client -> client.send(notice)));
    } else {
      recordLeader();
    }
    eventLoop.schedule(this::tellFirstStart, FIRST_START_NOTICE_INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void recordLeader() {
    Result<Void, StorageError> written = firstStart.onLeader();
    if (!written.isOk()) {
      EVENTS.log(EventCode.STORAGE_FAILED, "group", groupNumber(), "reason", written.error());
    }
  }

  private FleetFollower.SelfReport selfReport() {
    FleetSettings fleet = settings.fleet();
    String address = fleet.listen().toString();
    JobsReplica currentReplica = replica;
    FleetProcess self =
        new FleetProcess(
            fleet.name(),
            FleetRole.STORE,
            fleet.zone(),
            MemberIds.of(address),
            folder.incarnation(),
            address,
            "",
            true,
            groupNumber());
    return new FleetFollower.SelfReport(
        self, firstStart.tookPart(), currentReplica == null ? null : currentReplica.report());
  }

  private int groupNumber() {
    JobsReplica currentReplica = replica;
    return currentReplica == null ? FleetProcess.NO_GROUP : currentReplica.number();
  }

  private ControllerStatus status() {
    JobsReplica currentReplica = replica;
    return currentReplica == null ? new ControllerStatus(List.of()) : currentReplica.status();
  }

  // ---- the group

  /** Opens the replica of the group recorded on this disk, if any. */
  private Result<Void, StorageError> recoverReplica() {
    Result<Optional<String>, StorageError> stored = folder.readFile(JOBS_GROUP_FILE);
    if (!stored.isOk()) {
      return Result.err(stored.error());
    }
    if (stored.value().isEmpty()) {
      return Result.ok(null);
    }
    try {
      return openReplica(Integer.parseInt(stored.value().get()));
    } catch (NumberFormatException e) {
      String file = folder.path().resolve(JOBS_GROUP_FILE).toString();
      return Result.err(new StorageError.Damaged(file, 0));
    }
  }

  private Result<Void, StorageError> openReplica(int number) {
    long maxListAgeMs = settings.maxEngineListAgeMs();
    return JobsReplica.open(
            number,
            settings.fleet(),
            folder,
            pool,
            eventLoop,
            adapter.engines(),
            reporter,
            regionTraffic,
            () -> follower.isConfirmedWithin(maxListAgeMs))
        .map(
            openedReplica -> {
              replica = resources.push(openedReplica);
              openedReplica.start();
              return null;
            });
  }

  private void onChange(FleetView view) {
    regionTraffic.onChange(view);
    if (replica == null && view.assignedGroup() != FleetProcess.NO_GROUP) {
      joinGroup(view.assignedGroup());
    }
    JobsReplica currentReplica = replica;
    if (currentReplica != null) {
      currentReplica.onChange(view);
    }
  }

  private void onSuspectedParts(List<RequestFingerprint> parts) {
    JobsReplica currentReplica = replica;
    if (currentReplica != null) {
      currentReplica.onSuspectedParts(parts);
    }
  }

  private void joinGroup(int number) {
    Result<Void, StorageError> joinResult =
        folder.writeFile(JOBS_GROUP_FILE, String.valueOf(number));
    if (joinResult.isOk()) {
      joinResult = openReplica(number);
    }
    if (!joinResult.isOk()) {
      EVENTS.log(EventCode.STORAGE_FAILED, "group", number, "reason", joinResult.error());
      return;
    }
    EVENTS.log(EventCode.JOBS_GROUP_JOINED, "group", number);
    follower.reportNow();
  }

  private void route(Message message, ReplySink reply) {
    if (streamOrigins.onMessage(message, reply)) {
      return;
    }
    JobsReplica currentReplica = replica;
    if (currentReplica != null) {
      currentReplica.handle(message, reply);
    } else if (message instanceof ProposeRequest || message instanceof QueryRequest) {
      reply.reply(JobsReplica.NOT_A_MEMBER);
    }
  }

  @Override
  public void reload(FleetSettings newSettings) {
    contacts.setSeeds(newSettings.seedAddresses());
    EVENTS.log(EventCode.SETTINGS_RELOADED, "seeds", newSettings.seedAddresses());
  }

  /** Transfers leadership, so that another store resumes the items of the group, and stops. */
  @Override
  public void close() {
    EVENTS.log(EventCode.PROCESS_STOPPING, "role", "store", "id", settings.fleet().name());
    JobsReplica currentReplica = replica;
    if (currentReplica != null) {
      currentReplica.transferLeadership();
    }
    resources.closeAll();
    EVENTS.log(EventCode.PROCESS_STOPPED, "role", "store", "id", settings.fleet().name());
  }
}
