package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TestLastKnownAnswers {
  private static final long VERSION = 7;
  private static final long SINCE_MS = 10_000;
  private static final long LEADERS_EPOCH = 3;
  private static final long NONE = FleetUpdate.NO_LEADERS_EPOCH;
  private static final long COUNTED = FleetUpdate.NO_LEADERS_SEQUENCE;
  private static final EngineInstance ENGINE = new EngineInstance("e", "s", "h:1", "a", 10, false);
  private static final FleetProcess GATEWAY =
      new FleetProcess("g", FleetRole.GATEWAY, "a", 0, 1, "", "h:2", true, 0);

  private final LastKnownAnswers answers = new LastKnownAnswers(Optional.of(lastKnown()), SINCE_MS);

  private static FleetUpdate lastKnown() {
    RouteTable routes =
        new RouteTable(
            VERSION, List.of(), List.of(), CallerLimits.NONE, List.of(), new byte[0], new byte[0]);
    return new FleetUpdate(
        routes,
        new EngineListDelta(NONE, true, List.of(ENGINE), List.of(), 0),
        new ProcessListDelta(NONE, true, List.of(GATEWAY), List.of(), 0),
        List.of(),
        List.of(),
        FleetProcess.NO_GROUP,
        List.of(),
        List.of(),
        QuarantineList.NONE);
  }

  private static FleetHeartbeat heartbeat(long routeVersion, long epoch, long sequence) {
    return new FleetHeartbeat(
        GATEWAY, false, routeVersion, epoch, sequence, NONE, 0, null, 0, List.of());
  }

  private static FleetHeartbeat ofProcessThatKnowsNothing() {
    return heartbeat(RouteTable.NO_VERSION, NONE, 0);
  }

  @Test
  void processThatKnowsNothingIsToldAll() {
    FleetUpdate told = answers.withoutLeader(ofProcessThatKnowsNothing(), SINCE_MS).orElseThrow();
    assertThat(told.isLastKnown()).isTrue();
    assertThat(told.routes().version()).isEqualTo(VERSION);
    assertThat(told.engines().full()).isTrue();
    assertThat(told.engines().changed()).containsExactly(ENGINE);
    assertThat(told.engines().sequence()).isEqualTo(COUNTED);
  }

  @Test
  void processThatHoldsItHearsThatNoLeaderIsKnown() {
    FleetHeartbeat holder = heartbeat(VERSION, NONE, COUNTED);
    FleetUpdate told = answers.withoutLeader(holder, SINCE_MS).orElseThrow();
    assertThat(told.isLastKnown()).isTrue();
    assertThat(told.routes()).isNull();
    assertThat(told.engines().full()).isFalse();
    assertThat(told.engines().changed()).isEmpty();
    assertThat(told.processes().full()).isFalse();
    assertThat(told.processes().changed()).isEmpty();
    assertThat(told.quarantine()).isNull();
  }

  @Test
  void processThatWasToldOlderRoutesIsToldAll() {
    FleetHeartbeat holder = heartbeat(VERSION - 1, NONE, COUNTED);
    assertThat(answers.withoutLeader(holder, SINCE_MS).orElseThrow().routes()).isNotNull();
  }

  @Test
  void processThatFollowedALeaderIsToldNothing() {
    FleetHeartbeat follower = heartbeat(VERSION - 1, LEADERS_EPOCH, 4);
    assertThat(answers.withoutLeader(follower, SINCE_MS)).isEmpty();
    assertThat(answers.enginesBeforeFirstRead(follower, SINCE_MS)).isNull();
  }

  @Test
  void itIsToldForAWhileFromWhenTheCoordinatorCanAnswer() {
    long endMs = SINCE_MS + LastKnownAnswers.TOLD_MS;
    assertThat(answers.withoutLeader(ofProcessThatKnowsNothing(), endMs - 1)).isPresent();
    assertThat(answers.withoutLeader(ofProcessThatKnowsNothing(), endMs)).isEmpty();
  }

  @Test
  void leaderThatHasNotReadTheListTellsTheEnginesToThoseThatKnowNone() {
    FleetHeartbeat withoutEngines = heartbeat(VERSION, NONE, 0);
    EngineListDelta told = answers.enginesBeforeFirstRead(withoutEngines, SINCE_MS);
    assertThat(told.full()).isTrue();
    assertThat(told.changed()).containsExactly(ENGINE);
    assertThat(told.epoch()).isEqualTo(NONE);
    FleetHeartbeat holder = heartbeat(VERSION, told.epoch(), told.sequence());
    assertThat(answers.enginesBeforeFirstRead(holder, SINCE_MS)).isNull();
  }

  @Test
  void enginesAreNotToldLongAfterTheStart() {
    FleetHeartbeat withoutEngines = heartbeat(VERSION, NONE, 0);
    long endMs = SINCE_MS + LastKnownAnswers.ENGINES_TOLD_MS;
    assertThat(answers.enginesBeforeFirstRead(withoutEngines, endMs - 1)).isNotNull();
    assertThat(answers.enginesBeforeFirstRead(withoutEngines, endMs)).isNull();
  }

  @Test
  void leadersAnswerWithEnginesOfLastKnownCountsAsALeaders() {
    FleetUpdate last = lastKnown();
    FleetUpdate answer =
        new FleetUpdate(
            null,
            last.engines(),
            null,
            List.of(),
            List.of(),
            FleetProcess.NO_GROUP,
            List.of(),
            List.of(),
            null);
    assertThat(answer.isLastKnown()).isFalse();
  }

  @Test
  void coordinatorThatKnewNothingTellsNothing() {
    LastKnownAnswers nothing = new LastKnownAnswers(Optional.empty(), SINCE_MS);
    assertThat(nothing.withoutLeader(ofProcessThatKnowsNothing(), SINCE_MS)).isEmpty();
    assertThat(nothing.enginesBeforeFirstRead(ofProcessThatKnowsNothing(), SINCE_MS)).isNull();
  }
}
