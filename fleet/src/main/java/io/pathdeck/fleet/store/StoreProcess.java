package io.pathdeck.fleet.store;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.control.ReplicaHost;
import io.pathdeck.fleet.FleetMemberProcess;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.adapter.FleetAdapter;
import io.pathdeck.fleet.engine.EngineChoice;
import io.pathdeck.fleet.engine.NettyEngineTransport;
import io.pathdeck.fleet.member.CoordinatorContacts;
import io.pathdeck.fleet.member.FleetFollower;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.MemberIds;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.metrics.MemberMetrics;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.protocol.transport.PeerServer;
import io.pathdeck.protocol.transport.TransportTls;
import io.pathdeck.state.BatchStateMachine;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;

/** A store: keeps batch jobs and, while it leads their group, runs their items. */
public final class StoreProcess implements FleetMemberProcess {
  /** The number of the group that keeps batch jobs. */
  public static final int JOBS_GROUP = 1;

  private static final EventLog EVENTS = EventLog.of(StoreProcess.class);
  private static final long SNAPSHOT_THRESHOLD_BYTES = 16L * 1024 * 1024;
  private static final long MAX_SEGMENT_BYTES = 16L * 1024 * 1024;
  private static final String FIRST_START_FILE = "first-start";

  private final StoreSettings settings;
  private final ResourceStack resources = new ResourceStack();
  private CoordinatorContacts contacts;
  private volatile JobsGroupReport report;

  private StoreProcess(StoreSettings settings) {
    this.settings = settings;
  }

  /** Recovers the data folder and starts. */
  public static Result<StoreProcess, StorageError> start(
      StoreSettings settings, TransportTls tls, FleetAdapter adapter) {
    Result<DataFolder, StorageError> folder = DataFolder.open(settings.dataFolder());
    if (!folder.isOk()) {
      return Result.err(folder.error());
    }
    StoreProcess process = new StoreProcess(settings);
    return process.run(folder.value(), tls, adapter).map(started -> process);
  }

  private Result<Void, StorageError> run(
      DataFolder folder, TransportTls tls, FleetAdapter adapter) {
    if (settings.firstStart() && folder.readFile(FIRST_START_FILE).isEmpty()) {
      Result<Void, StorageError> written = folder.writeFile(FIRST_START_FILE, "yes");
      if (!written.isOk()) {
        return Result.err(written.error());
      }
    }
    boolean mayFound = folder.readFile(FIRST_START_FILE).isPresent();
    FleetSettings fleet = settings.fleet();
    String address = fleet.listen().toString();
    EventLoopGroup eventLoops = EventLoops.create(1);
    resources.push(eventLoops::shutdownGracefully);
    EventLoop eventLoop = eventLoops.next();
    PeerPool pool = resources.push(new PeerPool(eventLoops, tls));
    BatchStateMachine state = new BatchStateMachine();
    JoinSettings join =
        new JoinSettings(
            Set.of(), Set.of(), address, MembershipPolicy.openFor(fleet.toleratedLosses()));
    ReplicaHost.Options options =
        new ReplicaHost.Options(
            JOBS_GROUP,
            MemberIds.of(address),
            join,
            state,
            SNAPSHOT_THRESHOLD_BYTES,
            MAX_SEGMENT_BYTES);
    Result<ReplicaHost, StorageError> host = ReplicaHost.open(options, folder, pool);
    if (!host.isOk()) {
      return Result.err(host.error());
    }
    FleetProcess self =
        new FleetProcess(
            fleet.name(),
            FleetRole.STORE,
            fleet.zone(),
            MemberIds.of(address),
            folder.incarnation(),
            address,
            "",
            true);
    contacts = new CoordinatorContacts(fleet, pool, eventLoops);
    FleetFollower follower =
        contacts.follower(eventLoop, () -> new FleetFollower.SelfReport(self, mayFound, report));
    startDuties(host.value(), state, pool, eventLoop, follower, adapter);
    resources.push(
        new PeerServer(
            fleet.listen(),
            eventLoops,
            tls,
            (message, reply) -> route(message, reply, host.value())));
    MemberMetrics.serve(fleet, eventLoops, follower, host.value(), pool, resources);
    follower.start();
    EVENTS.log(
        EventCode.PROCESS_STARTED,
        "role",
        "store",
        "id",
        fleet.name(),
        "listen",
        fleet.listen(),
        "member",
        self.memberId(),
        "incarnation",
        folder.incarnation());
    return Result.ok(null);
  }

  private BatchReads reads;

  private void startDuties(
      ReplicaHost host,
      BatchStateMachine state,
      PeerPool pool,
      EventLoop eventLoop,
      FleetFollower follower,
      FleetAdapter adapter) {
    GroupRuntime group = host.group();
    reads = new BatchReads(group, state);
    EngineChoice choice = new EngineChoice(settings.fleet().zone(), System.nanoTime());
    BatchRunner runner =
        new BatchRunner(
            group,
            state,
            host.clock(),
            eventLoop,
            new NettyEngineTransport(eventLoop, adapter.engines()),
            adapter.engines(),
            choice,
            host::execute);
    follower.onChange(
        view -> {
          learnMembers(view, pool);
          host.execute(() -> onChange(view, group, runner, host));
        });
    resources.push(host);
    host.start(
        nowMs -> {
          publishReport(group);
          reads.onStep(nowMs);
          runner.onStep(nowMs);
        });
    resources.push(follower);
  }

  private static void learnMembers(FleetView view, PeerPool pool) {
    for (Member member : knownMembers(view)) {
      pool.learn(member.id(), member.address());
    }
  }

  private static Set<Member> knownMembers(FleetView view) {
    Set<Member> members = new HashSet<>();
    if (view.jobsFounders() != null) {
      members.addAll(view.jobsFounders().members());
    }
    if (view.jobsGroup() != null) {
      members.addAll(view.jobsGroup().configuration().members());
    }
    return members;
  }

  private static void onChange(
      FleetView view, GroupRuntime group, BatchRunner runner, ReplicaHost host) {
    GroupConfiguration founders = view.jobsFounders();
    if (founders != null) {
      group.replica().adoptBootstrap(founders, host.clock().monotonicMs());
    }
    group
        .replica()
        .addContacts(knownMembers(view).stream().map(Member::id).collect(Collectors.toSet()));
    group.replica().setLeaving(Set.copyOf(view.leavingMembers()));
    runner.onChange(view);
  }

  private void publishReport(GroupRuntime group) {
    if (!group.isLeading()) {
      report = null;
      return;
    }
    GroupConfiguration committed = group.replica().committedConfiguration().orElse(null);
    boolean changed =
        report == null
            || report.term() != group.replica().term()
            || !report.configuration().equals(committed);
    if (committed != null && changed) {
      report = new JobsGroupReport(JOBS_GROUP, group.replica().term(), committed);
    }
  }

  private void route(Message message, ReplySink reply, ReplicaHost host) {
    if (message instanceof QueryRequest request
        && request.query() instanceof ReadBatchResults read) {
      host.execute(() -> reads.read(read, reply, host.clock().monotonicMs()));
    } else {
      host.handle(message, reply);
    }
  }

  @Override
  public void reload(FleetSettings changed) {
    contacts.setSeeds(changed.seedAddresses());
    EVENTS.log(EventCode.SETTINGS_RELOADED, "seeds", changed.seedAddresses());
  }

  @Override
  public void close() {
    EVENTS.log(EventCode.PROCESS_STOPPING, "role", "store", "id", settings.fleet().name());
    resources.closeAll();
    EVENTS.log(EventCode.PROCESS_STOPPED, "role", "store", "id", settings.fleet().name());
  }
}
