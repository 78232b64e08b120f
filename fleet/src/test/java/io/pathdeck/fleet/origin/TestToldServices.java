package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against streams that only their gateway knows while other versions are possible. */
class TestToldServices {
  private final SoftwareVersions versions = new SoftwareVersions();
  private final ToldServices services = new ToldServices(versions);

  private Set<String> list(long nowMs, String... softwareVersions) {
    List<EngineInstance> engines =
        Stream.of(softwareVersions)
            .map(each -> new EngineInstance(each, "s", "h:1", "z", 8, false))
            .map(each -> each.withSoftwareVersion(each.id()))
            .toList();
    versions.onView(engines, List.of(), List.of(), nowMs);
    return services.onChange(Set.of("s"), nowMs);
  }

  @Test
  void streamsOfTheOnlyVersionAreToldWhenAnotherJoins() {
    assertThat(list(0, "v1")).isEmpty();
    assertThat(services.onStream("s", 1)).isFalse();
    assertThat(list(2, "v1", "v2")).containsExactly("s");
    assertThat(services.onStream("s", 3)).isTrue();
    assertThat(list(4, "v1", "v2")).as("again").isEmpty();
  }

  @Test
  void streamsBetweenTwoChangesAreTold() {
    list(0, "v1", "v2");
    list(1, "v2");
    assertThat(services.onStream("s", 20_000)).isTrue();
    assertThat(services.onStream("s", 2 + SoftwareVersions.RETENTION_MS)).isFalse();
    assertThat(list(70_000, "v2", "v3")).containsExactly("s");
  }
}
