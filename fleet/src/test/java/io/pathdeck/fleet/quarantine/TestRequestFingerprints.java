package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class TestRequestFingerprints {
  private static final EngineInstance ENGINE = new EngineInstance("e", "s", "h:1", "z", 1, false);
  private static final EngineTenant PASS_THROUGH = new EngineTenant.PassThrough();

  private static RequestFingerprint fingerprint(
      String id, String uri, EngineTenant tenant, String body) {
    EngineCall call =
        new EngineCall(
            ENGINE,
            HttpMethod.POST,
            uri,
            "host",
            id,
            tenant,
            EmptyHttpHeaders.INSTANCE,
            body.getBytes(StandardCharsets.UTF_8),
            1,
            -1);
    return RequestFingerprints.fingerprint(call);
  }

  @Test
  void retriesHaveSameFingerprint() {
    assertThat(fingerprint("first", "/a?q=1", PASS_THROUGH, "body"))
        .isEqualTo(fingerprint("second", "/a?q=1", PASS_THROUGH, "body"));
  }

  @Test
  void differsByPathQueryTenantAndBody() {
    RequestFingerprint original = fingerprint("id", "/a?q=1", PASS_THROUGH, "body");
    assertThat(fingerprint("id", "/b?q=1", PASS_THROUGH, "body")).isNotEqualTo(original);
    assertThat(fingerprint("id", "/a?q=2", PASS_THROUGH, "body")).isNotEqualTo(original);
    assertThat(fingerprint("id", "/a?q=1", new EngineTenant.Named("t"), "body"))
        .isNotEqualTo(original);
    assertThat(fingerprint("id", "/a?q=1", PASS_THROUGH, "bodY")).isNotEqualTo(original);
    assertThat(fingerprint("id", "/a?q=1", PASS_THROUGH, "")).isNotEqualTo(original);
  }

  @Test
  void outlineDependsOnBodyLength() {
    assertThat(fingerprint("id", "/a", PASS_THROUGH, "1").outline())
        .isNotEqualTo(fingerprint("id", "/a", PASS_THROUGH, "12").outline());
  }
}
