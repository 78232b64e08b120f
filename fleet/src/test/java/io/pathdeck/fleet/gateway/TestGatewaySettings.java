package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.serving.http.HttpLimits;
import java.util.Map;
import org.junit.jupiter.api.Test;

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
    return read(YAML).value();
  }

  private static Result<GatewaySettings, SettingsError> read(String yaml) {
    return GatewaySettings.read(SettingsReader.parse("test", yaml, Map.of()).value());
  }

  @Test
  void configurationReplacesTheLimitsThatItStates() {
    HttpLimits limits = settings().limitsUnder(new CallerLimits(32_768, 9_000_000, 60_000));
    assertThat(limits).isEqualTo(new HttpLimits(32_768, 9_000_000, 9_000_000, 500, 60_000));
  }

  @Test
  void limitsThatAConfigurationDoesNotStateStay() {
    assertThat(settings().limitsUnder(CallerLimits.NONE)).isEqualTo(settings().limits());
  }

  @Test
  void loadIsSharedUnaskedOnlyWhereEnginesSayThatTheyShareMachines() {
    assertThat(settings().shareLoad()).isFalse();
    assertThat(read(YAML + "share_load: true\n").value().shareLoad()).isTrue();
  }

  @Test
  void aSwitchThatIsNoBooleanIsRefused() {
    assertThat(read(YAML + "share_load: often\n").isOk()).isFalse();
  }
}
