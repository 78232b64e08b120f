package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.EvacuatedZones;
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

class TestLastKnownResponder {
  private static final long VERSION = 7;
  private static final long SERVING_SINCE_MS = 10_000;
  private static final long LEADERS_EPOCH = 3;
  private static final long NO_EPOCH = FleetUpdate.NO_LEADERS_EPOCH;
  private static final long LIST_SEQUENCE = FleetUpdate.NO_LEADERS_SEQUENCE;
  private static final EngineInstance ENGINE = new EngineInstance("e", "s", "h:1", "a", 10, false);
  private static final FleetProcess GATEWAY =
      new FleetProcess("g", FleetRole.GATEWAY, "a", 0, 1, "", "h:2", true, 0);

  private final LastKnownResponder responder =
      new LastKnownResponder(Optional.of(lastKnown()), SERVING_SINCE_MS);

  private static FleetUpdate lastKnown() {
    return lastKnown(EvacuatedZones.NONE);
  }

  private static FleetUpdate lastKnown(EvacuatedZones evacuatedZones) {
    RouteTable routes =
        new RouteTable(
            VERSION, List.of(), List.of(), CallerLimits.NONE, List.of(), new byte[0], new byte[0]);
    return new FleetUpdate(
        routes,
        new EngineListDelta(NO_EPOCH, true, List.of(ENGINE), List.of(), 0),
        new ProcessListDelta(NO_EPOCH, true, List.of(GATEWAY), List.of(), 0),
        List.of(),
        List.of(),
        FleetProcess.NO_GROUP,
        List.of(),
        List.of(),
        QuarantineList.NONE,
        evacuatedZones);
  }

  private static FleetHeartbeat heartbeat(long routeVersion, long epoch, long sequence) {
    return new FleetHeartbeat(
        GATEWAY, false, routeVersion, epoch, sequence, NO_EPOCH, 0, null, 0, 0, List.of());
  }

  private static FleetHeartbeat newProcessHeartbeat() {
    return heartbeat(RouteTable.NO_VERSION, NO_EPOCH, 0);
  }

  @Test
  void sendsEverythingToNewProcess() {
    FleetUpdate answer =
        responder.answerWithoutLeader(newProcessHeartbeat(), SERVING_SINCE_MS).orElseThrow();
    assertThat(answer.isLastKnown()).isTrue();
    assertThat(answer.routes().version()).isEqualTo(VERSION);
    assertThat(answer.engines().full()).isTrue();
    assertThat(answer.engines().changed()).containsExactly(ENGINE);
    assertThat(answer.engines().sequence()).isEqualTo(LIST_SEQUENCE);
  }

  @Test
  void sendsNoListsToUpToDateProcess() {
    FleetHeartbeat upToDate = heartbeat(VERSION, NO_EPOCH, LIST_SEQUENCE);
    FleetUpdate answer = responder.answerWithoutLeader(upToDate, SERVING_SINCE_MS).orElseThrow();
    assertThat(answer.isLastKnown()).isTrue();
    assertThat(answer.routes()).isNull();
    assertThat(answer.engines().full()).isFalse();
    assertThat(answer.engines().changed()).isEmpty();
    assertThat(answer.processes().full()).isFalse();
    assertThat(answer.processes().changed()).isEmpty();
    assertThat(answer.quarantine()).isNull();
  }

  @Test
  void sendsEverythingToProcessWithOlderRoutes() {
    FleetHeartbeat outdated = heartbeat(VERSION - 1, NO_EPOCH, LIST_SEQUENCE);
    assertThat(responder.answerWithoutLeader(outdated, SERVING_SINCE_MS).orElseThrow().routes())
        .isNotNull();
  }

  @Test
  void sendsNothingToProcessThatFollowedALeader() {
    FleetHeartbeat follower = heartbeat(VERSION - 1, LEADERS_EPOCH, 4);
    assertThat(responder.answerWithoutLeader(follower, SERVING_SINCE_MS)).isEmpty();
    assertThat(responder.enginesBeforeFirstRead(follower, SERVING_SINCE_MS)).isNull();
  }

  @Test
  void stopsAnsweringAfterWindow() {
    long endMs = SERVING_SINCE_MS + LastKnownResponder.ANSWER_WINDOW_MS;
    assertThat(responder.answerWithoutLeader(newProcessHeartbeat(), endMs - 1)).isPresent();
    assertThat(responder.answerWithoutLeader(newProcessHeartbeat(), endMs)).isEmpty();
  }

  @Test
  void leaderSendsEnginesBeforeFirstRead() {
    FleetHeartbeat withoutEngines = heartbeat(VERSION, NO_EPOCH, 0);
    EngineListDelta delta = responder.enginesBeforeFirstRead(withoutEngines, SERVING_SINCE_MS);
    assertThat(delta.full()).isTrue();
    assertThat(delta.changed()).containsExactly(ENGINE);
    assertThat(delta.epoch()).isEqualTo(NO_EPOCH);
    FleetHeartbeat upToDate = heartbeat(VERSION, delta.epoch(), delta.sequence());
    assertThat(responder.enginesBeforeFirstRead(upToDate, SERVING_SINCE_MS)).isNull();
  }

  @Test
  void stopsSendingEnginesAfterWindow() {
    FleetHeartbeat withoutEngines = heartbeat(VERSION, NO_EPOCH, 0);
    long endMs = SERVING_SINCE_MS + LastKnownResponder.ENGINE_LIST_WINDOW_MS;
    assertThat(responder.enginesBeforeFirstRead(withoutEngines, endMs - 1)).isNotNull();
    assertThat(responder.enginesBeforeFirstRead(withoutEngines, endMs)).isNull();
  }

  @Test
  void leaderAnswerIsNotMarkedLastKnown() {
    FleetUpdate saved = lastKnown();
    FleetUpdate answer =
        new FleetUpdate(
            null,
            saved.engines(),
            null,
            List.of(),
            List.of(),
            FleetProcess.NO_GROUP,
            List.of(),
            List.of(),
            null,
            null);
    assertThat(answer.isLastKnown()).isFalse();
  }

  @Test
  void sendsNothingWithoutSavedState() {
    LastKnownResponder emptyResponder = new LastKnownResponder(Optional.empty(), SERVING_SINCE_MS);
    assertThat(emptyResponder.answerWithoutLeader(newProcessHeartbeat(), SERVING_SINCE_MS))
        .isEmpty();
    assertThat(emptyResponder.enginesBeforeFirstRead(newProcessHeartbeat(), SERVING_SINCE_MS))
        .isNull();
  }

  @Test
  void sendsEvacuatedZonesToProcessWithOlderOnes() {
    EvacuatedZones saved = new EvacuatedZones(1, List.of("a"));
    LastKnownResponder withZones =
        new LastKnownResponder(Optional.of(lastKnown(saved)), SERVING_SINCE_MS);
    FleetHeartbeat outdated = heartbeat(VERSION, NO_EPOCH, LIST_SEQUENCE);
    assertThat(withZones.answerWithoutLeader(outdated, SERVING_SINCE_MS))
        .hasValueSatisfying(answer -> assertThat(answer.evacuatedZones()).isEqualTo(saved));
  }
}
