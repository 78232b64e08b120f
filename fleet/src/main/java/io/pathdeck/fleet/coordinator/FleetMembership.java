package io.pathdeck.fleet.coordinator;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.consensus.RecoveredState;
import io.pathdeck.control.ConsensusExtension;
import io.pathdeck.control.ControllerClock;
import io.pathdeck.control.GroupRuntime;
import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.message.AdmissionRequest;
import io.pathdeck.protocol.message.EngineEndNotice;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import io.pathdeck.protocol.message.TrialNotice;
import io.pathdeck.protocol.message.TrialRequest;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.state.FleetStateMachine;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Tracks the processes and engines of the fleet on the leading coordinator; runs on the consensus
 * thread.
 *
 * <p>This state is not replicated: a new leader collects it again under its own term, and sends no
 * list of processes until all of them have had time to report.
 */
final class FleetMembership implements ConsensusExtension {
  /** How long a process may send no heartbeat before it is removed from the list. */
  private static final long PROCESS_TIMEOUT_MS = 1_500;

  /** How long a new leader collects heartbeats before it sends the list of processes. */
  private static final long COLLECTION_PERIOD_MS = JobsGroupRegistry.COLLECTION_PERIOD_MS;

  private static final EventLog EVENTS = EventLog.of(FleetMembership.class);

  private final GroupRuntime group;
  private final FleetStateMachine state;
  private final ControllerClock clock;
  private final int minGroupSize;
  private final int toleratedZones;
  private final Topology topology;
  private final TenantAdmission tenantAdmission;
  private final QuarantineManager quarantineManager;
  private final Consumer<Boolean> leadershipListener;
  private final LastKnownResponder lastKnownResponder;
  private final VersionedList<FleetProcess> processes = new VersionedList<>();
  private final VersionedList<EngineInstance> engines = new VersionedList<>();
  private final SoftwareVersions softwareVersions = new SoftwareVersions();
  private final Map<String, Long> lastHeartbeatMs = new HashMap<>();
  private final FoundingCandidates foundingCandidates = new FoundingCandidates();
  private final ReplacementPolicy replacementPolicy;
  private final JobsGroupRegistry jobsGroups;
  private boolean leading;
  private long epoch;
  private long leaderSinceMs;
  private boolean enginesKnown;
  private boolean foundingProposed;

  /**
   * Creates the membership; call when this coordinator becomes able to answer, since the time
   * limits of last-known state start here.
   *
   * @param group the replicated group of the coordinators
   * @param state the replicated fleet state
   * @param clock the clock of the consensus thread
   * @param minGroupSize minimum number of stores in a jobs group
   * @param toleratedZones number of zones that may be lost at once
   * @param topology the zones of the fleet and their regions
   * @param limitWindowMs time window of the tenants' rate limits
   * @param leadershipListener called when this coordinator starts or stops leading
   * @param savedUpdate the fleet state saved before the restart of this coordinator
   */
  FleetMembership(
      GroupRuntime group,
      FleetStateMachine state,
      ControllerClock clock,
      int minGroupSize,
      int toleratedZones,
      Topology topology,
      long limitWindowMs,
      Consumer<Boolean> leadershipListener,
      Optional<FleetUpdate> savedUpdate) {
    this.lastKnownResponder = new LastKnownResponder(savedUpdate, clock.monotonicMs());
    this.group = group;
    this.state = state;
    this.clock = clock;
    this.minGroupSize = minGroupSize;
    this.toleratedZones = toleratedZones;
    this.topology = topology;
    this.tenantAdmission = new TenantAdmission(group, state, limitWindowMs);
    this.quarantineManager = new QuarantineManager(group, state, clock);
    this.replacementPolicy =
        new ReplacementPolicy(JobsGroupFounding.targetSize(minGroupSize), minGroupSize, topology);
    this.jobsGroups =
        new JobsGroupRegistry(
            replacementPolicy,
            new ZoneBalance(JobsGroupFounding.targetSize(minGroupSize), toleratedZones));
    this.leadershipListener = leadershipListener;
    savedUpdate.ifPresent(
        saved ->
            softwareVersions.onView(
                saved.engines().changed(),
                saved.retiredOrigins(),
                saved.joiningOrigins(),
                clock.monotonicMs()));
  }

  /** Applies the view that another leader sent, so that this one knows it when it leads. */
  void onView(FleetView view) {
    if (view.routes() != null) {
      softwareVersions.onRoutes(view.routes());
    }
    if (!leading && view.engines() != null) {
      softwareVersions.onView(
          view.engines().values(),
          view.retiredOrigins(),
          view.joiningOrigins(),
          clock.monotonicMs());
    }
  }

