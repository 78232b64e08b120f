package io.pathdeck.state;

import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.FoundJobsGroups;
import io.pathdeck.protocol.command.PutRouteTable;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.RouteTableHeld;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadRouteTable;
import io.pathdeck.protocol.query.RouteTableResult;
import io.pathdeck.protocol.snapshot.FleetRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The state of a fleet's configuration group: the routes under the highest version taken, the first
 * members of the groups that keep batch jobs, and the stores that are being emptied.
 *
 * <p>Every command is idempotent, so that a resent one needs no stored answer.
 */
public final class FleetStateMachine implements StateMachine {
  private final LogicalClock clock = new LogicalClock();
  private RouteTable table;
  private List<JobsGroupFounders> jobsFounders = List.of();
  private final Map<Integer, SetStoreLeaving> leaving = new LinkedHashMap<>();

  /** The configuration held; empty before the first one. */
  public Optional<RouteTable> table() {
    return Optional.ofNullable(table);
  }

  /** The groups that keep batch jobs with their first members; none before they were founded. */
  public List<JobsGroupFounders> jobsFounders() {
    return jobsFounders;
  }

  /** The stores that are being emptied. */
  public List<SetStoreLeaving> leaving() {
    return List.copyOf(leaving.values());
  }

  @Override
  public long timeMs() {
    return clock.nowMs();
  }

  @Override
  public boolean waitsForTime() {
    return false;
  }

  @Override
  public CommandResult apply(CommandEnvelope envelope) {
    clock.advance(envelope.proposedAtMs());
    Command command = envelope.command();
    if (command instanceof PutRouteTable put) {
      return putRouteTable(put.table());
    }
    if (command instanceof FoundJobsGroups found) {
      if (jobsFounders.isEmpty()) {
        jobsFounders = List.copyOf(found.groups());
      }
      return new Done();
    }
    if (command instanceof SetStoreLeaving store) {
      leaving.put(store.memberId(), store);
      return new Done();
    }
    return new Rejected(RejectionCode.INVALID, "not a command of the fleet group");
  }

  private CommandResult putRouteTable(RouteTable sent) {
    if (table == null || sent.version() > table.version()) {
      table = sent;
    }
    return new RouteTableHeld(table.version());
  }

  @Override
  public QueryResult query(Query query) {
    if (query instanceof ReadRouteTable) {
      return new RouteTableResult(table);
    }
    return new NotFound("not a query of the fleet group");
  }

  @Override
  public Iterator<Object> captureSnapshot() {
    List<Object> records = new ArrayList<>();
    records.add(
        new FleetRecord(
            clock.nowMs(),
            table,
            new ArrayList<>(jobsFounders),
            new ArrayList<>(leaving.values())));
    return records.iterator();
  }

  @Override
  public void restoreSnapshot(Iterator<Object> records) {
    leaving.clear();
    while (records.hasNext()) {
      if (records.next() instanceof FleetRecord fleet) {
        clock.restore(fleet.clockMs());
        table = fleet.table();
        jobsFounders = List.copyOf(fleet.jobsFounders());
        fleet.leaving().forEach(store -> leaving.put(store.memberId(), store));
      }
    }
  }
}
