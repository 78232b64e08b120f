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
  private static final EngineTenant NOBODY = new EngineTenant.PassThrough();

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
    assertThat(fingerprint("first", "/a?q=1", NOBODY, "body"))
        .isEqualTo(fingerprint("second", "/a?q=1", NOBODY, "body"));
  }

  @Test
  void differsByPathQueryTenantAndBody() {
    RequestFingerprint one = fingerprint("id", "/a?q=1", NOBODY, "body");
    assertThat(fingerprint("id", "/b?q=1", NOBODY, "body")).isNotEqualTo(one);
    assertThat(fingerprint("id", "/a?q=2", NOBODY, "body")).isNotEqualTo(one);
    assertThat(fingerprint("id", "/a?q=1", new EngineTenant.Named("t"), "body")).isNotEqualTo(one);
    assertThat(fingerprint("id", "/a?q=1", NOBODY, "bodY")).isNotEqualTo(one);
    assertThat(fingerprint("id", "/a?q=1", NOBODY, "")).isNotEqualTo(one);
  }

  @Test
  void outlineDependsOnBodyLength() {
    assertThat(fingerprint("id", "/a", NOBODY, "1").outline())
        .isNotEqualTo(fingerprint("id", "/a", NOBODY, "12").outline());
  }
}
