package io.pathdeck.state;

import static java.util.Collections.nCopies;

import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.CountQuarantineTrial;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.EvacuatedZonesHeld;
import io.pathdeck.protocol.command.FoundJobsGroups;
import io.pathdeck.protocol.command.FoundJobsGroupsInRegions;
import io.pathdeck.protocol.command.PutRouteTable;
import io.pathdeck.protocol.command.PutRouteTableV1;
import io.pathdeck.protocol.command.QuarantineRequests;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.ReleaseRequests;
import io.pathdeck.protocol.command.RouteTableHeld;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.command.SetZoneEvacuated;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.legacy.FleetRecordV1;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadRouteTable;
import io.pathdeck.protocol.query.RouteTableResult;
import io.pathdeck.protocol.snapshot.EvacuationRecord;
import io.pathdeck.protocol.snapshot.FleetRecord;
import io.pathdeck.protocol.snapshot.JobsGroupRegionsRecord;
import io.pathdeck.protocol.snapshot.QuarantineRecord;
import io.pathdeck.protocol.snapshot.QuarantineTrialsRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The state of a fleet's configuration group: the route table with the highest version, the
 * founding members of the groups that keep batch jobs, the stores that are leaving, the requests
 * that must not reach engines, and the evacuated zones.
 *
 * <p>Results need not be stored for resends: every command but the count of a trial is idempotent,
 * and a trial that is counted twice only leaves fewer.
 */
public final class FleetStateMachine implements StateMachine {
  /**
   * Limits the quarantine list, which is sent whole after a change, to about 32 KB at 60 bytes per
   * request; the oldest are evicted.
   */
  private static final int MAX_QUARANTINED = 512;

  private final LogClock clock = new LogClock();
  private RouteTable routeTable;
  private List<JobsGroupFounders> jobsFounders = List.of();
  private List<JobsGroupRegions> jobsGroupRegions = List.of();
  private final Map<Integer, SetStoreLeaving> leavingStores = new LinkedHashMap<>();
  private final LinkedHashSet<RequestFingerprint> quarantinedRequests = new LinkedHashSet<>();
  private final Map<RequestFingerprint, Integer> quarantineTrials = new LinkedHashMap<>();
  private long quarantineVersion;
  private EvacuatedZones evacuatedZones = EvacuatedZones.NONE;

  /** The route table; empty until the first one is stored. */
  public Optional<RouteTable> routeTable() {
    return Optional.ofNullable(routeTable);
  }

  /** The groups that keep batch jobs, with their founding members; empty until they are founded. */
  public List<JobsGroupFounders> jobsFounders() {
    return jobsFounders;
  }

  /** The regions of the groups' founding members; empty in a fleet without regions. */
  public List<JobsGroupRegions> jobsGroupRegions() {
    return jobsGroupRegions;
  }

  /** The stores that are leaving. */
  public List<SetStoreLeaving> leavingStores() {
    return List.copyOf(leavingStores.values());
  }

  /** The requests that must not reach engines, oldest first. */
  public QuarantineList quarantine() {
    return new QuarantineList(quarantineVersion, List.copyOf(quarantinedRequests));
  }

  /** Whether a request must not reach engines. */
  public boolean isQuarantined(RequestFingerprint request) {
    return quarantinedRequests.contains(request);
  }

  /**
   * How often a quarantined request or part has been tried, under all leaders; a part at all
   * services together.
   */
  public int quarantineTrials(RequestFingerprint suspect) {
    return quarantineTrials.entrySet().stream()
        .filter(tried -> isSame(tried.getKey(), suspect))
        .mapToInt(Map.Entry::getValue)
        .sum();
  }

  private static boolean isSame(RequestFingerprint tried, RequestFingerprint suspect) {
    return tried.equals(suspect) || tried.isSamePromptPart(suspect);
  }

  /** The version of {@link #quarantine()}. */
  public long quarantineVersion() {
    return quarantineVersion;
  }

  /** The zones whose engines must get nothing new. */
  public EvacuatedZones evacuatedZones() {
    return evacuatedZones;
  }

  @Override
  public long logTimeMs() {
    return clock.nowMs();
  }

  @Override
  public boolean needsTimeAdvance() {
    return false;
  }

  @Override
  public CommandResult apply(CommandEnvelope envelope) {
    clock.advance(envelope.proposedAtMs());
    Command command = envelope.command();
    if (command instanceof PutRouteTable put) {
      return putRouteTable(put.table());
    }
    if (command instanceof PutRouteTableV1 put) {
      return putRouteTable(put.table().toCurrent());
    }
    if (command instanceof SetZoneEvacuated order) {
      return setEvacuated(order);
    }
    if (command instanceof FoundJobsGroups found) {
      foundJobsGroups(found.groups(), List.of());
      return new Done();
    }
    if (command instanceof FoundJobsGroupsInRegions found) {
      foundJobsGroups(found.groups(), found.regions());
      return new Done();
    }
    if (command instanceof SetStoreLeaving setLeaving) {
      leavingStores.put(setLeaving.memberId(), setLeaving);
      return new Done();
    }
    if (command instanceof QuarantineRequests quarantine) {
      addToQuarantine(quarantine.requests());
      return new Done();
    }
    if (command instanceof ReleaseRequests release) {
      quarantineVersion += quarantinedRequests.removeAll(Set.copyOf(release.requests())) ? 1 : 0;
      quarantineTrials.keySet().retainAll(quarantinedRequests);
      return new Done();
    }
    if (command instanceof CountQuarantineTrial trial) {
      if (quarantinedRequests.contains(trial.suspect())) {
        quarantineTrials.merge(trial.suspect(), 1, Integer::sum);
      }
      return new Done();
    }
    return new Rejected(RejectionCode.INVALID, "not a command of the fleet group");
  }

