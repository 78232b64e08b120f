package io.pathdeck.fleet.load;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TestLoadDatagram {
  private static final LoadDatagram SAMPLE = new LoadDatagram(1, 2, 3, 250, Map.of(7L, 4, 8L, 1));

  @Property(tries = 200)
  void encodedDatagramsDecodeUnchanged(
      @ForAll long sender,
      @ForAll long incarnation,
      @ForAll long sequence,
      @ForAll @IntRange(max = LoadDatagram.MAX_TTL_MS) int ttlMs,
      @ForAll @Size(max = LoadDatagram.MAX_ENGINES)
          Map<Long, @IntRange(min = 1, max = LoadDatagram.MAX_CALLS) Integer> calls) {
    LoadDatagram datagram = new LoadDatagram(sender, incarnation, sequence, ttlMs, calls);
    byte[] bytes = datagram.encode();
    assertThat(bytes.length).isLessThanOrEqualTo(LoadDatagram.MAX_BYTES);
    assertThat(LoadDatagram.decode(ByteBuffer.wrap(bytes))).contains(datagram);
  }

  @Property(tries = 500)
  void decodingArbitraryBytesNeverThrows(@ForAll byte[] bytes) {
    assertThatCode(() -> LoadDatagram.decode(ByteBuffer.wrap(bytes))).doesNotThrowAnyException();
  }

  @Property(tries = 500)
  void decodingCorruptedBytesNeverThrows(
      @ForAll @IntRange(max = 49) int index, @ForAll byte value) {
    byte[] bytes = SAMPLE.encode();
    bytes[index] = value;
    assertThatCode(() -> LoadDatagram.decode(ByteBuffer.wrap(bytes))).doesNotThrowAnyException();
  }

  @Test
  void wrongLengthsAreRejected() {
    byte[] bytes = SAMPLE.encode();
    for (int length = 0; length < bytes.length; length++) {
      assertThat(LoadDatagram.decode(ByteBuffer.wrap(bytes, 0, length))).isEmpty();
    }
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    assertThat(LoadDatagram.decode(ByteBuffer.wrap(longer))).isEmpty();
  }

  @Test
  void otherVersionsAreRejected() {
    byte[] bytes = SAMPLE.encode();
    bytes[2]++;
    assertThat(LoadDatagram.decode(ByteBuffer.wrap(bytes))).isEmpty();
  }

  @Test
  void largestDatagramFitsPacket() {
    Map<Long, Integer> calls = new HashMap<>();
    for (long engine = 0; engine < LoadDatagram.MAX_ENGINES; engine++) {
      calls.put(engine, 1);
    }
    assertThat(new LoadDatagram(1, 2, 3, 250, calls).encode()).hasSizeLessThanOrEqualTo(1_200);
  }
}
