package io.pathdeck.state;

import io.pathdeck.protocol.command.ApplyDelta;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.DeclarationApplied;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.SetEngineDraining;
import io.pathdeck.protocol.command.VersionConflict;
import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.DeclarationDelta;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.query.DeclarationResult;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadDeclaration;
import io.pathdeck.protocol.snapshot.DedupRecord;
import io.pathdeck.protocol.snapshot.MetaRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/** The state of the meta group: the declaration and its version, and results of recent commands. */
public final class MetaStateMachine implements StateMachine {
  /** How many past deltas are kept to update processes without sending the whole declaration. */
  private static final int MAX_DELTAS = 256;

  private static final DeclarationDelta NO_REMOVALS =
      new DeclarationDelta(Declaration.EMPTY, List.of(), List.of(), List.of());

  private final LogClock clock = new LogClock();
  private final DedupTable dedup = new DedupTable();
  private final DeclarationStore declarationStore = new DeclarationStore();
  private final TreeMap<Long, DeclarationDelta> deltas = new TreeMap<>();

  /** The declaration with its version and digest; confined to the state machine's thread. */
  public DeclarationStore declarationStore() {
    return declarationStore;
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
    long nowMs = clock.advance(envelope.proposedAtMs());
    Optional<CommandResult> stored = dedup.find(envelope.clientId(), envelope.requestId());
    if (stored.isPresent()) {
      return stored.get();
    }
    CommandResult result = execute(envelope.command());
    dedup.store(envelope.clientId(), envelope.requestId(), result, nowMs);
    return result;
  }

  private CommandResult execute(Command command) {
    if (command instanceof ApplyDelta apply) {
      return applyDelta(apply);
    }
    if (command instanceof SetEngineDraining draining) {
      return setDraining(draining);
    }
    return new Rejected(RejectionCode.INVALID, "not a command of the meta group");
  }

  private CommandResult applyDelta(ApplyDelta apply) {
    if (apply.expectedVersion() != declarationStore.version()) {
      return new VersionConflict(declarationStore.version());
    }
    if (apply.delta().isEmpty()) {
      return new DeclarationApplied(declarationStore.version(), new ArrayList<>());
    }
    List<String> changes = declarationStore.describe(apply.delta());
    accept(apply.delta());
    return new DeclarationApplied(declarationStore.version(), changes);
  }

  private CommandResult setDraining(SetEngineDraining command) {
    EngineSpec engine = declarationStore.engine(command.engine());
    if (engine == null) {
      return new Rejected(RejectionCode.NOT_FOUND, "no engine " + command.engine());
    }
    EngineSpec changedEngine =
        new EngineSpec(
            engine.name(),
            engine.address(),
            engine.zone(),
            engine.service(),
            engine.batchSlots(),
            command.draining());
    Declaration upsert = new Declaration(List.of(), List.of(), List.of(changedEngine));
    DeclarationDelta delta =
        new DeclarationDelta(upsert, new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
    List<String> changes = declarationStore.describe(delta);
    accept(delta);
    return new DeclarationApplied(declarationStore.version(), changes);
  }

  private void accept(DeclarationDelta delta) {
    long version = declarationStore.version() + 1;
    declarationStore.apply(delta, version);
    deltas.put(version, delta);
    if (deltas.size() > MAX_DELTAS) {
      deltas.pollFirstEntry();
    }
  }

  /** The delta from {@code version} to the next; empty when it is no longer kept. */
  public Optional<DeclarationDelta> deltaAfter(long version) {
    return Optional.ofNullable(deltas.get(version + 1));
  }

  /** The whole declaration as a delta from an empty one. */
  public DeclarationDelta fullDelta() {
    return new DeclarationDelta(
        declarationStore.declaration(),
        NO_REMOVALS.removedTenants(),
        NO_REMOVALS.removedServices(),
        NO_REMOVALS.removedEngines());
  }

  @Override
  public QueryResult query(Query query) {
    if (query instanceof ReadDeclaration) {
      return new DeclarationResult(declarationStore.version(), declarationStore.declaration());
    }
    return new NotFound("not a query of the meta group");
  }

  @Override
  public Iterator<Object> captureSnapshot() {
    List<Object> records = new ArrayList<>();
    records.add(
        new MetaRecord(clock.nowMs(), declarationStore.version(), declarationStore.declaration()));
    records.addAll(dedup.records());
    return records.iterator();
  }

  @Override
  public void restoreSnapshot(Iterator<Object> records) {
    declarationStore.clear();
    dedup.clear();
    deltas.clear();
    while (records.hasNext()) {
      Object next = records.next();
      if (next instanceof MetaRecord meta) {
        clock.restore(meta.clockMs());
        declarationStore.apply(
            new DeclarationDelta(meta.declaration(), List.of(), List.of(), List.of()),
            meta.version());
      } else if (next instanceof DedupRecord entry) {
        dedup.restore(entry);
      }
    }
  }
}
