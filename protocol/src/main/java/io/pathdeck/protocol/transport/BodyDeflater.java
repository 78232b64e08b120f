package io.pathdeck.protocol.transport;

import io.netty.util.concurrent.FastThreadLocal;
import io.pathdeck.common.result.Result;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

/**
 * Compresses and restores the content of single frames.
 *
 * <p>Frames do not depend on each other: a window kept for each connection would compress better,
 * but takes about 300 KB of memory for each of them. So a thread has one deflater and one inflater,
 * made when they are first needed.
 */
final class BodyDeflater {
  /** Level 1 takes the least processor time; what repeats in messages is found at this level. */
  private static final int LEVEL = Deflater.BEST_SPEED;

  /** No deflated byte stands for more; a frame that claims more is refused before memory is. */
  private static final int MAX_RATIO = 1_032;

  /**
   * From this length on a sample is compressed first: what does not get smaller takes the most
   * processor time, and long messages are bodies of callers, which often are compressed already.
   */
  private static final int SAMPLED_FROM_LENGTH = 8 * 1024;

  private static final int SAMPLE_LENGTH = 2 * 1024;

  /** A sample that saves less than an eighth is not worth the time of the whole. */
  private static final int SAMPLE_MAX_LENGTH = SAMPLE_LENGTH * 7 / 8;

  private static final FastThreadLocal<Deflater> DEFLATER =
      new FastThreadLocal<>() {
        @Override
        protected Deflater initialValue() {
          return new Deflater(LEVEL, true);
        }

        @Override
        protected void onRemoval(Deflater deflater) {
          deflater.end();
        }
      };

  private static final FastThreadLocal<Inflater> INFLATER =
      new FastThreadLocal<>() {
        @Override
        protected Inflater initialValue() {
          return new Inflater(true);
        }

        @Override
        protected void onRemoval(Inflater inflater) {
          inflater.end();
        }
      };

  private BodyDeflater() {}

  /** Why bytes could not be restored. */
  record InflateError(String reason) {}

  /**
   * Compresses {@code body}; empty when it does not fit into {@code maxLength} bytes then, or when
   * a sample from its middle shows that little would be gained.
   */
  static Optional<byte[]> deflate(byte[] body, int maxLength) {
    if (maxLength <= 0) {
      return Optional.empty();
    }
    int middle = body.length / 2;
    boolean worthwhile =
        body.length < SAMPLED_FROM_LENGTH
            || deflate(body, middle, SAMPLE_LENGTH, SAMPLE_MAX_LENGTH).isPresent();
    return worthwhile ? deflate(body, 0, body.length, maxLength) : Optional.empty();
  }

  private static Optional<byte[]> deflate(byte[] body, int from, int length, int maxLength) {
    Deflater deflater = DEFLATER.get();
    deflater.reset();
    deflater.setInput(body, from, length);
    deflater.finish();
    byte[] deflated = new byte[maxLength];
    int written = deflater.deflate(deflated);
    return deflater.finished() ? Optional.of(Arrays.copyOf(deflated, written)) : Optional.empty();
  }

  /** Restores the {@code length} bytes that {@code deflated} stands for, no more and no fewer. */
  static Result<byte[], InflateError> inflate(byte[] deflated, int length) {
    if (length <= 0 || length > (long) MAX_RATIO * deflated.length) {
      return Result.err(new InflateError("claimed length " + length));
    }
    Inflater inflater = INFLATER.get();
    inflater.reset();
    inflater.setInput(deflated);
    byte[] body = new byte[length];
    try {
      int restored = inflater.inflate(body);
      boolean whole = restored == length && inflater.finished() && inflater.getRemaining() == 0;
      return whole ? Result.ok(body) : Result.err(new InflateError("not of the claimed length"));
    } catch (DataFormatException e) {
      return Result.err(new InflateError(String.valueOf(e.getMessage())));
    }
  }
}
