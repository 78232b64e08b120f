package io.pathdeck.fleet.eligibility;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TestEngineEligibility {
  private static final EngineInstance ENGINE = new EngineInstance("e", "s", "h:1", "z", 8, false);

  private final EngineEligibility eligibility = EngineEligibility.withoutPlaces();

  @Test
  void engineOfEvacuatedZoneIsNotEligible() {
    eligibility.setEvacuatedZones(new EvacuatedZones(1, List.of("z")));
    assertThat(eligibility.check(ENGINE, false, RequestConstraints.NONE, 10))
        .isEqualTo(Eligibility.ZONE_EVACUATED);
    eligibility.setEvacuatedZones(new EvacuatedZones(2, List.of()));
    assertThat(eligibility.check(ENGINE, false, RequestConstraints.NONE, 20))
        .isEqualTo(Eligibility.ELIGIBLE);
  }

  private static RequestConstraints resumed(String softwareVersion) {
    return new RequestConstraints(
        Set.of(),
        AllowedRegions.ANYWHERE,
        Optional.of(new StreamOrigin(ENGINE.service(), softwareVersion)));
  }

  @Test
  void streamGoesOnOnlyAtItsSoftwareVersion() {
    EngineInstance engine = ENGINE.withSoftwareVersion("v1");
    assertThat(eligibility.check(engine, false, resumed("v1"), 10)).isEqualTo(Eligibility.ELIGIBLE);
    assertThat(eligibility.check(engine, false, resumed("v2"), 10))
        .isEqualTo(Eligibility.OTHER_SOFTWARE_VERSION);
  }

  @Test
  void versionThatHasJustJoinedBeginsNoStreams() {
    SoftwareVersions versions = eligibility.softwareVersions();
    EngineInstance old = ENGINE.withSoftwareVersion("v1");
    EngineInstance joined = ENGINE.withSoftwareVersion("v2");
    StreamOrigin joining = StreamOrigin.of(joined);
    versions.onView(List.of(old, joined), List.of(), List.of(joining), 0);
    long longAfterMs = 60_000;
    assertThat(eligibility.check(joined, false, RequestConstraints.NONE, longAfterMs))
        .isEqualTo(Eligibility.SOFTWARE_VERSION_NOT_SETTLED);
    assertThat(eligibility.check(old, false, RequestConstraints.NONE, longAfterMs))
        .isEqualTo(Eligibility.ELIGIBLE);
    assertThat(eligibility.check(joined, false, resumed("v2"), longAfterMs))
        .isEqualTo(Eligibility.ELIGIBLE);
    versions.onView(List.of(old, joined), List.of(), List.of(), longAfterMs);
    assertThat(eligibility.check(joined, false, RequestConstraints.NONE, longAfterMs))
        .isEqualTo(Eligibility.ELIGIBLE);
  }
}
