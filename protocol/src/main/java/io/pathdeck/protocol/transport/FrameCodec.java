package io.pathdeck.protocol.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.message.Message;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Turns the content of a length-prefixed frame into a {@link Frame} and back.
 *
 * <p>A flag beside the frame's kind tells that the body is compressed. It begins then with the
 * length that it has when restored, which is bounded like that of every other frame.
 */
final class FrameCodec extends ByteToMessageCodec<Frame> {
  /** The largest frame accepted. */
  static final int MAX_FRAME_LENGTH = 16 * 1024 * 1024;

  private static final int HEADER_LENGTH = 1 + 1 + Long.BYTES;
  private static final int MAX_BODY_LENGTH = MAX_FRAME_LENGTH - HEADER_LENGTH;
  private static final int COMPRESSED_FLAG = 0x40;
  private static final Frame.Kind[] KINDS = Frame.Kind.values();

  private final FrameCompression compression;
  private final FrameMeter meter;
  private final PartialFrame partialFrame;

  FrameCodec(FrameCompression compression) {
    this(compression, FrameMeter.NONE);
  }

  FrameCodec(FrameCompression compression, FrameMeter meter) {
    this(compression, meter, PartialFrames.SHARED);
  }

  FrameCodec(FrameCompression compression, FrameMeter meter, PartialFrames partialFrames) {
    this.compression = compression;
    this.meter = meter;
    this.partialFrame = new PartialFrame(partialFrames);
  }

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
    byte[] body = ObjectCodec.encode(frame.message());
    Optional<byte[]> deflated = deflated(body);
    if (deflated.isEmpty()) {
      writeHeader(frame, body.length, 0, out);
      out.writeBytes(body);
    } else {
      writeHeader(frame, Integer.BYTES + deflated.get().length, COMPRESSED_FLAG, out);
      out.writeInt(body.length);
      out.writeBytes(deflated.get());
    }
    meter.onFrame(frame.message(), out.readableBytes());
  }

  /** The compressed body, where that is wanted and makes the frame smaller. */
  private Optional<byte[]> deflated(byte[] body) {
    return compression.appliesTo(body)
        ? BodyDeflater.deflate(body, body.length - Integer.BYTES - 1)
        : Optional.empty();
  }

  private static void writeHeader(Frame frame, int contentLength, int flags, ByteBuf out) {
    out.writeInt(HEADER_LENGTH + contentLength);
    out.writeByte(Frame.VERSION);
    out.writeByte(frame.kind().ordinal() | flags);
    out.writeLong(frame.correlationId());
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < Integer.BYTES) {
      partialFrame.onIncomplete(context, in);
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < HEADER_LENGTH || length > MAX_FRAME_LENGTH) {
      throw new CorruptedFrameException("frame length " + length);
    }
    if (in.readableBytes() < Integer.BYTES + length) {
      partialFrame.onIncomplete(context, in);
      return;
    }
    partialFrame.end();
    in.skipBytes(Integer.BYTES);
    Frame frame = readFrame(in, length);
    meter.onFrame(frame.message(), Integer.BYTES + length);
    out.add(frame);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) throws Exception {
    partialFrame.end();
    super.handlerRemoved(context);
  }

  private static Frame readFrame(ByteBuf in, int length) {
    byte version = in.readByte();
    if (version != Frame.VERSION) {
      throw new CorruptedFrameException("frame version " + version);
    }
    int kindAndFlags = in.readByte();
    int kind = kindAndFlags & ~COMPRESSED_FLAG;
    if (kind < 0 || kind >= KINDS.length) {
      throw new CorruptedFrameException("frame kind " + kind);
    }
    long correlationId = in.readLong();
    byte[] content = new byte[length - HEADER_LENGTH];
    in.readBytes(content);
    byte[] body = (kindAndFlags & COMPRESSED_FLAG) == 0 ? content : inflated(content);
    Result<Message, ObjectCodec.CodecError> message = ObjectCodec.decode(body, Message.class);
    if (!message.isOk()) {
      throw new CorruptedFrameException("frame body: " + message.error().reason());
    }
    return new Frame(KINDS[kind], correlationId, message.value());
  }

  private static byte[] inflated(byte[] content) {
    if (content.length < Integer.BYTES) {
      throw new CorruptedFrameException("compressed frame of " + content.length + " bytes");
    }
    int length = ByteBuffer.wrap(content).getInt();
    if (length > MAX_BODY_LENGTH) {
      throw new CorruptedFrameException("compressed frame of a body of " + length + " bytes");
    }
    byte[] deflated = Arrays.copyOfRange(content, Integer.BYTES, content.length);
    Result<byte[], BodyDeflater.InflateError> body = BodyDeflater.inflate(deflated, length);
    if (!body.isOk()) {
      throw new CorruptedFrameException("compressed frame: " + body.error().reason());
    }
    return body.value();
  }
}
