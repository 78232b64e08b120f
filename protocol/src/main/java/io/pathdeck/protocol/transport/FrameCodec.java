package io.pathdeck.protocol.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageCodec;
import io.netty.handler.codec.CorruptedFrameException;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.message.Message;
import java.util.List;

/** Turns the content of a length-prefixed frame into a {@link Frame} and back. */
final class FrameCodec extends ByteToMessageCodec<Frame> {
  /** The largest frame accepted. */
  static final int MAX_FRAME_LENGTH = 16 * 1024 * 1024;

  private static final int HEADER_LENGTH = 1 + 1 + Long.BYTES;
  private static final Frame.Kind[] KINDS = Frame.Kind.values();

  @Override
  protected void encode(ChannelHandlerContext context, Frame frame, ByteBuf out) {
    byte[] body = ObjectCodec.encode(frame.message());
    out.writeInt(HEADER_LENGTH + body.length);
    out.writeByte(Frame.VERSION);
    out.writeByte(frame.kind().ordinal());
    out.writeLong(frame.correlationId());
    out.writeBytes(body);
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < Integer.BYTES) {
      return;
    }
    int length = in.getInt(in.readerIndex());
    if (length < HEADER_LENGTH || length > MAX_FRAME_LENGTH) {
      throw new CorruptedFrameException("frame length " + length);
    }
    if (in.readableBytes() < Integer.BYTES + length) {
      return;
    }
    in.skipBytes(Integer.BYTES);
    out.add(readFrame(in, length));
  }

  private static Frame readFrame(ByteBuf in, int length) {
    byte version = in.readByte();
    if (version != Frame.VERSION) {
      throw new CorruptedFrameException("frame version " + version);
    }
    int kind = in.readByte();
    if (kind < 0 || kind >= KINDS.length) {
      throw new CorruptedFrameException("frame kind " + kind);
    }
    long correlationId = in.readLong();
    byte[] body = new byte[length - HEADER_LENGTH];
    in.readBytes(body);
    Result<Message, ObjectCodec.CodecError> message = ObjectCodec.decode(body, Message.class);
    if (!message.isOk()) {
      throw new CorruptedFrameException("frame body: " + message.error().reason());
    }
    return new Frame(KINDS[kind], correlationId, message.value());
  }
}
