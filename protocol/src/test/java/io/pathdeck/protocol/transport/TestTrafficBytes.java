package io.pathdeck.protocol.transport;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TestTrafficBytes {
  private static final FrameCompression ON = new FrameCompression(256);

  private static double bytesPerSecond(boolean words, FrameCompression compression) {
    return new TypicalTraffic(words)
        .messages().stream().mapToDouble(sent -> sent.bytesPerSecond(compression)).sum();
  }

  @Test
  void aLoadOfWordsTakesLessThanHalf() {
    assertThat(bytesPerSecond(true, ON)).isLessThan(bytesPerSecond(true, FrameCompression.OFF) / 2);
  }

  @Test
  void aLoadThatDoesNotCompressTakesNoMore() {
    assertThat(bytesPerSecond(false, ON)).isLessThan(bytesPerSecond(false, FrameCompression.OFF));
  }
}
