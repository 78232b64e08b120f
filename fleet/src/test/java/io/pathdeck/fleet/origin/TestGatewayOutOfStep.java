package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that go on at another software version at a gateway that was cut off or
 * stood still while they began.
 */
class TestGatewayOutOfStep {
  private static final int GATEWAYS = 3;
  private static final int ACTIONS = 19;

  private OriginModel model = new OriginModel(GATEWAYS, "v1");

  private void settle() {
    model.advance(2_000);
  }

  private void assertNotAt(String version, Resolution resolution) {
    assertThat(OriginModel.versionOf(resolution)).isNotEqualTo(Optional.of(version));
  }

  @Test
  void cutOffGatewayDoesNotGoByAnAttemptThatWasRefused() {
    model.join("v2");
    settle();
    model.ask(0);
    model.isolate(1, true);
    long stream = model.beginElsewhere(0).orElseThrow();
    assertThat(model.versionThatBegan(stream)).isEqualTo("v2");
    assertNotAt("v1", model.takeUp(1, stream));
    model.isolate(1, false);
    assertThat(OriginModel.versionOf(model.takeUp(1, stream))).contains("v2");
  }

  @Test
  void answerOfAGatewayThatWasCutOffDoesNotDecide() {
    model.join("v2");
    settle();
    model.ask(1);
    model.isolate(0, true);
    long stream = model.beginElsewhere(1).orElseThrow();
    model.isolate(0, false);
    assertThat(OriginModel.versionOf(model.takeUp(2, stream))).contains("v2");
    model.loseGateway(2);
    assertNotAt("v1", model.takeUp(2, stream));
  }

  @Test
  void messagesThatWaitedForASuspendedGatewayDecideInNoOrder() {
    model.join("v2");
    settle();
    model.suspend(1);
    model.ask(0);
    long stream = model.beginElsewhere(0).orElseThrow();
    model.resume(1);
    model.loseGateway(0);
    do {
      assertNotAt("v1", model.takeUp(1, stream));
    } while (model.handleNext(1));
    assertThat(OriginModel.versionOf(model.takeUp(1, stream))).contains("v2");
  }

  @Test
  void answerThatWaitedForASuspendedGatewayDoesNotConfirmItsView() {
    model.suspend(1);
    model.advance(100);
    model.join("v2");
    settle();
    long stream = model.begin(0, "v2").orElseThrow();
    model.resume(1);
    do {
      assertNotAt("v1", model.takeUp(1, stream));
    } while (model.handleNext(1));
  }

  @Test
  void leaderThatHasNotReadTheListSettlesNoVersion() {
    model.keepFollowerBehind();
    model.cut(1, true);
    model.join("v2");
    model.advance(100);
    model.changeLeader();
    model.advance(100);
    assertThat(model.begin(0, "v2")).as("gateway 1 knows v1 only, confirmed").isEmpty();
  }

  @Test
  void versionThatReturnsSettlesAgain() {
    model.join("v2");
    settle();
    model.leave("v2");
    model.advance(11_000);
    model.cut(1, true);
    model.join("v2");
    model.advance(100);
    assertThat(model.begin(0, "v2")).as("gateway 1 knows v1 only, confirmed").isEmpty();
  }

  @Test
  void versionThatReturnedWhileAGatewayWasCutOffIsPossible() {
    model.join("v2");
    settle();
    model.leave("v2");
    model.advance(1_000);
    model.isolate(1, true);
    model.advance(5_000);
    model.join("v2");
    settle();
    long stream = model.begin(0, "v2").orElseThrow();
    model.leave("v2");
    model.advance(4_000);
    model.isolate(1, false);
    model.advance(100);
    assertThat(OriginModel.versionOf(model.takeUp(1, stream))).contains("v2");
  }

  @Test
  void streamBetweenTwoChangesOfVersionsOutlivesItsGateway() {
    model.join("v2");
    settle();
    model.leave("v1");
    model.advance(15_000);
    long stream = model.begin(0, "v2").orElseThrow();
    model.join("v3");
    settle();
    model.loseGateway(0);
    assertThat(OriginModel.versionOf(model.takeUp(1, stream))).contains("v2");
  }

  private void perform(int action, int gateway) {
    switch (action) {
      case 3 -> model.loseGateway(gateway);
      case 4 -> model.cut(gateway, true);
      case 5 -> model.cut(gateway, false);
      case 6 -> model.isolate(gateway, true);
      case 7 -> model.isolate(gateway, false);
      case 8 -> model.suspend(gateway);
      case 9, 10 -> model.resume(gateway);
      case 11 -> model.handleNext(gateway);
      default -> performUndisturbed(action, gateway);
    }
    if (action != 8 && action != 9 && action != 11) {
      model.advance(100);
    }
  }

  /** Performs an action that disturbs no gateway. */
  private void performUndisturbed(int action, int gateway) {
    switch (action) {
      case 0 -> model.joinNext();
      case 1 -> model.leaveOldest();
      case 2 -> model.joinAgain();
      case 12 -> model.changeLeader();
      case 13 -> model.keepFollowerBehind();
      case 14 -> model.advance(900);
      case 15 -> model.advance(6_000);
      case 16 -> model.ask(gateway);
      case 17 -> model.beginElsewhere(gateway);
      default -> model.beginAnywhere(gateway);
    }
  }

  @Property(tries = 5_000)
  void noStreamGoesOnAtAnotherVersion(
      @ForAll @Size(max = 60) List<@IntRange(max = ACTIONS * GATEWAYS - 1) Integer> actions) {
    model = new OriginModel(GATEWAYS, "v1");
    for (int action : actions) {
      perform(action / GATEWAYS, action % GATEWAYS);
      for (long stream : model.openStreams()) {
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          if (model.isRunning(gateway)) {
            check(stream, gateway);
          }
        }
      }
    }
  }

  private void check(long stream, int gateway) {
    Optional<String> version = OriginModel.versionOf(model.takeUp(gateway, stream));
    version.ifPresent(found -> assertThat(found).isEqualTo(model.versionThatBegan(stream)));
    if (model.reachesBeginnerOf(stream, gateway)) {
      assertThat(version).as("the gateway that began the stream knows").isPresent();
    }
  }
}