  /** Applies that views of another leader have been missed before {@code view}. */
  void onViewsMissed(FleetView view) {
    if (!leading) {
      softwareVersions.onViewsMissed(view.retiredOrigins(), clock.monotonicMs());
    }
  }

  @Override
  public void onStep(long nowMs) {
    boolean leads = group.isLeading();
    boolean newTerm = leads && group.replica().term() != epoch;
    if (leads != leading || newTerm) {
      onLeadershipChanged(leads, nowMs);
    }
    if (leading) {
      removeExpiredProcesses(nowMs);
      tenantAdmission.removeSilentGateways(nowMs);
      quarantineManager.onStep(nowMs);
      foundJobsGroupsIfReady(nowMs);
    }
  }

  private void onLeadershipChanged(boolean leads, long nowMs) {
    leading = leads;
    epoch = group.replica().term();
    leaderSinceMs = nowMs;
    processes.clear();
    engines.clear();
    lastHeartbeatMs.clear();
    foundingCandidates.clear();
    enginesKnown = false;
    foundingProposed = false;
    jobsGroups.clear(nowMs);
    tenantAdmission.clear();
    quarantineManager.clear();
    leadershipListener.accept(leads);
  }

  private void removeExpiredProcesses(long nowMs) {
    for (String name : processes.keys()) {
      long silentMs = nowMs - lastHeartbeatMs.getOrDefault(name, nowMs);
      if (silentMs > PROCESS_TIMEOUT_MS) {
        processes.remove(name);
        EVENTS.log(EventCode.PROCESS_LOST, "process", name, "silent_ms", silentMs);
      }
    }
  }

  // ---- heartbeats

  /**
   * Answers a heartbeat after confirming that this coordinator leads. While it knows no leader, it
   * sends last-known state to processes that have no list from a leader.
   */
  void onHeartbeat(FleetHeartbeat heartbeat, ReplySink reply) {
    long nowMs = clock.monotonicMs();
    if (isLeaderUnknown()) {
      Optional<FleetUpdate> saved = lastKnownResponder.answerWithoutLeader(heartbeat, nowMs);
      if (saved.isPresent()) {
        replyLastKnown(heartbeat, saved.get(), reply);
        return;
      }
    }
    group.readLinearizably(() -> answer(heartbeat, reply), reply, nowMs);
  }

  private static void replyLastKnown(
      FleetHeartbeat heartbeat, FleetUpdate update, ReplySink reply) {
    if (update.routes() != null) {
      String process = heartbeat.sender().name();
      long version = update.routes().version();
      EVENTS.log(EventCode.LAST_KNOWN_TOLD, "process", process, "version", version);
    }
    reply.reply(update);
  }

  private boolean isLeaderUnknown() {
    return group.replica().leaderId() == RecoveredState.NO_REPLICA;
  }

  private void answer(FleetHeartbeat heartbeat, ReplySink reply) {
    long nowMs = clock.monotonicMs();
    if (!leading) {
      onLeadershipChanged(true, nowMs);
    }
    recordHeartbeat(heartbeat, nowMs);
    List<String> contendedTenants =
        tenantAdmission.onHeartbeat(heartbeat.sender(), heartbeat.tenantUse(), nowMs);
    reply.reply(
        new FleetUpdate(
            routesFor(heartbeat),
            enginesFor(heartbeat, nowMs),
            processesFor(heartbeat, nowMs),
            state.jobsFounders(),
            jobsGroups.reports(),
            groupFor(heartbeat.sender(), nowMs),
            leavingMembers(),
            contendedTenants,
            quarantineManager.updateFor(heartbeat.quarantineVersion()),
            evacuatedZonesFor(heartbeat),
            state.jobsGroupRegions(),
            softwareVersions.retiredOrigins(nowMs),
            softwareVersions.joiningOrigins(nowMs),
            quarantineManager.suspectedParts()));
  }

  private void recordHeartbeat(FleetHeartbeat heartbeat, long nowMs) {
    FleetProcess sender = heartbeat.sender();
    if (processes.get(sender.name()) == null) {
      EVENTS.log(
          EventCode.PROCESS_JOINED,
          "process",
          sender.name(),
          "role",
          sender.role(),
          "address",
          sender.peerAddress());
    }
    processes.put(sender.name(), sender);
    lastHeartbeatMs.put(sender.name(), nowMs);
    JobsGroupReport report = heartbeat.jobsGroup();
    if (report != null) {
      jobsGroups.onReport(report);
    }
    foundingCandidates.onHeartbeat(sender, heartbeat.mayFound(), nowMs);
  }

  /** Admits or rejects one request of a tenant near its rate limit. */
  void onAdmission(AdmissionRequest request, ReplySink reply) {
    long nowMs = clock.monotonicMs();
    boolean collectionDone = leading && nowMs - leaderSinceMs >= COLLECTION_PERIOD_MS;
    reply.reply(tenantAdmission.decide(request, collectionDone, nowMs));
  }

