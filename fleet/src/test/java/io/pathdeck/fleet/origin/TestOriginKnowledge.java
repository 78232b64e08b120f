package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.origin.StreamOriginExchange.Lookup;
import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class TestOriginKnowledge {
  private static final StreamOriginRecord V1 =
      new StreamOriginRecord(7, new StreamOrigin("s", "v1"), 1_000);
  private static final StreamOriginRecord V2 =
      new StreamOriginRecord(7, new StreamOrigin("s", "v2"), 1_000);
  private static final Optional<StreamOriginRecord> SEVERAL = Optional.empty();

  private static Lookup notFound(int asked, int answered) {
    return new Lookup(Optional.empty(), asked, answered);
  }

  private static Resolution known(StreamOriginRecord origin) {
    return new Resolution.Known(origin);
  }

  @Test
  void onlyOriginIsCertainWithAConfirmedViewAndALongHistory() {
    Optional<StreamOriginRecord> only = Optional.of(V1);
    assertThat(new OriginKnowledge(only, true, true).withoutAsking()).contains(known(V1));
    assertThat(new OriginKnowledge(only, true, false).withoutAsking()).isEmpty();
    assertThat(new OriginKnowledge(only, false, true).withoutAsking()).isEmpty();
    assertThat(new OriginKnowledge(SEVERAL, true, true).withoutAsking()).isEmpty();
  }

  @Test
  void recordOfAnotherGatewayCountsMoreThanTheView() {
    Lookup found = new Lookup(Optional.of(V2), 3, 1);
    assertThat(new OriginKnowledge(Optional.of(V1), true, false).after(found)).isEqualTo(known(V2));
    assertThat(new OriginKnowledge(SEVERAL, false, false).after(found)).isEqualTo(known(V2));
  }

  @Test
  void severalOriginsWithoutARecordAreNotGuessed() {
    OriginKnowledge several = new OriginKnowledge(SEVERAL, true, true);
    assertThat(several.after(notFound(3, 3))).isEqualTo(new Resolution.Unknown(false));
    assertThat(several.after(notFound(3, 2))).isEqualTo(new Resolution.Unknown(true));
    assertThat(several.ofUnnamed()).isEqualTo(new Resolution.Unknown(false));
  }

  @Test
  void gatewayThatIsCutOffFromAllDoesNotTrustItsView() {
    OriginKnowledge cutOff = new OriginKnowledge(Optional.of(V1), false, true);
    assertThat(cutOff.after(notFound(3, 0))).isEqualTo(new Resolution.Unknown(true));
    assertThat(cutOff.ofUnnamed()).isEqualTo(new Resolution.Unknown(true));
  }

  /** After all gateways were lost, those that answer, or the only one, know nothing of before. */
  @Test
  void answersWithoutARecordDoNotConfirmTheView() {
    OriginKnowledge started = new OriginKnowledge(Optional.of(V1), false, false);
    assertThat(started.after(notFound(3, 1))).isEqualTo(new Resolution.Unknown(true));
    assertThat(started.after(notFound(3, 3))).isEqualTo(new Resolution.Unknown(true));
    assertThat(started.after(notFound(0, 0))).isEqualTo(new Resolution.Unknown(true));
  }

  @Test
  void gatewayThatHasJustStartedTrustsAConfirmedView() {
    OriginKnowledge started = new OriginKnowledge(Optional.of(V1), true, false);
    assertThat(started.after(notFound(3, 0))).isEqualTo(known(V1));
    assertThat(started.ofUnnamed()).isEqualTo(known(V1));
  }
}
