package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.origin.OriginModel.Gateway;
import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/**
 * Guards against streams that go on at another software version after all gateways were lost at
 * once, while versions stand side by side or the old one has just left.
 */
class TestReturnsAfterLossOfGateways {
  private static final int GATEWAYS = 3;
  private static final int ACTIONS = 13;

  private OriginModel model = new OriginModel(GATEWAYS, "v1");

  private void settle() {
    model.advance(2_000);
  }

  private static boolean goesOn(Resolution resolution) {
    return resolution instanceof Resolution.Known;
  }

  @Test
  void gatewaysThatHaveJustStartedDoNotConfirmEachOther() {
    model.keepSavedView();
    model.join("v2");
    settle();
    long stream = model.begin(0, "v2").orElseThrow();
    model.setLeaderless(true);
    model.loseAllGateways();
    model.advance(300);
    assertThat(goesOn(model.takeUp(1, stream))).as("at v1, since others answer").isFalse();
  }

  @Test
  void firstGatewayThatIsBackIsNotTakenForTheOnlyOne() {
    model.keepSavedView();
    model.join("v2");
    settle();
    long stream = model.begin(0, "v2").orElseThrow();
    model.setLeaderless(true);
    model.loseAllGateways();
    model.stopAllBut(1);
    model.advance(300);
    assertThat(goesOn(model.takeUp(1, stream))).isFalse();
  }

  /** The version of most engines may be the one that has just joined. */
  @Test
  void gatewayThatHasJustStartedDoesNotGuessWhichVersionIsOld() {
    model.cut(2, true);
    model.advance(100);
    model.join("v2", "v2", "v2");
    model.advance(100);
    model.loseGateway(0);
    model.advance(100);
    assertThat(model.begin(0, "v2")).as("gateway 2 knows v1 only, confirmed").isEmpty();
  }

  @Test
  void newStreamsBeginAtVersionsThatCoordinatorsHaveLongKnown() {
    model.join("v2");
    settle();
    model.loseAllGateways();
    model.advance(100);
    assertThat(model.begin(0, "v1")).isPresent();
    assertThat(model.begin(0, "v2")).isPresent();
    model.loseAllGateways();
    model.leave("v1");
    model.advance(100);
    assertThat(model.begin(1, "v2")).as("the old version has just left").isPresent();
  }

  @Test
  void streamsOfTheOnlyVersionGoOn() {
    long stream = model.begin(0, "v1").orElseThrow();
    model.loseAllGateways();
    model.advance(100);
    assertThat(goesOn(model.takeUp(1, stream))).isTrue();
  }

  private void perform(int action, int gateway) {
    switch (action) {
      case 0 -> model.joinNext();
      case 1 -> model.leaveOldest();
      case 2 -> model.loseAllGateways();
      case 3 -> model.loseGateway(gateway);
      case 4 -> model.cut(gateway, true);
      case 5 -> model.cut(gateway, false);
      case 6 -> model.changeLeader();
      case 7 -> model.setLeaderless(true);
      case 8 -> model.setLeaderless(false);
      case 9 -> model.restartCoordinators();
      case 10 -> model.advance(900);
      case 11 -> model.keepSavedView();
      default -> model.beginAnywhere(gateway);
    }
    model.advance(100);
  }

  @Property(tries = 5_000)
  void noStreamGoesOnAtAnotherVersion(
      @ForAll @Size(max = 60) List<@IntRange(max = ACTIONS * GATEWAYS - 1) Integer> actions) {
    model = new OriginModel(GATEWAYS, "v1");
    for (int action : actions) {
      perform(action / GATEWAYS, action % GATEWAYS);
      for (long stream : model.openStreams()) {
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          check(stream, model.takeUp(gateway, stream), model.gateway(gateway));
        }
      }
    }
  }

  private void check(long stream, Resolution resolution, Gateway gateway) {
    Optional<String> version = OriginModel.versionOf(resolution);
    version.ifPresent(found -> assertThat(found).isEqualTo(model.versionThatBegan(stream)));
    if (model.hadOneVersion() && model.isConfirmed(gateway)) {
      assertThat(version).as("the only version is known").isPresent();
    }
  }
}
