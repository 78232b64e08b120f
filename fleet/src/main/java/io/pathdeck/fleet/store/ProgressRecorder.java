package io.pathdeck.fleet.store;

import io.pathdeck.fleet.engine.ResponseMemory;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.fleet.BatchProgress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * Proposes the events that items have received, in commands of a bounded size, and bounds the
 * memory of those that are not recorded; confined to the consensus thread.
 */
final class ProgressRecorder {
  /** With one more item it is less than a frame may have, even in characters of three bytes. */
  private static final int MAX_RECORD_LENGTH = 1024 * 1024;

  /** A character outside Latin-1 makes all characters of a text as large. */
  private static final int BYTES_PER_CHARACTER = 2;

  /** Proposes a command to the group; {@code onAnswered} runs whether or not it is accepted. */
  interface Proposer {
    void propose(Command command, List<ItemRun> affectedRuns, Runnable onAnswered);
  }

  private final long maxBytes;
  private final Proposer proposer;
  private final Consumer<ItemRun> evictionListener;
  private long proposedBytes;

  /**
   * Creates a recorder that keeps the events that are not proposed, and those that are not
   * committed, below about {@code maxBytes} each.
   *
   * @param evictionListener has to drop the events of an item that are not proposed
   */
  ProgressRecorder(long maxBytes, Proposer proposer, Consumer<ItemRun> evictionListener) {
    this.maxBytes = maxBytes;
    this.proposer = proposer;
    this.evictionListener = evictionListener;
  }

  /** Forgets what was proposed, when this store no longer leads. */
  void clear() {
    proposedBytes = 0;
  }

  /** Evicts the items with the most events that are not proposed, if all together have too many. */
  void boundMemory(Collection<ItemRun> runs) {
    if (runs.stream().mapToLong(ProgressRecorder::unrecordedBytes).sum() <= maxBytes) {
      return;
    }
    ResponseMemory memory = new ResponseMemory(maxBytes);
    for (ItemRun run : List.copyOf(runs)) {
      memory.open(() -> evictionListener.accept(run)).resize(unrecordedBytes(run));
    }
  }

  private static long unrecordedBytes(ItemRun run) {
    return (long) BYTES_PER_CHARACTER * run.unrecordedLength();
  }

  /** Whether the group may take more events before it has committed earlier ones. */
  boolean mayRecord() {
    return proposedBytes < maxBytes;
  }

  /** Proposes the events received since the last call. */
  void record(Collection<ItemRun> runs) {
    List<BatchProgress> progress = new ArrayList<>();
    List<ItemRun> affectedRuns = new ArrayList<>();
    for (ItemRun run : runs) {
      run.takeUnrecorded()
          .ifPresent(
              events -> {
                progress.add(events);
                affectedRuns.add(run);
              });
    }
    propose(progress, affectedRuns);
  }

  private void propose(List<BatchProgress> progress, List<ItemRun> affectedRuns) {
    int from = 0;
    long length = 0;
    for (int i = 0; i < progress.size(); i++) {
      length += progress.get(i).data().length();
      if (length >= MAX_RECORD_LENGTH || i == progress.size() - 1) {
        long bytes = BYTES_PER_CHARACTER * length;
        proposedBytes += bytes;
        proposer.propose(
            new RecordBatchProgress(List.copyOf(progress.subList(from, i + 1))),
            List.copyOf(affectedRuns.subList(from, i + 1)),
            () -> proposedBytes -= bytes);
        from = i + 1;
        length = 0;
      }
    }
  }
}
