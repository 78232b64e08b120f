package io.pathdeck.fleet.gateway;

import static io.pathdeck.fleet.gateway.ReadPause.HIGH_WATERMARK_BYTES;
import static io.pathdeck.fleet.gateway.ReadPause.LOW_WATERMARK_BYTES;
import static io.pathdeck.fleet.gateway.ReadPause.MAX_PAUSE_MS;
import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TestReadPause {
  private static final long NOW_MS = 10_000;

  private final ReadPause pause = new ReadPause();

  @Test
  void pausesBetweenWatermarks() {
    assertThat(pause.update(HIGH_WATERMARK_BYTES, NOW_MS)).isFalse();
    assertThat(pause.update(HIGH_WATERMARK_BYTES + 1, NOW_MS)).isTrue();
    assertThat(pause.update(LOW_WATERMARK_BYTES + 1, NOW_MS + 10)).isTrue();
    assertThat(pause.update(LOW_WATERMARK_BYTES, NOW_MS + 20)).isFalse();
    assertThat(pause.update(HIGH_WATERMARK_BYTES, NOW_MS + 30)).isFalse();
  }

  @Test
  void pauseEndsBeforeEngineTimeout() {
    pause.update(HIGH_WATERMARK_BYTES + 1, NOW_MS);
    assertThat(pause.update(HIGH_WATERMARK_BYTES + 1, NOW_MS + MAX_PAUSE_MS - 1)).isTrue();
    assertThat(pause.update(HIGH_WATERMARK_BYTES + 1, NOW_MS + MAX_PAUSE_MS)).isFalse();
    assertThat(MAX_PAUSE_MS).isLessThan(2_000);
  }

  @Test
  void slowCallerCausesOnlyOnePause() {
    pause.update(HIGH_WATERMARK_BYTES + 1, NOW_MS);
    pause.update(HIGH_WATERMARK_BYTES + 1, NOW_MS + MAX_PAUSE_MS);
    assertThat(pause.update(10 * HIGH_WATERMARK_BYTES, NOW_MS + MAX_PAUSE_MS + 1)).isFalse();
    pause.update(LOW_WATERMARK_BYTES, NOW_MS + MAX_PAUSE_MS + 2);
    assertThat(pause.update(HIGH_WATERMARK_BYTES + 1, NOW_MS + MAX_PAUSE_MS + 3)).isTrue();
  }
}
