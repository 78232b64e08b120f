package io.pathdeck.serving.http;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Map;

/**
 * The messages of one connection that wait for the end of the response before them; confined to the
 * connection's event loop.
 */
final class PipelinedMessages {
  /** The objects of a head without its text. */
  private static final int HEAD_BYTES = 512;

  private static final int HEADER_BYTES = 96;
  private static final int CONTENT_BYTES = 128;

  /** The decoder's buffer, which holds the beginning of the next message. */
  static final int DECODER_BYTES = 64 * 1024;

  private final BodyBudget budget;
  private final ArrayDeque<Object> messages = new ArrayDeque<>();

  /** Creates an empty queue; {@code budget} is that of all connections. */
  PipelinedMessages(BodyBudget budget) {
    this.budget = budget;
  }

  private static long memoryOf(Object message) {
    long bytes = 0;
    if (message instanceof HttpRequest head) {
      bytes += HEAD_BYTES + head.uri().length();
      for (Map.Entry<String, String> header : head.headers()) {
        bytes += HEADER_BYTES + header.getKey().length() + header.getValue().length();
      }
    }
    if (message instanceof HttpContent content) {
      bytes += CONTENT_BYTES + content.content().readableBytes();
    }
    return bytes;
  }

  /** Adds a message; returns false if there is no memory for it. */
  boolean offer(Object message) {
    long bytes = memoryOf(message) + (isEmpty() ? DECODER_BYTES : 0);
    return budget.tryReserve(bytes) && messages.add(message);
  }

  int size() {
    return messages.size();
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Removes the oldest message. */
  Object poll() {
    Object message = messages.poll();
    budget.release(memoryOf(message) + (isEmpty() ? DECODER_BYTES : 0));
    return message;
  }

  void releaseAll() {
    while (!isEmpty()) {
      ReferenceCountUtil.release(poll());
    }
  }
}
