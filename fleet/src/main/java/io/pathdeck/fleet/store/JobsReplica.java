package io.pathdeck.fleet.store;

import io.netty.channel.EventLoop;
import io.pathdeck.common.duty.ResourceStack;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.JoinSettings;
import io.pathdeck.consensus.MembershipPolicy;
import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.control.ControllerStatus;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.control.ReplicaHost;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.eligibility.EngineEligibility;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineLoadBalancer.RegionPreference;
import io.pathdeck.fleet.engine.NettyEngineTransport;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.MemberIds;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.quarantine.EngineCrashReporter;
import io.pathdeck.fleet.traffic.RegionTraffic;
import io.pathdeck.fleet.warmup.WarmEnginesOnly;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.NotLeader;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.BatchStateMachine;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;

/** A store's replica of its group of batch jobs; runs items while it leads the group. */
final class JobsReplica implements AutoCloseable {
  /**
   * The reply to a call for a group that the store does not keep, so that the caller asks another
   * member.
   */
  static final NotLeader NOT_A_MEMBER = new NotLeader(RecoveredState.NO_REPLICA, "");

  private static final long SNAPSHOT_THRESHOLD_BYTES = 16L * 1024 * 1024;
  private static final long MAX_SEGMENT_BYTES = 16L * 1024 * 1024;

  /** A store that holds this much can still receive and install a snapshot of the same size. */
  private static final long MAX_JOBS_HEAP_BYTES = Runtime.getRuntime().maxMemory() / 5;

  private final int number;
  private final ReplicaHost host;
  private final PeerPool pool;
  private final BatchResultReads reads;
  private final JobSubmissions submissions;
  private final WarmEnginesOnly warmEnginesOnly = new WarmEnginesOnly();
  private final BatchRunner runner;
  private final ResourceStack resources = new ResourceStack();
  private volatile JobsGroupReport report;

  /** The latest view; null once the consensus thread has applied it. */
  private final AtomicReference<FleetView> pendingView = new AtomicReference<>();

  private JobsReplica(
      int number,
      ReplicaHost host,
      BatchStateMachine state,
      PeerPool pool,
      EventLoop eventLoop,
      FleetSettings fleet,
      EngineProtocol protocol,
      EngineCrashReporter reporter,
      RegionTraffic regionTraffic,
      BooleanSupplier engineListIsRecent) {
    this.number = number;
    this.host = host;
    this.pool = pool;
    this.reads = new BatchResultReads(host.group(), state);
    this.submissions = new JobSubmissions(host.group(), state, host.clock(), MAX_JOBS_HEAP_BYTES);
    this.runner =
        new BatchRunner(
            host.group(),
            state,
            host.clock(),
            eventLoop,
            new NettyEngineTransport(
                eventLoop, protocol, engine -> regionTraffic.engineMeter(engine.zone())),
            protocol,
            reporter,
            new EngineLoadBalancer(
                fleet.zone(), fleet.topology(), RegionPreference.BALANCED, System.nanoTime()),
            new EngineEligibility(fleet.topology(), warmEnginesOnly),
            engineListIsRecent,
            host::execute);
  }

  /** Recovers the replica from {@code folder}. */
  static Result<JobsReplica, StorageError> open(
      int number,
      FleetSettings fleet,
      DataFolder folder,
      PeerPool pool,
      EventLoop eventLoop,
      EngineProtocol protocol,
      EngineCrashReporter reporter,
      RegionTraffic regionTraffic,
      BooleanSupplier engineListIsRecent) {
    BatchStateMachine state = new BatchStateMachine();
    return ReplicaHost.open(options(number, fleet, state), folder, pool)
        .map(
            host ->
                new JobsReplica(
                    number,
                    host,
                    state,
                    pool,
                    eventLoop,
                    fleet,
                    protocol,
                    reporter,
                    regionTraffic,
                    engineListIsRecent));
  }

