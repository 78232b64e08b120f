package io.pathdeck.fleet.coordinator;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.Disk;
import io.pathdeck.consensus.storage.FolderRecovery;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.control.ReplicaHost;
import io.pathdeck.fleet.FleetMemberProcess;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.adapter.FleetAdapter;
import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.fleet.member.CoordinatorContacts;
import io.pathdeck.fleet.member.FleetFollower;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.MemberIds;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.metrics.MemberMetrics;
import io.pathdeck.fleet.traffic.RegionTraffic;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.message.AdmissionRequest;
import io.pathdeck.protocol.message.EngineEndNotice;
import io.pathdeck.protocol.message.FirstStartNotice;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.TrialNotice;
import io.pathdeck.protocol.message.TrialRequest;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.protocol.transport.PeerServer;
import io.pathdeck.protocol.transport.TransportTls;
import io.pathdeck.serving.http.HttpExchange;
import io.pathdeck.serving.http.HttpLimits;
import io.pathdeck.serving.http.HttpServer;
import io.pathdeck.state.FleetStateMachine;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * A coordinator: replicates the configuration, tracks the processes of the fleet, and serves
 * operators and the directory of gateways.
 */
public final class CoordinatorProcess implements FleetMemberProcess {
  /** Number of the replicated group formed by the coordinators. */
  public static final int FLEET_GROUP = 0;

  private static final EventLog EVENTS = EventLog.of(CoordinatorProcess.class);
  private static final long SNAPSHOT_THRESHOLD_BYTES = 4L * 1024 * 1024;
  private static final long MAX_SEGMENT_BYTES = 8L * 1024 * 1024;
  private static final String INITIAL_MEMBERS_FILE = "founders";

  /** Maximum wait for calls in progress at shutdown; longer than an operator call can take. */
  private static final long DRAIN_TIMEOUT_MS = OperatorEndpoint.CALL_TIMEOUT_MS + 100;

  private static final HttpLimits HTTP_LIMITS =
      new HttpLimits(16 * 1024, 8 * 1024 * 1024, 8 * 1024 * 1024, 2_000, 20_000);

  private final CoordinatorSettings settings;
  private final ResourceStack resources = new ResourceStack();
  private final List<HttpServer> servers = new ArrayList<>();
  private RegionTraffic regionTraffic;
  private CoordinatorContacts contacts;
  private ReplicaHost host;

  private CoordinatorProcess(CoordinatorSettings settings) {
    this.settings = settings;
  }

  /** Recovers the data folder on the local disk and starts the process. */
  public static Result<CoordinatorProcess, StorageError> start(
      CoordinatorSettings settings, TransportTls tls, FleetAdapter adapter) {
    return start(settings, tls, adapter, Disk.LOCAL);
  }

  /** Recovers the data folder on {@code disk} and starts the process. */
  public static Result<CoordinatorProcess, StorageError> start(
      CoordinatorSettings settings, TransportTls tls, FleetAdapter adapter, Disk disk) {
    return FolderRecovery.open(
        settings.dataFolder(), disk, folder -> start(settings, tls, adapter, folder));
  }

  private static Result<CoordinatorProcess, StorageError> start(
      CoordinatorSettings settings, TransportTls tls, FleetAdapter adapter, DataFolder folder) {
    CoordinatorProcess process = new CoordinatorProcess(settings);
    Result<Void, StorageError> started = process.run(folder, tls, adapter);
    if (!started.isOk()) {
      process.resources.closeAll();
    }
    return started.map(nothing -> process);
  }

  private Result<Void, StorageError> run(
      DataFolder folder, TransportTls tls, FleetAdapter adapter) {
    FleetSettings fleet = settings.fleet();
    Result<Set<String>, StorageError> initialMembers = loadInitialMembers(folder);
    if (!initialMembers.isOk()) {
      return Result.err(initialMembers.error());
    }
    EventLoopGroup eventLoops = EventLoops.create(1);
    resources.push(eventLoops::shutdownGracefully);
    EventLoop eventLoop = eventLoops.next();
    regionTraffic = new RegionTraffic(fleet.zone(), fleet.topology());
    PeerPool pool =
        resources.push(
            new PeerPool(eventLoops, tls, fleet.peerCompression(), regionTraffic::meterOf));
    Set<String> contactAddresses = new HashSet<>(initialMembers.value());
    contactAddresses.addAll(fleet.seedAddresses());
    contactAddresses.forEach(address -> pool.learn(MemberIds.of(address), address));
    FleetStateMachine state = new FleetStateMachine();
    Result<ReplicaHost, StorageError> opened =
        ReplicaHost.open(
            replicaOptions(state, initialMembers.value(), contactAddresses), folder, pool);
    if (!opened.isOk()) {
      return Result.err(opened.error());
    }
    this.host = opened.value();
    startServices(opened.value(), state, folder, eventLoops, eventLoop, pool, tls, adapter);
    return Result.ok(null);
  }