  void onEngineCrashes(EngineEndNotice notice, ReplySink reply) {
    quarantineManager.onNotice(notice, reply, clock.monotonicMs());
  }

  void onTrialRequest(TrialRequest request, ReplySink reply) {
    quarantineManager.onTrialRequest(request, reply, clock.monotonicMs());
  }

  void onTrialNotice(TrialNotice notice, ReplySink reply) {
    quarantineManager.onTrialNotice(notice, reply, clock.monotonicMs());
  }

  private List<Integer> leavingMembers() {
    return state.leavingStores().stream().map(SetStoreLeaving::memberId).toList();
  }

  /** Returns the group that a store has or is to join. */
  private int groupFor(FleetProcess sender, long nowMs) {
    if (sender.role() != FleetRole.STORE) {
      return sender.jobsGroup();
    }
    replacementPolicy.update(state.jobsGroupRegions(), state.routeTable());
    int assignedGroup =
        jobsGroups.groupFor(
            sender, state.jobsFounders(), processes.values(), Set.copyOf(leavingMembers()), nowMs);
    if (assignedGroup != sender.jobsGroup()) {
      EVENTS.log(EventCode.STORE_ASSIGNED, "store", sender.name(), "group", assignedGroup);
    }
    return assignedGroup;
  }

  private void foundJobsGroupsIfReady(long nowMs) {
    boolean canFound = foundingCandidates.areSettled(minGroupSize, nowMs);
    if (foundingProposed || !canFound || !state.jobsFounders().isEmpty()) {
      return;
    }
    foundingProposed = true;
    if (!JobsGroupFounding.isFirst(processes.values())) {
      EVENTS.log(EventCode.FOUNDING_REFUSED, "reason", "stores report groups already");
      return;
    }
    JobsFounding founding =
        JobsFounding.of(foundingCandidates.stores(), minGroupSize, toleratedZones, topology);
    for (JobsGroupFounders founders : founding.groups()) {
      EVENTS.log(
          EventCode.JOBS_GROUP_FOUNDED,
          "group",
          founders.group(),
          "members",
          founders.configuration().members());
    }
    group.propose("", 0, founding.command(), reply -> {}, clock);
  }

  private RouteTable routesFor(FleetHeartbeat heartbeat) {
    RouteTable current = state.routeTable().orElse(null);
    if (current == null || current.version() <= heartbeat.routeVersion()) {
      return null;
    }
    return current.withoutDocument();
  }

  private EvacuatedZones evacuatedZonesFor(FleetHeartbeat heartbeat) {
    EvacuatedZones current = state.evacuatedZones();
    return current.version() == heartbeat.evacuationVersion() ? null : current;
  }

  private EngineListDelta enginesFor(FleetHeartbeat heartbeat, long nowMs) {
    if (!enginesKnown) {
      return lastKnownResponder.enginesBeforeFirstRead(heartbeat, nowMs);
    }
    VersionedList.Delta<EngineInstance> delta =
        engines.since(heartbeat.engineSequence(), heartbeat.engineEpoch() == epoch);
    return new EngineListDelta(
        epoch, delta.full(), delta.changed(), delta.removed(), delta.sequence());
  }

  private ProcessListDelta processesFor(FleetHeartbeat heartbeat, long nowMs) {
    if (nowMs - leaderSinceMs < COLLECTION_PERIOD_MS) {
      return null;
    }
    VersionedList.Delta<FleetProcess> delta =
        processes.since(heartbeat.processSequence(), heartbeat.processEpoch() == epoch);
    return new ProcessListDelta(
        epoch, delta.full(), delta.changed(), delta.removed(), delta.sequence());
  }

  // ---- engines

  /** Replaces the list of engines; ignored unless this coordinator leads. */
  void onEngineList(List<EngineInstance> listedEngines) {
    if (!leading) {
      return;
    }
    state.routeTable().ifPresent(softwareVersions::onRoutes);
    softwareVersions.onList(listedEngines, clock.monotonicMs());
    Set<String> listedIds =
        listedEngines.stream().map(EngineInstance::id).collect(Collectors.toSet());
    int changes = 0;
    for (EngineInstance engine : listedEngines) {
      changes += engines.put(engine.id(), engine) ? 1 : 0;
    }
    for (String id : engines.keys()) {
      if (!listedIds.contains(id)) {
        engines.remove(id);
        changes++;
      }
    }
    enginesKnown = true;
    if (changes > 0) {
      EVENTS.log(
          EventCode.ENGINE_LIST_CHANGED, "engines", listedEngines.size(), "changes", changes);
    }
  }
}