  private void foundJobsGroups(List<JobsGroupFounders> groups, List<JobsGroupRegions> regions) {
    if (jobsFounders.isEmpty()) {
      jobsFounders = List.copyOf(groups);
      jobsGroupRegions = List.copyOf(regions);
    }
  }

  private void addToQuarantine(List<RequestFingerprint> added) {
    if (!quarantinedRequests.addAll(added)) {
      return;
    }
    quarantineVersion++;
    Iterator<RequestFingerprint> oldest = quarantinedRequests.iterator();
    while (quarantinedRequests.size() > MAX_QUARANTINED) {
      oldest.next();
      oldest.remove();
    }
    quarantineTrials.keySet().retainAll(quarantinedRequests);
  }

  /** Applies an order unless the zones have changed since its sender read them. */
  private CommandResult setEvacuated(SetZoneEvacuated order) {
    boolean isOutdated = order.basedOnVersion() != evacuatedZones.version();
    if (!isOutdated && evacuatedZones.contains(order.zone()) != order.evacuated()) {
      List<String> zones = new ArrayList<>(evacuatedZones.zones());
      if (order.evacuated()) {
        zones.add(order.zone());
      } else {
        zones.remove(order.zone());
      }
      evacuatedZones = new EvacuatedZones(evacuatedZones.version() + 1, zones);
    }
    return new EvacuatedZonesHeld(evacuatedZones);
  }

  private CommandResult putRouteTable(RouteTable proposed) {
    if (routeTable == null || proposed.version() > routeTable.version()) {
      routeTable = proposed;
    }
    return new RouteTableHeld(routeTable.version());
  }

  @Override
  public QueryResult query(Query query) {
    if (query instanceof ReadRouteTable) {
      return new RouteTableResult(routeTable);
    }
    return new NotFound("not a query of the fleet group");
  }

  @Override
  public Iterator<Object> captureSnapshot() {
    List<Object> records = new ArrayList<>();
    records.add(
        new FleetRecord(
            clock.nowMs(),
            routeTable,
            new ArrayList<>(jobsFounders),
            new ArrayList<>(leavingStores.values())));
    records.add(new QuarantineRecord(quarantine()));
    records.add(new EvacuationRecord(evacuatedZones));
    if (!quarantineTrials.isEmpty()) {
      List<RequestFingerprint> trials = new ArrayList<>();
      quarantineTrials.forEach((suspect, count) -> trials.addAll(nCopies(count, suspect)));
      records.add(new QuarantineTrialsRecord(trials));
    }
    if (!jobsGroupRegions.isEmpty()) {
      records.add(new JobsGroupRegionsRecord(jobsGroupRegions));
    }
    return records.iterator();
  }

  @Override
  public void restoreSnapshot(Iterator<Object> records) {
    leavingStores.clear();
    quarantinedRequests.clear();
    quarantineTrials.clear();
    quarantineVersion = QuarantineList.NONE.version();
    evacuatedZones = EvacuatedZones.NONE;
    jobsGroupRegions = List.of();
    while (records.hasNext()) {
      Object record = records.next();
      if (record instanceof EvacuationRecord evacuation) {
        evacuatedZones = evacuation.evacuatedZones();
      } else if (record instanceof JobsGroupRegionsRecord groupRegions) {
        jobsGroupRegions = List.copyOf(groupRegions.regions());
      } else if (record instanceof QuarantineRecord quarantineRecord) {
        quarantineVersion = quarantineRecord.quarantine().version();
        quarantinedRequests.addAll(quarantineRecord.quarantine().requests());
      } else if (record instanceof QuarantineTrialsRecord trialsRecord) {
        trialsRecord.trials().forEach(trial -> quarantineTrials.merge(trial, 1, Integer::sum));
      } else if (record instanceof FleetRecord fleet) {
        restore(fleet);
      } else if (record instanceof FleetRecordV1 fleet) {
        restore(fleet.toCurrent());
      } else {
        throw StateMachine.unknownRecord(record);
      }
    }
  }

  private void restore(FleetRecord fleet) {
    clock.restore(fleet.clockMs());
    routeTable = fleet.table();
    jobsFounders = List.copyOf(fleet.jobsFounders());
    fleet.leaving().forEach(store -> leavingStores.put(store.memberId(), store));
  }
}
