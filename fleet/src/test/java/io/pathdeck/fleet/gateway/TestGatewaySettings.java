package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.serving.http.HttpLimits;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TestGatewaySettings {
  private static final String YAML =
      """
      name: g
      zone: z
      listen: 127.0.0.1:1
      seeds: [127.0.0.1:2]
      callers_listen: 127.0.0.1:3
      readiness_listen: 127.0.0.1:4
      max_header_bytes: 16384
      max_body_bytes: 4194304
      max_connections: 500
      read_timeout_ms: 20000
      """;

  private static GatewaySettings settings() {
    return read("").value();
  }

  private static Result<GatewaySettings, SettingsError> read(String extraYaml) {
    return GatewaySettings.read(SettingsReader.parse("test", YAML + extraYaml, Map.of()).value());
  }

  @Test
  void coresDefaultToUnknownAndMayBeFractional() {
    assertThat(settings().cores()).isEqualTo(FleetProcess.CORES_UNKNOWN);
    assertThat(read("cores: 0.27").value().cores()).isEqualTo(0.27);
    assertThat(read("cores: 2").value().cores()).isEqualTo(2);
  }

  @ParameterizedTest
  @ValueSource(strings = {"cores: -0.1", "cores: 1025", "cores: many"})
  void invalidCoresAreRejected(String line) {
    Result<GatewaySettings, SettingsError> result = read(line);
    assertThat(result.isOk()).isFalse();
    assertThat(result.error().problems()).singleElement().asString().contains("cores");
  }

  @Test
  void configurationOverridesLimits() {
    HttpLimits limits = settings().effectiveLimits(new CallerLimits(32_768, 9_000_000, 60_000));
    assertThat(limits).isEqualTo(new HttpLimits(32_768, 9_000_000, 9_000_000, 500, 60_000));
  }

  @Test
  void unspecifiedLimitsAreKept() {
    assertThat(settings().effectiveLimits(CallerLimits.NONE)).isEqualTo(settings().limits());
  }

  @Test
  void shareLoadDefaultsToFalse() {
    assertThat(settings().shareLoad()).isFalse();
    assertThat(read("share_load: true\n").value().shareLoad()).isTrue();
  }

  @Test
  void nonBooleanShareLoadIsRejected() {
    assertThat(read("share_load: often\n").isOk()).isFalse();
  }

  @Test
  void memoryBudgetIsDisabledByDefault() {
    assertThat(settings().memoryBudgetBytes()).isZero();
    assertThat(read("memory_budget_mb: 48").value().memoryBudgetBytes()).isEqualTo(48L << 20);
  }

  @ParameterizedTest
  @ValueSource(strings = {"-1", "65537", "much", "3"})
  void invalidMemoryBudgetIsRejected(String value) {
    Result<GatewaySettings, SettingsError> result = read("memory_budget_mb: " + value);
    assertThat(result.isOk()).isFalse();
    assertThat(result.error().problems()).singleElement().asString().contains("memory_budget_mb");
  }
}
