package io.pathdeck.protocol.transport;

import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.transport.TypicalTraffic.Sent;
import java.util.Locale;

/** Prints what the kinds of messages take of a second, plain and compressed, and the time of it. */
final class TrafficTable {
  private static final FrameCompression ON = new FrameCompression(256);
  private static final int REPETITIONS = 2_000;
  private static final double NS_PER_US = 1_000;

  private TrafficTable() {}

  public static void main(String[] arguments) {
    for (boolean words : new boolean[] {true, false}) {
      System.out.println(words ? "words" : "random characters");
      new TypicalTraffic(words).messages().forEach(TrafficTable::print);
    }
  }

  private static void print(Sent sent) {
    byte[] body = ObjectCodec.encode(sent.message());
    byte[] deflated = BodyDeflater.deflate(body, body.length).orElse(null);
    double deflateUs = microseconds(() -> BodyDeflater.deflate(body, body.length));
    double inflateUs =
        deflated == null ? 0 : microseconds(() -> BodyDeflater.inflate(deflated, body.length));
    System.out.println(
        String.format(
            Locale.ROOT,
            "| %s | %.1f | %d | %d | %.1f | %.1f | %.1f | %.1f |",
            sent.name(),
            sent.perSecond(),
            sent.bytes(FrameCompression.OFF),
            sent.bytes(ON),
            sent.bytesPerSecond(FrameCompression.OFF) / 1_000,
            sent.bytesPerSecond(ON) / 1_000,
            deflateUs,
            inflateUs));
  }

  private static double microseconds(Runnable action) {
    for (int i = 0; i < REPETITIONS; i++) {
      action.run();
    }
    long beganNs = System.nanoTime();
    for (int i = 0; i < REPETITIONS; i++) {
      action.run();
    }
    return (System.nanoTime() - beganNs) / NS_PER_US / REPETITIONS;
  }
}