  /**
   * Returns the addresses of the group's initial members, which are saved at the first start of the
   * system; empty if this coordinator did not take part in it.
   */
  private Result<Set<String>, StorageError> loadInitialMembers(DataFolder folder) {
    Result<Optional<String>, StorageError> read = folder.readFile(INITIAL_MEMBERS_FILE);
    if (!read.isOk()) {
      return Result.err(read.error());
    }
    Optional<String> stored = read.value();
    if (stored.isEmpty() && settings.firstStart() && !folder.isGivenUp()) {
      String addresses = String.join(",", settings.fleet().seedAddresses());
      Result<Void, StorageError> written = folder.writeFile(INITIAL_MEMBERS_FILE, addresses);
      if (!written.isOk()) {
        return Result.err(written.error());
      }
      stored = Optional.of(addresses);
    }
    return Result.ok(
        stored.map(addresses -> Set.copyOf(Arrays.asList(addresses.split(",")))).orElse(Set.of()));
  }

  private ReplicaHost.Options replicaOptions(
      FleetStateMachine state, Set<String> initialMembers, Set<String> contactAddresses) {
    FleetSettings fleet = settings.fleet();
    String address = fleet.listen().toString();
    JoinSettings join =
        new JoinSettings(
            initialMembers.contains(address) ? memberIds(initialMembers) : Set.of(),
            memberIds(contactAddresses),
            address,
            MembershipPolicy.openTolerating(fleet.toleratedLosses()));
    return new ReplicaHost.Options(
        FLEET_GROUP,
        MemberIds.of(address),
        join,
        state,
        SNAPSHOT_THRESHOLD_BYTES,
        MAX_SEGMENT_BYTES);
  }

  private static Set<Integer> memberIds(Set<String> addresses) {
    return addresses.stream().map(MemberIds::of).collect(Collectors.toSet());
  }

  /**
   * Starts the services for gateways and callers before those for operators, since starting each
   * takes noticeable time on a small machine.
   */
  private void startServices(
      ReplicaHost host,
      FleetStateMachine state,
      DataFolder folder,
      EventLoopGroup eventLoops,
      EventLoop eventLoop,
      PeerPool pool,
      TransportTls tls,
      FleetAdapter adapter) {
    FleetSettings fleet = settings.fleet();
    LastKnownFleet lastKnownFleet = resources.push(new LastKnownFleet(folder));
    FleetMembership[] membership = new FleetMembership[1];
    EngineListPoller poller =
        new EngineListPoller(
            eventLoop,
            adapter.engineList(),
            settings.engineList(),
            settings.engineListIntervalMs(),
            engines -> host.execute(() -> membership[0].onEngineList(engines)));
    membership[0] =
        new FleetMembership(
            host.group(),
            state,
            host.clock(),
            fleet.minGroupSize(),
            fleet.toleratedZones(),
            fleet.topology(),
            fleet.limitWindowMs(),
            poller::setPolling,
            lastKnownFleet.recoveredUpdate());
    contacts = new CoordinatorContacts(fleet, pool, eventLoops);
    FleetProcess self = describeSelf(folder.incarnation());
    FleetFollower follower =
        contacts.createFollower(eventLoop, () -> new FleetFollower.SelfReport(self, false, null));
    follower.setChangeListener(
        view -> {
          regionTraffic.onChange(view);
          learnCoordinators(view, host, pool);
          host.execute(() -> membership[0].onView(view));
          saveIfConfirmed(view, follower, lastKnownFleet);
        });
    follower.setMissedViewsListener(
        SoftwareVersions.MAX_VIEW_AGE_MS,
        view -> host.execute(() -> membership[0].onViewsMissed(view)));
    lastKnownFleet.start();
    resources.push(
        new PeerServer(
            fleet.listen(),
            eventLoops,
            tls,
            fleet.peerCompression(),
            (message, reply) -> dispatch(message, reply, host, membership[0], pool)));
    resources.push(host);
    host.start(membership[0]);
    GatewaySelector selector = new GatewaySelector(settings.namedGatewaysShare());
    DirectoryEndpoint directory =
        new DirectoryEndpoint(
            adapter.directory(), follower::view, new GatewayLocator(selector, fleet.topology()));
    startHttpServer(settings.directoryListen(), eventLoops, directory::handle);
    resources.push(follower);
    follower.start();
    startOperatorServer(eventLoops, follower, adapter);
    MemberMetrics.serve(
        fleet,
        eventLoops,
        follower,
        host::status,
        pool,
        resources,
        registry -> {
          GatewaySelectionMetrics.bind(registry, follower::view, selector);
          regionTraffic.bindTo(registry);
        });
    logStarted(self);
  }

