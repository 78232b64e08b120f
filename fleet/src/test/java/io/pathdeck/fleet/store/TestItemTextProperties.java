package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.state.BatchStateMachine;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Guards against results that lack events without data or without ids: wherever progress is
 * recorded, a run ends or another leader goes on, the text equals that of one undisturbed run.
 */
class TestItemTextProperties {
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");
  private static final BatchItem ITEM =
      new BatchItem("i", "/p", Map.of(), new byte[0], 1_000, 1_000);
  private static final EngineResponse OK =
      new EngineResponse(
          200, "i", true, false, false, false, null, 0, 0, 0, EmptyHttpHeaders.INSTANCE);

  /** The data fields of an event, one line each. */
  private enum Event {
    TEXT("data: a"),
    EMPTY("data:"),
    EMPTY_AFTER_SPACE("data: "),
    EMPTY_WITHOUT_COLON("data"),
    TWO_LINES("data: b", "data:c"),
    TWO_EMPTY_LINES("data:", "data:"),
    LINE_FEED_AT_THE_END("data: d", "data:"),
    CARRIAGE_RETURNS("data: e\r");

    private final List<String> fields;

    Event(String... fields) {
      this.fields = List.of(fields);
    }

    byte[] bytes(String idField) {
      String text = idField + String.join("\n", fields) + "\n\n";
      return text.getBytes(StandardCharsets.UTF_8);
    }

    String data() {
      return String.join("\n", fields.stream().map(Event::value).toList());
    }

    private static String value(String field) {
      return field.replaceFirst("^data:? ?", "").replace("\r", "");
    }
  }

  private enum Disturbance {
    NONE,
    DRAIN,
    RECORD,
    ENGINE_ENDS,
    LEADER_CHANGES,
    SNAPSHOT_RESTORED
  }

  private BatchStateMachine machine = new BatchStateMachine();
  private ItemRun run;
  private ItemStream stream;
  private int firstId;
  private int nextId;

  private void apply(Command command) {
    machine.apply(new CommandEnvelope("", 0, 1, command));
  }

  private void submit() {
    machine = new BatchStateMachine();
    apply(new SubmitBatch("j", "", "r", "h", List.of(ITEM), 3, 20_000, 60_000, 0));
    lead();
  }

  private void lead() {
    run = new ItemRun(machine.job("j").orElseThrow(), ITEM, 0, 1);
    start();
  }

  private void start() {
    stream = new ItemStream(ORIGIN, run.lastEvent(), outcome -> append(outcome.events()));
    stream.onHead(OK);
    nextId = (int) Math.max(firstId, run.lastEvent() + 1);
  }

  private void append(ItemEvents events) {
    assertThat(run.appendEvents(events)).isTrue();
  }

  private void drain() {
    stream.drainEvents(this::append);
  }

  private void record() {
    drain();
    run.takeUnrecorded().ifPresent(each -> apply(new RecordBatchProgress(List.of(each))));
  }

  private void restoreSnapshot() {
    List<Object> records = new ArrayList<>();
    Iterator<Object> captured = machine.captureSnapshot();
    while (captured.hasNext()) {
      records.add(ObjectCodec.decode(ObjectCodec.encode(captured.next()), Object.class).value());
    }
    machine = new BatchStateMachine();
    machine.restoreSnapshot(records.iterator());
    lead();
  }

  private void disturb(Disturbance disturbance) {
    switch (disturbance) {
      case NONE -> {}
      case DRAIN -> drain();
      case RECORD -> record();
      case ENGINE_ENDS -> {
        stream.abort("the engine ended");
        start();
      }
      case LEADER_CHANGES -> lead();
      default -> restoreSnapshot();
    }
  }

  private BatchResult complete() {
    stream.onEnd();
    apply(new ListBatchResults("j", List.of(run.finishCompleted())));
    BatchResults read = (BatchResults) machine.query(new ReadBatchResults("j", "", 0, 1 << 20, 0));
    return read.results().get(0);
  }

  @Property
  void textIsThatOfOneRun(
      @ForAll @Size(min = 1, max = 12) List<Event> events,
      @ForAll @Size(max = 40) List<Disturbance> disturbances,
      @ForAll @IntRange(min = 0, max = 1) int firstId,
      @ForAll boolean hasIds) {
    this.firstId = firstId;
    submit();
    Iterator<Disturbance> next = disturbances.iterator();
    while (nextId < firstId + events.size()) {
      stream.onBody(events.get(nextId - firstId).bytes(hasIds ? "id: " + nextId + "\n" : ""));
      nextId++;
      disturb(next.hasNext() ? next.next() : Disturbance.NONE);
    }
    String text = String.join("\n", events.stream().map(Event::data).toList());
    assertThat(complete()).isEqualTo(new BatchResult("i", true, text));
  }

  @Example
  void eventsWithoutIdsDoNotFillTheMemory() {
    List<ItemOutcome> outcomes = new ArrayList<>();
    ItemStream endless = new ItemStream(ORIGIN, -1, outcomes::add);
    endless.onHead(OK);
    byte[] event = ("data: " + "x".repeat(1_000_000) + "\n\n").getBytes(StandardCharsets.UTF_8);
    for (int i = 0; i < 10; i++) {
      endless.onBody(event);
    }
    assertThat(outcomes)
        .containsExactly(
            new ItemOutcome(
                ItemOutcome.Kind.BROKEN,
                new ItemEvents(ORIGIN, -1, -1, ""),
                100,
                "too many events without ids"));
  }
}
