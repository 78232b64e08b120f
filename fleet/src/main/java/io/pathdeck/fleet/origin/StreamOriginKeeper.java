package io.pathdeck.fleet.origin;

import io.netty.channel.EventLoop;
import io.pathdeck.protocol.message.FindStreamOrigin;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.RecordStreamOrigins;
import io.pathdeck.protocol.message.StreamOriginReply;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import java.util.concurrent.TimeUnit;

/** Keeps origins of streams for gateways and answers their lookups; confined to the event loop. */
public final class StreamOriginKeeper {
  private final EventLoop eventLoop;
  private final StreamOriginTable table;

  /** Creates a keeper that knows no stream. */
  public StreamOriginKeeper(EventLoop eventLoop) {
    this(eventLoop, new StreamOriginTable());
  }

  StreamOriginKeeper(EventLoop eventLoop, StreamOriginTable table) {
    this.eventLoop = eventLoop;
    this.table = table;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Handles a message of a gateway, if it is about origins; thread-safe. */
  public boolean onMessage(Message message, ReplySink replySink) {
    if (message instanceof RecordStreamOrigins told) {
      eventLoop.execute(() -> told.records().forEach(each -> table.put(each, nowMs())));
      return true;
    }
    if (message instanceof FindStreamOrigin find) {
      eventLoop.execute(
          () ->
              replySink.reply(
                  new StreamOriginReply(table.find(find.stream(), nowMs()).orElse(null))));
      return true;
    }
    return false;
  }
}
