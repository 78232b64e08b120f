package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.FleetFollower.SentReport;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.message.FleetUpdate;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against a view that mixes what two leaders told, or returns to an earlier one, since
 * answers to reports that are under way at the same time come in any order.
 */
class TestFleetFollower {
  private static final long NONE = FleetUpdate.NO_LEADERS_EPOCH;

  private final GroupClient coordinators = new GroupClient(null, null, List::of);
  private final FleetFollower follower = new FleetFollower(null, coordinators, () -> null);
  private final Moment start = Moment.now();

  private Moment sent(long ns) {
    return new Moment(start.steadyNs() + ns, start.wallMs());
  }

  private static EngineListDelta list(long epoch, boolean full, String... versions) {
    List<EngineInstance> engines =
        Stream.of(versions)
            .map(each -> new EngineInstance(each, "s", "h:1", "z", 8, false))
            .map(each -> each.withSoftwareVersion(each.id()))
            .toList();
    return new EngineListDelta(epoch, full, engines, List.of(), 1);
  }

  private void answer(SentReport report, EngineListDelta engines, StreamOrigin... joining) {
    FleetUpdate update =
        new FleetUpdate(
            null,
            engines,
            null,
            List.of(),
            List.of(),
            FleetProcess.NO_GROUP,
            List.of(),
            List.of(),
            null,
            null,
            List.of(),
            List.of(),
            List.of(joining),
            List.of());
    follower.onAnswer(Result.ok(update), report);
  }

  @Test
  void answerToAnEarlierReportChangesNothing() {
    answer(new SentReport(sent(2), NONE), list(7, true, "v1", "v2"));
    answer(new SentReport(sent(1), NONE), list(7, true, "v1"));
    assertThat(follower.view().engines()).containsOnlyKeys("v1", "v2");
  }

  @Test
  void listOfAnotherLeaderDoesNotReplaceTheOneThatCameMeanwhile() {
    answer(new SentReport(sent(0), NONE), list(7, true, "v1"));
    SentReport first = new SentReport(sent(1), 7);
    SentReport second = new SentReport(sent(2), 7);
    StreamOrigin joining = new StreamOrigin("s", "v2");
    answer(first, list(8, true, "v1", "v2"), joining);
    answer(second, list(7, false, "v1"));
    assertThat(follower.view().joiningOrigins()).containsExactly(joining);
    answer(new SentReport(sent(3), 8), list(8, false));
    assertThat(follower.view().joiningOrigins()).as("settled by the new leader").isEmpty();
    answer(new SentReport(sent(4), 8), list(3, true, "v3"));
    assertThat(follower.view().engines()).as("told by whoever leads").containsOnlyKeys("v3");
  }

  @Test
  void firstListAfterAGapIsTold() {
    List<FleetView> views = new ArrayList<>();
    follower.setMissedViewsListener(60_000, views::add);
    answer(new SentReport(new Moment(start.steadyNs() - 1, start.wallMs() - 70_000), NONE), null);
    assertThat(views).as("the leader has not read the list").isEmpty();
    answer(
        new SentReport(new Moment(start.steadyNs(), start.wallMs() - 65_000), NONE),
        list(7, true, "v1"));
    assertThat(views).hasSize(1);
    answer(new SentReport(sent(1), 7), list(7, false));
    assertThat(views).as("the list was 65 s old").hasSize(2);
    answer(new SentReport(sent(2), 7), list(7, false));
    assertThat(views).hasSize(2);
  }
}