  private void startOperatorServer(
      EventLoopGroup eventLoops, FleetFollower follower, FleetAdapter adapter) {
    FleetSettings fleet = settings.fleet();
    OperatorEndpoint operators =
        new OperatorEndpoint(
            adapter.operators(),
            contacts.client(),
            follower::view,
            fleet.minGroupSize(),
            fleet.topology());
    startHttpServer(settings.operatorsListen(), eventLoops, operators::handle);
  }

  private static void logStarted(FleetProcess self) {
    EVENTS.log(
        EventCode.PROCESS_STARTED,
        "role",
        "coordinator",
        "id",
        self.name(),
        "listen",
        self.peerAddress(),
        "member",
        self.memberId(),
        "incarnation",
        self.incarnation());
  }

  /**
   * Adds the coordinators of the view to those asked for admission: the leader, which alone admits
   * members, need not be one of the seeds.
   */
  private static void learnCoordinators(FleetView view, ReplicaHost host, PeerPool pool) {
    Set<Integer> memberIds = new HashSet<>();
    for (FleetProcess coordinator : view.withRole(FleetRole.COORDINATOR)) {
      pool.learn(coordinator.memberId(), coordinator.peerAddress());
      memberIds.add(coordinator.memberId());
    }
    host.execute(() -> host.group().replica().addContacts(memberIds));
  }

  /**
   * Saves a view only if a leader confirmed it: the last-known state of another coordinator may be
   * older than the file.
   */
  private static void saveIfConfirmed(
      FleetView view, FleetFollower follower, LastKnownFleet lastKnownFleet) {
    if (follower.isConfirmed()) {
      lastKnownFleet.saveAsync(view);
    }
  }

  private FleetProcess describeSelf(long incarnation) {
    FleetSettings fleet = settings.fleet();
    return new FleetProcess(
        fleet.name(),
        FleetRole.COORDINATOR,
        fleet.zone(),
        MemberIds.of(fleet.listen().toString()),
        incarnation,
        fleet.listen().toString(),
        settings.operatorsListen().toString(),
        true,
        FleetProcess.NO_GROUP);
  }

  private static void dispatch(
      Message message,
      ReplySink reply,
      ReplicaHost host,
      FleetMembership membership,
      PeerPool pool) {
    if (message instanceof FleetHeartbeat heartbeat) {
      host.execute(() -> membership.onHeartbeat(heartbeat, reply));
    } else if (message instanceof AdmissionRequest request) {
      host.execute(() -> membership.onAdmission(request, reply));
    } else if (message instanceof EngineEndNotice notice) {
      host.execute(() -> membership.onEngineCrashes(notice, reply));
    } else if (message instanceof TrialNotice notice) {
      host.execute(() -> membership.onTrialNotice(notice, reply));
    } else if (message instanceof TrialRequest request) {
      host.execute(() -> membership.onTrialRequest(request, reply));
    } else if (message instanceof FirstStartNotice notice) {
      learnFounders(notice.seedAddresses(), host, pool);
    } else {
      host.handle(message, reply);
    }
  }

  /**
   * Lets a coordinator that was killed before it saved the initial members found the group with
   * them.
   */
  private static void learnFounders(List<String> addresses, ReplicaHost host, PeerPool pool) {
    Set<Integer> ids = memberIds(Set.copyOf(addresses));
    host.execute(
        () -> {
          if (host.group().replica().learnFounders(ids)) {
            addresses.forEach(address -> pool.learn(MemberIds.of(address), address));
            EVENTS.log(EventCode.FOUNDERS_LEARNED, "founders", addresses);
          }
        });
  }

  private void startHttpServer(
      HostPort address, EventLoopGroup eventLoops, Consumer<HttpExchange> handler) {
    HttpServer server = new HttpServer(address, eventLoops, HTTP_LIMITS, Optional.empty(), handler);
    servers.add(resources.push(server));
  }

  @Override
  public void reload(FleetSettings newSettings) {
    contacts.setSeeds(newSettings.seedAddresses());
    EVENTS.log(EventCode.SETTINGS_RELOADED, "seeds", newSettings.seedAddresses());
  }

  /** Shuts down gracefully: hands over the leadership and finishes calls in progress. */
  @Override
  public void close() {
    EVENTS.log(EventCode.PROCESS_STOPPING, "role", "coordinator", "id", settings.fleet().name());
    servers.forEach(HttpServer::closeConnectionsAfterResponses);
    host.transferLeadership();
    servers.forEach(server -> server.drain(DRAIN_TIMEOUT_MS));
    resources.closeAll();
    EVENTS.log(EventCode.PROCESS_STOPPED, "role", "coordinator", "id", settings.fleet().name());
  }
}
