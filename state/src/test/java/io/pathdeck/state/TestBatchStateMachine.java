package io.pathdeck.state;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.DiscardBatchProgress;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.EndBatch;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.command.ListBatchResultsV1;
import io.pathdeck.protocol.command.QuotaExceeded;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.command.RecordBatchProgressV1;
import io.pathdeck.protocol.command.RecordBatchProgressV2;
import io.pathdeck.protocol.command.RecordItemCrashes;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.EventData;
import io.pathdeck.protocol.fleet.ItemCrashes;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.legacy.BatchJobRecordV1;
import io.pathdeck.protocol.legacy.BatchJobRecordV2;
import io.pathdeck.protocol.legacy.BatchOutcomeV1;
import io.pathdeck.protocol.legacy.BatchProgressV1;
import io.pathdeck.protocol.legacy.BatchProgressV2;
import io.pathdeck.protocol.query.BatchItemBody;
import io.pathdeck.protocol.query.BatchMissing;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.query.ReadBatchItem;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestBatchStateMachine {
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");

  private static final int PAGE_BYTES = 10;

  private final BatchStateMachine machine = new BatchStateMachine();
  private long timeMs = 1_000;

  private CommandResult apply(Command command) {
    timeMs += 1;
    return machine.apply(new CommandEnvelope("", 0, timeMs, command));
  }

  private static SubmitBatch submitJob(String id, int items, long maxQueuedTokens) {
    List<BatchItem> batchItems = new ArrayList<>();
    for (int i = 0; i < items; i++) {
      byte[] body = {(byte) i};
      batchItems.add(new BatchItem(id + "-" + i, "/p/" + i, Map.of("Model", "m"), body, 100, 40));
    }
    return new SubmitBatch(id, "", "route", "host", batchItems, 3, 20_000, 60_000, maxQueuedTokens);
  }

  private static ListBatchResults addOutcome(String job, String item, boolean done, String text) {
    return addOutcomeAfter(BatchProgress.NO_EVENT, job, item, done, text);
  }

  private static ListBatchResults addOutcomeAfter(
      long afterEvent, String job, String item, boolean done, String text) {
    String data = EventData.ofText(text);
    return new ListBatchResults(job, List.of(new BatchOutcome(item, done, afterEvent, data)));
  }

  private static RecordBatchProgress recordProgress(
      String job, String item, long afterEvent, long lastEvent, String text) {
    return new RecordBatchProgress(
        List.of(new BatchProgress(job, item, ORIGIN, afterEvent, lastEvent, text + "\n", false)));
  }

  private ItemProgress progressOf(String job, String item) {
    return machine.job(job).orElseThrow().progress(item);
  }

  private BatchResults readResults(String job, int from) {
    return (BatchResults) machine.query(new ReadBatchResults(job, "", from, PAGE_BYTES, 0));
  }

  @Test
  void resentJobIsAcceptedOnce() {
    assertThat(apply(submitJob("a", 2, 0))).isEqualTo(new BatchAccepted("a"));
    assertThat(apply(addOutcome("a", "a-0", true, "x"))).isInstanceOf(Done.class);
    assertThat(apply(submitJob("a", 2, 0))).isEqualTo(new BatchAccepted("a"));
    assertThat(readResults("a", 0).results()).hasSize(1);
  }

  @Test
  void itemKeepsFirstOutcomeAndPosition() {
    apply(submitJob("a", 2, 0));
    apply(addOutcome("a", "a-1", true, "first"));
    apply(addOutcome("a", "a-1", false, ""));
    apply(addOutcome("a", "a-0", true, "other"));
    BatchResults results = readResults("a", 0);
    assertThat(results.results().get(0)).isEqualTo(new BatchResult("a-1", true, "first"));
    assertThat(readResults("a", 1).results())
        .containsExactly(new BatchResult("a-0", true, "other"));
    assertThat(results.total()).isEqualTo(2);
  }

  @Test
  void pageHoldsAtLeastOneResult() {
    apply(submitJob("a", 2, 0));
    apply(addOutcome("a", "a-0", true, "longer than a page"));
    apply(addOutcome("a", "a-1", true, "longer than a page"));
    assertThat(readResults("a", 0).results()).hasSize(1);
    assertThat(readResults("a", 0).next()).isEqualTo(1);
  }

  @Test
  void quotaCountsOnlyOpenItems() {
    assertThat(apply(submitJob("a", 3, 500))).isInstanceOf(BatchAccepted.class);
    assertThat(apply(submitJob("b", 3, 500))).isEqualTo(new QuotaExceeded(300, 500));
    apply(addOutcome("a", "a-0", true, ""));
    assertThat(apply(submitJob("b", 3, 500))).isInstanceOf(BatchAccepted.class);
  }

  @Test
  void endedJobFreesQuotaAndKeepsResults() {
    apply(submitJob("a", 3, 500));
    apply(addOutcome("a", "a-0", true, "x"));
    assertThat(apply(new EndBatch("a", ""))).isInstanceOf(Done.class);
    assertThat(apply(new EndBatch("a", ""))).isInstanceOf(Done.class);
    assertThat(apply(submitJob("b", 5, 500))).isInstanceOf(BatchAccepted.class);
    assertThat(readResults("a", 0).results()).hasSize(1);
    assertThat(machine.job("a").orElseThrow().isActive()).isFalse();
  }

  @Test
  void unknownJobIsMissing() {
    assertThat(apply(new EndBatch("nobody", ""))).isInstanceOf(Rejected.class);
    assertThat(machine.query(new ReadBatchResults("nobody", "", 0, PAGE_BYTES, 0)))
        .isInstanceOf(BatchMissing.class);
  }

  @Test
  void bodyIsReadableWhileItemIsOpen() {
    apply(submitJob("a", 2, 0));
    BatchItemBody body = (BatchItemBody) machine.query(new ReadBatchItem("a", "", "a-1"));
    assertThat(body.body()).containsExactly(1);
    apply(addOutcome("a", "a-1", true, ""));
    assertThat(machine.query(new ReadBatchItem("a", "", "a-1"))).isInstanceOf(BatchMissing.class);
  }

  @Test
  void openJobNeverExpires() {
    apply(submitJob("open", 1, 0));
    apply(submitJob("ended", 1, 0));
    apply(new EndBatch("ended", ""));
    timeMs += 2 * BatchStateMachine.MIN_RETENTION_MS;
    apply(submitJob("new", 1, 0));
    assertThat(machine.job("open")).isPresent();
    assertThat(machine.job("ended")).isEmpty();
  }

  @Test
  void resultStartsWithRecordedEvents() {
    apply(submitJob("a", 1, 0));
    apply(recordProgress("a", "a-0", -1, 4, "one"));
    apply(recordProgress("a", "a-0", 4, 9, "two"));
    assertThat(progressOf("a", "a-0").lastEvent()).isEqualTo(9);
    assertThat(apply(addOutcomeAfter(9, "a", "a-0", true, "three"))).isInstanceOf(Done.class);
    assertThat(readResults("a", 0).results())
        .containsExactly(new BatchResult("a-0", true, "one\ntwo\nthree"));
  }

  @Test
  void nonContiguousEventsAreIgnored() {
    apply(submitJob("a", 1, 0));
    apply(recordProgress("a", "a-0", -1, 4, "one"));
    apply(recordProgress("a", "a-0", -1, 6, "again"));
    apply(recordProgress("a", "a-0", 6, 9, "after a gap"));
    assertThat(progressOf("a", "a-0").lastEvent()).isEqualTo(4);
    assertThat(progressOf("a", "a-0").data()).isEqualTo("one\n");
  }

  @Test
  void nonContiguousResultIsRejected() {
    apply(submitJob("a", 1, 0));
    apply(recordProgress("a", "a-0", -1, 4, "one"));
    assertThat(apply(addOutcomeAfter(-1, "a", "a-0", true, "whole"))).isInstanceOf(Rejected.class);
    assertThat(apply(addOutcomeAfter(5, "a", "a-0", true, "rest"))).isInstanceOf(Rejected.class);
    assertThat(readResults("a", 0).results()).isEmpty();
    assertThat(machine.job("a").orElseThrow().openItems()).containsKey("a-0");
  }

  @Test
  void itemWithProgressCanBeGivenUp() {
    apply(submitJob("a", 1, 0));
    apply(recordProgress("a", "a-0", -1, 4, "one"));
    apply(new ListBatchResults("a", List.of(BatchOutcome.givenUp("a-0"))));
    assertThat(readResults("a", 0).results()).containsExactly(new BatchResult("a-0", false, ""));
  }

  @Test
  void progressOfClosedItemsIsIgnored() {
    apply(submitJob("a", 1, 0));
    apply(addOutcome("a", "a-0", true, "x"));
    assertThat(apply(recordProgress("a", "a-0", -1, 4, "late"))).isInstanceOf(Done.class);
    assertThat(apply(recordProgress("nobody", "i", -1, 4, "late"))).isInstanceOf(Done.class);
    assertThat(progressOf("a", "a-0")).isEqualTo(ItemProgress.NONE);
  }

  @Test
  void eventsOfAnotherSoftwareVersionAreNotJoined() {
    apply(submitJob("a", 1, 0));
    apply(recordProgress("a", "a-0", -1, 3, "part"));
    StreamOrigin other = new StreamOrigin(ORIGIN.service(), "v2");
    BatchProgress mixed = new BatchProgress("a", "a-0", other, 3, 5, "of another\n", false);
    apply(new RecordBatchProgress(List.of(mixed)));
    assertThat(progressOf("a", "a-0").data()).isEqualTo("part\n");
    assertThat(progressOf("a", "a-0").origin()).isEqualTo(ORIGIN);
  }

  @Test
  void itemBeginsAnewAfterItsEventsAreDiscarded() {
    apply(submitJob("a", 1, 0));
    apply(recordProgress("a", "a-0", -1, 3, "part"));
    apply(new DiscardBatchProgress("a", "a-0"));
    assertThat(progressOf("a", "a-0")).isEqualTo(ItemProgress.NONE);
    apply(addOutcome("a", "a-0", true, "whole"));
    assertThat(readResults("a", 0).results().get(0).text()).isEqualTo("whole");
    apply(new DiscardBatchProgress("a", "a-0"));
    assertThat(readResults("a", 0).results()).as("the result stays").hasSize(1);
  }

  /**
   * Guards against an item that crashes engines and reaches three at once under each new leader.
   */
  @Test
  void crashesSurviveSnapshotUntilTheItemAdvances() {
    apply(submitJob("a", 2, 0));
    apply(
        new RecordItemCrashes(
            List.of(
                new ItemCrashes("a", "a-0", 3),
                new ItemCrashes("a", "a-1", 2),
                new ItemCrashes("nobody", "i", 2))));
    apply(addOutcome("a", "a-1", true, "one"));
    BatchStateMachine restored = new BatchStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    assertThat(restored.job("a").orElseThrow().crashes("a-0")).isEqualTo(3);
    assertThat(restored.job("a").orElseThrow().crashes("a-1")).isZero();
    apply(recordProgress("a", "a-0", -1, 3, "part"));
    assertThat(machine.job("a").orElseThrow().crashes("a-0")).isZero();
  }

  @Test
  void eventsRecordedByEarlierReleasesHaveNoOrigin() {
    apply(submitJob("a", 1, 0));
    BatchProgressV1 earlier = new BatchProgressV1("a", "a-0", -1, 3, "part");
    apply(new RecordBatchProgressV1(List.of(earlier)));
    assertThat(progressOf("a", "a-0").origin()).isEqualTo(StreamOrigin.UNKNOWN);
    assertThat(progressOf("a", "a-0").lastEvent()).isEqualTo(3);
    BatchJobRecordV1 saved =
        new BatchJobRecordV1(submitJob("b", 1, 0), 7, false, List.of(), List.of(earlier));
    BatchStateMachine restored = new BatchStateMachine();
    Object decoded = ObjectCodec.decode(ObjectCodec.encode(saved), Object.class).value();
    restored.restoreSnapshot(List.of(decoded).iterator());
    assertThat(restored.job("b").orElseThrow().openItems()).containsOnlyKeys("b-0");
  }

  /** What earlier releases wrote does not tell whether an event with empty data was among it. */
  @Test
  void textsOfEarlierReleasesMayLackEmptyLines() {
    apply(submitJob("a", 2, 0));
    recordText("a-0", -1, 3, "part");
    assertThat(progressOf("a", "a-0").mayLackData()).isTrue();
    BatchStateMachine restored = new BatchStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    ItemProgress progress = restored.job("a").orElseThrow().progress("a-0");
    assertThat(progress.mayLackData()).isTrue();
    assertThat(progress.data()).isEqualTo("part\n");
    apply(new DiscardBatchProgress("a", "a-0"));
    apply(recordProgress("a", "a-0", -1, 3, ""));
    assertThat(progressOf("a", "a-0").mayLackData()).isFalse();
  }

  /** Stores of both releases, and those that restart, list the same results. */
  @Test
  void resultsOfEarlierReleasesStayAsListed() {
    apply(submitJob("a", 1, 0));
    recordText("a-0", -1, 3, "one");
    recordText("a-0", 3, 4, "");
    recordText("a-0", 4, 6, "two\n");
    BatchOutcomeV1 outcome = new BatchOutcomeV1("a-0", true, 6, "three");
    apply(new ListBatchResultsV1("a", List.of(outcome)));
    assertThat(readResults("a", 0).results().get(0).text()).isEqualTo("one\ntwo\n\nthree");
  }

  @Test
  void snapshotsOfEarlierReleasesAreRead() {
    BatchProgressV2 text = new BatchProgressV2("a", "a-0", ORIGIN, -1, 3, "part");
    BatchJobRecordV2 saved =
        new BatchJobRecordV2(submitJob("a", 1, 0), 7, false, List.of(), List.of(text));
    Object decoded = ObjectCodec.decode(ObjectCodec.encode(saved), Object.class).value();
    machine.restoreSnapshot(List.of(decoded).iterator());
    assertThat(progressOf("a", "a-0").lastEvent()).isEqualTo(3);
    assertThat(progressOf("a", "a-0").mayLackData()).isTrue();
  }

  private void recordText(String item, long afterEvent, long lastEvent, String text) {
    BatchProgressV2 events = new BatchProgressV2("a", item, ORIGIN, afterEvent, lastEvent, text);
    apply(new RecordBatchProgressV2(List.of(events)));
  }

  /** Guards against stores that end for want of memory after many jobs that are long done. */
  @Test
  void contentOfListedItemsIsNotKept() {
    apply(submitJob("a", 3, 0));
    apply(addOutcome("a", "a-0", true, "x"));
    apply(addOutcome("a", "a-1", false, ""));
    List<BatchItem> kept = new ArrayList<>();
    machine
        .captureSnapshot()
        .forEachRemaining(
            each -> {
              if (each instanceof BatchJobRecord job) {
                kept.addAll(job.submission().items());
              }
            });
    assertThat(kept).extracting(BatchItem::id).containsExactly("a-0", "a-1", "a-2");
    assertThat(kept).extracting(item -> item.body().length).containsExactly(0, 0, 1);
    assertThat(machine.job("a").orElseThrow().openItems().get("a-2").headers()).isNotEmpty();
    assertThat(machine.job("a").orElseThrow().total()).isEqualTo(3);
  }

  @Test
  void heapSizeFollowsContentProgressAndResults() {
    apply(submitJob("a", 2, 0));
    long empty = machine.heapBytes();
    apply(recordProgress("a", "a-0", -1, 3, "part"));
    assertThat(machine.heapBytes()).isEqualTo(empty + "part\n".length());
    apply(new DiscardBatchProgress("a", "a-0"));
    assertThat(machine.heapBytes()).isEqualTo(empty);
    apply(recordProgress("a", "a-1", -1, 3, "part"));
    apply(addOutcome("a", "a-0", true, "\u4f60".repeat(1_000)));
    assertThat(machine.heapBytes()).isBetween(empty + 1_500, empty + 2_100);
    BatchStateMachine restored = new BatchStateMachine();
    restored.restoreSnapshot(machine.captureSnapshot());
    assertThat(restored.heapBytes()).isEqualTo(machine.heapBytes());
    apply(new EndBatch("a", ""));
    timeMs += BatchStateMachine.MIN_RETENTION_MS;
    apply(new EndBatch("a", ""));
    assertThat(machine.heapBytes()).isZero();
  }

  /** The id and the path of an item are kept as long as its job. */
  @Test
  void heapSizeIncludesIdsAndPathsOfListedItems() {
    String id = "i".repeat(10_000);
    BatchItem item = new BatchItem(id, "/p".repeat(10_000), Map.of(), new byte[0], 100, 40);
    apply(new SubmitBatch("a", "", "route", "host", List.of(item), 3, 20_000, 60_000, 0));
    apply(addOutcome("a", id, true, "x"));
    assertThat(machine.heapBytes()).isBetween(30_000L, 50_000L);
  }

  @Test
  void snapshotRestoresEverything() {
    apply(submitJob("a", 3, 500));
    apply(recordProgress("a", "a-1", -1, 3, "part"));
    apply(addOutcome("a", "a-2", true, "two"));
    apply(addOutcome("a", "a-0", false, ""));
    apply(submitJob("b", 1, 0));
    apply(new EndBatch("b", ""));
    List<Object> decoded = new ArrayList<>();
    Iterator<Object> records = machine.captureSnapshot();
    while (records.hasNext()) {
      decoded.add(ObjectCodec.decode(ObjectCodec.encode(records.next()), Object.class).value());
    }
    BatchStateMachine restored = new BatchStateMachine();
    restored.restoreSnapshot(decoded.iterator());
    assertThat(restored.logTimeMs()).isEqualTo(machine.logTimeMs());
    assertThat(restored.query(new ReadBatchResults("a", "", 0, 1_000, 0)))
        .isEqualTo(machine.query(new ReadBatchResults("a", "", 0, 1_000, 0)));
    assertThat(restored.job("a").orElseThrow().openItems()).containsOnlyKeys("a-1");
    assertThat(restored.job("a").orElseThrow().progress("a-1").lastEvent()).isEqualTo(3);
    assertThat(restored.job("a").orElseThrow().progress("a-1").data()).isEqualTo("part\n");
    assertThat(restored.job("b").orElseThrow().isEnded()).isTrue();
  }
}
