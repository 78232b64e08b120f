package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

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
    return GatewaySettings.read(SettingsReader.parse("test", YAML, Map.of()).value()).value();
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
}
