package io.pathdeck.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.query.ReadBatchResults;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Two leaders that do not know of each other run the same item. However their proposals are
 * interleaved or lost, the result is the complete text or none.
 */
class TestBatchProgressProperties {
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");

  private static final String JOB = "j";
  private static final String ITEM = "i";
  private static final long LAST_EVENT = 9;
  private static final int ACTIONS_PER_LEADER = 5;

  private BatchStateMachine machine;

  /** A leader with its progress and its pending proposals. */
  private final class Leader {
    private final Deque<Command> proposals = new ArrayDeque<>();
    private long lastRecordedEvent;
    private long lastReceivedEvent;
    private boolean resultProposed;

    void resume() {
      lastRecordedEvent = machine.job(JOB).orElseThrow().progress(ITEM).lastEvent();
      lastReceivedEvent = lastRecordedEvent;
      resultProposed = false;
    }

    void receive() {
      lastReceivedEvent = Math.min(LAST_EVENT, lastReceivedEvent + 2);
    }

    void propose() {
      if (resultProposed) {
        return;
      }
      String data = data(lastRecordedEvent, lastReceivedEvent);
      if (lastReceivedEvent == LAST_EVENT) {
        resultProposed = true;
        BatchOutcome outcome = new BatchOutcome(ITEM, true, lastRecordedEvent, data);
        proposals.add(new ListBatchResults(JOB, List.of(outcome)));
      } else if (lastReceivedEvent > lastRecordedEvent) {
        BatchProgress progress =
            new BatchProgress(JOB, ITEM, ORIGIN, lastRecordedEvent, lastReceivedEvent, data, false);
        proposals.add(new RecordBatchProgress(List.of(progress)));
        lastRecordedEvent = lastReceivedEvent;
      }
    }

    void applyNext() {
      if (!proposals.isEmpty()) {
        apply(proposals.poll());
      }
    }

    /** Loses the proposals and resumes from the recorded progress. */
    void loseProposals() {
      proposals.clear();
      resume();
    }
  }

  private static String data(long afterEvent, long lastEvent) {
    return LongStream.rangeClosed(afterEvent + 1, lastEvent)
        .mapToObj(event -> event % 2 == 0 ? "\n" : event + "\n")
        .collect(Collectors.joining());
  }

  private void apply(Command command) {
    machine.apply(new CommandEnvelope("", 0, 1, command));
  }

  private List<BatchResult> results() {
    BatchResults read = (BatchResults) machine.query(new ReadBatchResults(JOB, "", 0, 1 << 20, 0));
    return read.results();
  }

  /** Creates a state machine with one job of one item; called for each try. */
  private void createMachineWithJob() {
    machine = new BatchStateMachine();
    BatchItem item = new BatchItem(ITEM, "/p", Map.of(), new byte[0], 10, 5);
    apply(new SubmitBatch(JOB, "", "r", "h", List.of(item), 3, 20_000, 60_000, 0));
  }

  @Property
  void resultIsCompleteOrAbsent(
      @ForAll @Size(max = 120) List<@IntRange(max = 2 * ACTIONS_PER_LEADER - 1) Integer> actions) {
    createMachineWithJob();
    List<Leader> leaders = List.of(new Leader(), new Leader());
    leaders.forEach(Leader::resume);
    for (int action : actions) {
      perform(leaders.get(action / ACTIONS_PER_LEADER), action % ACTIONS_PER_LEADER);
    }
    ItemProgress progress = machine.job(JOB).orElseThrow().progress(ITEM);
    assertThat(progress.data()).isEqualTo(data(-1, progress.lastEvent()));
    String completeText = EventData.toText(data(-1, LAST_EVENT));
    assertThat(results()).allSatisfy(result -> assertThat(result.text()).isEqualTo(completeText));
    assertThat(results()).hasSizeLessThan(2);
  }

  @Property
  void singleLeaderCompletesItem(
      @ForAll @Size(max = 40) List<@IntRange(max = ACTIONS_PER_LEADER - 1) Integer> actions) {
    createMachineWithJob();
    Leader leader = new Leader();
    leader.resume();
    actions.forEach(action -> perform(leader, action));
    if (results().isEmpty()) {
      leader.loseProposals();
      for (long event = 0; event <= LAST_EVENT; event++) {
        leader.receive();
      }
      leader.propose();
      leader.applyNext();
    }
    assertThat(results())
        .containsExactly(new BatchResult(ITEM, true, EventData.toText(data(-1, LAST_EVENT))));
  }

  private static void perform(Leader leader, int action) {
    switch (action) {
      case 0 -> leader.resume();
      case 1 -> leader.receive();
      case 2 -> leader.propose();
      case 3 -> leader.applyNext();
      default -> leader.loseProposals();
    }
  }
}
