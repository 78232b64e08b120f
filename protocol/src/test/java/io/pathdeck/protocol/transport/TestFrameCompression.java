package io.pathdeck.protocol.transport;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.query.BatchItemBody;
import java.util.Arrays;
import java.util.Random;
import java.util.zip.Deflater;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class TestFrameCompression {
  private static final FrameCompression FROM_64_BYTES = new FrameCompression(64);
  private static final int HEADER_BYTES = 10;
  private static final int COMPRESSED_REPLY = 0x40 | Frame.Kind.REPLY.ordinal();
  private static final int TOO_LONG = 16 * 1024 * 1024;

  static byte[] encode(FrameCompression compression, Frame frame) {
    EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec(compression));
    channel.writeOutbound(frame);
    ByteBuf sent = channel.readOutbound();
    byte[] bytes = new byte[sent.readableBytes()];
    sent.readBytes(bytes);
    sent.release();
    channel.finishAndReleaseAll();
    return bytes;
  }

  private static Frame decode(byte[] bytes) {
    EmbeddedChannel channel = new EmbeddedChannel(new FrameCodec(FrameCompression.OFF));
    channel.writeInbound(Unpooled.wrappedBuffer(bytes));
    Frame frame = channel.readInbound();
    channel.finishAndReleaseAll();
    return frame;
  }

  private static Frame reply(Message message) {
    return new Frame(Frame.Kind.REPLY, 7, message);
  }

  private static Message body(byte[] content) {
    return new QueryReply(new BatchItemBody(content));
  }

  private static byte[] bodyOf(Frame frame) {
    return ((BatchItemBody) ((QueryReply) frame.message()).result()).body();
  }

  private static byte[] compressedFrame(int claimedLength, byte[] deflated) {
    ByteBuf frame = Unpooled.buffer();
    frame.writeInt(HEADER_BYTES + Integer.BYTES + deflated.length);
    frame.writeByte(Frame.VERSION);
    frame.writeByte(COMPRESSED_REPLY);
    frame.writeLong(7);
    frame.writeInt(claimedLength);
    frame.writeBytes(deflated);
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);
    return bytes;
  }

  private static byte[] deflated(byte[] body) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED, true);
    deflater.setInput(body);
    deflater.finish();
    byte[] buffer = new byte[body.length + 64];
    int length = deflater.deflate(buffer);
    deflater.end();
    return Arrays.copyOf(buffer, length);
  }

  @Property(tries = 300)
  void bytesOfAnyKindComeBack(@ForAll @Size(max = 5_000) byte[] content) {
    byte[] sent = encode(FROM_64_BYTES, reply(body(content)));

    assertThat(bodyOf(decode(sent))).isEqualTo(content);
  }

  @Property(tries = 300)
  void repetitiveBytesComeBackFromFewer(
      @ForAll @IntRange(min = 200, max = 70_000) int length,
      @ForAll @IntRange(min = 1, max = 40) int alphabet,
      @ForAll long seed) {
    byte[] content = new byte[length];
    Random random = new Random(seed);
    for (int i = 0; i < length; i++) {
      content[i] = (byte) random.nextInt(alphabet);
    }
    Frame frame = reply(body(content));

    byte[] sent = encode(FROM_64_BYTES, frame);

    assertThat(bodyOf(decode(sent))).isEqualTo(content);
    assertThat(sent.length).isLessThan(encode(FrameCompression.OFF, frame).length);
  }

  @Test
  void framesBelowTheSizeStayAsTheyAre() {
    Frame frame = reply(new Unavailable("aaaaaaaaaaaaaaaa", false));

    assertThat(encode(new FrameCompression(4_096), frame))
        .isEqualTo(encode(FrameCompression.OFF, frame));
  }

  @Test
  void whatDoesNotGetSmallerIsSentPlain() {
    byte[] noise = new byte[3_000];
    new Random(1).nextBytes(noise);
    Frame frame = reply(body(noise));

    assertThat(encode(FROM_64_BYTES, frame)).isEqualTo(encode(FrameCompression.OFF, frame));
  }

  @Test
  void oneSampleTellsWhetherALongBodyIsWorthTheTime() {
    byte[] content = new byte[60_000];
    Frame frame = reply(body(content));
    assertThat(encode(FROM_64_BYTES, frame)).hasSizeLessThan(1_000);

    byte[] noise = new byte[30_000];
    new Random(1).nextBytes(noise);
    System.arraycopy(noise, 0, content, 15_000, noise.length);
    byte[] sent = encode(FROM_64_BYTES, frame);

    assertThat(sent).isEqualTo(encode(FrameCompression.OFF, frame));
    assertThat(bodyOf(decode(sent))).isEqualTo(content);
  }

  @Test
  void aHandMadeCompressedFrameIsUnderstood() {
    byte[] encoded = ObjectCodec.encode(body(new byte[500]));

    Frame frame = decode(compressedFrame(encoded.length, deflated(encoded)));

    assertThat(frame.kind()).isEqualTo(Frame.Kind.REPLY);
    assertThat(frame.correlationId()).isEqualTo(7);
    assertThat(bodyOf(frame)).hasSize(500);
  }

  @Test
  void claimedLengthsThatAreNotTrueAreRejected() {
    byte[] encoded = ObjectCodec.encode(body(new byte[500]));
    byte[] deflated = deflated(encoded);
    int length = encoded.length;

    for (int claimed : new int[] {-1, 0, length - 1, length + 1, TOO_LONG, Integer.MAX_VALUE}) {
      assertRejected(compressedFrame(claimed, deflated));
    }
  }

  @Test
  void bytesAfterTheEndAreRejected() {
    byte[] encoded = ObjectCodec.encode(body(new byte[500]));
    byte[] deflated = deflated(encoded);

    assertRejected(compressedFrame(encoded.length, Arrays.copyOf(deflated, deflated.length + 1)));
  }

  @Test
  void aFrameWithoutItsLengthIsRejected() {
    ByteBuf frame = Unpooled.buffer();
    frame.writeInt(HEADER_BYTES).writeByte(Frame.VERSION).writeByte(COMPRESSED_REPLY).writeLong(7);
    byte[] bytes = new byte[frame.readableBytes()];
    frame.readBytes(bytes);

    assertRejected(bytes);
  }

  @Property(tries = 500)
  void strangeBytesAreRejectedOrAMessage(
      @ForAll @Size(max = 200) byte[] deflated, @ForAll @IntRange(min = 1, max = 500) int claimed) {
    try {
      decode(compressedFrame(claimed, deflated));
    } catch (CorruptedFrameException rejected) {
      assertThat(rejected.getMessage()).matches("(?s)(compressed frame|frame body: ).*");
    }
  }

  @Test
  void bytesThatInflateToNoMessageAreRejected() {
    byte[] deflated = {11, -1, -1, -73, -25, -4, 10, 35, -3, -10, -5, -66, 17, -37, 0};
    assertThatThrownBy(() -> decode(compressedFrame(13, deflated)))
        .isInstanceOf(CorruptedFrameException.class)
        .hasMessageStartingWith("frame body: ");
  }

  private static void assertRejected(byte[] frame) {
    assertThatThrownBy(() -> decode(frame))
        .isInstanceOf(CorruptedFrameException.class)
        .hasMessageStartingWith("compressed frame");
  }
}
