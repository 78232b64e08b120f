package io.pathdeck.common.http;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Lets connections that bring many messages at once be read one after the other, so that peers that
 * write without end leave the event loop time for others; confined to the event loop.
 */
public final class ReadTurns {
  /** A connection that has brought this many messages at once awaits its next turn. */
  private static final int MAX_MESSAGES = 2_048;

  private static final long INTERVAL_MS = 10;

  private final EventLoop eventLoop;
  private final Deque<Reader> waiting = new ArrayDeque<>();

  public ReadTurns(EventLoop eventLoop) {
    this.eventLoop = eventLoop;
  }

  /** Returns what reads a new connection. */
  public Reader reader(Channel channel) {
    return new Reader(channel);
  }

  private void await(Reader reader) {
    waiting.add(reader);
    if (waiting.size() == 1) {
      scheduleNext();
    }
  }

  private void scheduleNext() {
    eventLoop.schedule(this::next, INTERVAL_MS, TimeUnit.MILLISECONDS);
  }

  private void next() {
    waiting.removeIf(reader -> !reader.channel.isOpen());
    if (waiting.isEmpty()) {
      return;
    }
    Reader first = waiting.remove();
    if (!waiting.isEmpty()) {
      scheduleNext();
    }
    first.takeTurn();
  }

  /** Reads a connection unless it awaits its turn or its receiver has paused it. */
  public final class Reader {
    private final Channel channel;
    private int messages;
    private int messagesBeforeTurn;
    private boolean awaitsTurn;
    private boolean paused;

    private Reader(Channel channel) {
      this.channel = channel;
    }

    /** Stops reading for the receiver. */
    public void pause() {
      paused = true;
      update();
    }

    /** Reads again, as far as the receiver is concerned. */
    public void resume() {
      paused = false;
      update();
    }

    private void update() {
      channel.config().setAutoRead(!paused && !awaitsTurn);
    }

    private void takeTurn() {
      awaitsTurn = false;
      messagesBeforeTurn = messages;
      update();
    }

    /** Whether the connection has brought so much that it is not read for now. */
    public boolean awaitsTurn() {
      return awaitsTurn;
    }

    /** The number of messages that the connection has brought. */
    public int messages() {
      return messages;
    }

    /** Counts a message, which may be the last one of this turn. */
    public void onMessage() {
      messages++;
      if (!awaitsTurn && messages - messagesBeforeTurn > MAX_MESSAGES) {
        awaitsTurn = true;
        update();
        await(this);
      }
    }

    /** Handles that all has been read that there was, or as much as may be read at once. */
    public void onReadComplete() {
      if (!awaitsTurn) {
        messagesBeforeTurn = messages;
      }
    }
  }
}