  static ReplicaHost.Options options(int number, FleetSettings fleet, BatchStateMachine state) {
    String address = fleet.listen().toString();
    JoinSettings join =
        new JoinSettings(
            Set.of(), Set.of(), address, MembershipPolicy.openTolerating(fleet.toleratedLosses()));
    return new ReplicaHost.Options(
        number, MemberIds.of(address), join, state, SNAPSHOT_THRESHOLD_BYTES, MAX_SEGMENT_BYTES);
  }

  /** Starts taking part in the group. */
  void start() {
    resources.push(host);
    host.start(
        nowMs -> {
          applyPendingView();
          publishReport();
          reads.onStep(nowMs);
          runner.onStep(nowMs);
        });
  }

  int number() {
    return number;
  }

  /** The replica's status; safe from any thread. */
  ControllerStatus status() {
    return host.status();
  }

  /** The report of this store on the group; null unless it leads. */
  JobsGroupReport report() {
    return report;
  }

  /** Returns the items that wait for this reason; safe from any thread. */
  ItemWaits.Count waiting(WaitReason reason) {
    return runner.waiting(reason);
  }

  private void publishReport() {
    GroupRuntime group = host.group();
    if (!group.isLeading()) {
      report = null;
      return;
    }
    GroupConfiguration committedConfiguration =
        group.replica().configurationIfCommitted().orElse(null);
    boolean isChanged =
        report == null
            || report.term() != group.replica().term()
            || !report.configuration().equals(committedConfiguration);
    if (committedConfiguration != null && isChanged) {
      report = new JobsGroupReport(number, group.replica().term(), committedConfiguration);
    }
  }

  /**
   * Applies a changed view of the fleet; safe from any thread. The consensus thread takes the view
   * in its next step, because a full queue drops tasks, and the next change may be long in coming.
   */
  void onChange(FleetView view) {
    Set<Member> members = view.knownMembersOf(number);
    members.forEach(member -> pool.learn(member.id(), member.address()));
    pendingView.set(view);
    host.execute(this::applyPendingView);
  }

  private void applyPendingView() {
    FleetView view = pendingView.getAndSet(null);
    if (view != null) {
      applyView(view, view.knownMembersOf(number));
    }
  }

  /** Applies the parts of prompts that the leading coordinator asks about; on the event loop. */
  void onSuspectedParts(List<RequestFingerprint> parts) {
    runner.onSuspectedParts(parts);
  }

  private void applyView(FleetView view, Set<Member> members) {
    GroupRuntime group = host.group();
    view.foundersOf(number)
        .ifPresent(founders -> group.replica().bootstrap(founders, host.clock().monotonicMs()));
    group.replica().addContacts(members.stream().map(Member::id).collect(Collectors.toSet()));
    group.replica().setLeaving(Set.copyOf(view.leavingMembers()));
    warmEnginesOnly.onChange(view, host.clock().monotonicMs());
    runner.onChange(view);
  }

  /** Handles a message from another process. */
  void handle(Message message, ReplySink reply) {
    if (isForAnotherGroup(message)) {
      reply.reply(NOT_A_MEMBER);
    } else if (message instanceof QueryRequest request
        && request.query() instanceof ReadBatchResults read) {
      execute(() -> reads.read(read, reply, host.clock().monotonicMs()), reply);
    } else if (message instanceof ProposeRequest request
        && request.command() instanceof SubmitBatch submission) {
      execute(() -> submissions.submit(submission, reply), reply);
    } else {
      host.handle(message, reply);
    }
  }

  private boolean isForAnotherGroup(Message message) {
    if (message instanceof QueryRequest request) {
      return request.group() != number;
    }
    return message instanceof ProposeRequest request && request.group() != number;
  }

  private void execute(Runnable action, ReplySink reply) {
    if (!host.execute(action)) {
      reply.reply(new Unavailable("too many messages wait", false));
    }
  }

  /** Transfers leadership of the group to another store if this one leads. */
  void transferLeadership() {
    host.transferLeadership();
  }

  @Override
  public void close() {
    resources.closeAll();
  }
}
