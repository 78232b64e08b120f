package io.pathdeck.common.duty;

import java.lang.invoke.VarHandle;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.jctools.queues.MpscArrayQueue;

/**
 * A bounded queue from many producers to the thread of one duty.
 *
 * <p>{@link #offer} never blocks: a full ring is reported to the producer, which refuses or slows
 * down. The consumer is woken only when it waits.
 */
public final class BoundedRing<T> {
  private final MpscArrayQueue<T> queue;
  private volatile Thread waiter;

  public BoundedRing(int capacity) {
    this.queue = new MpscArrayQueue<>(capacity);
  }

  /** Adds {@code item}; returns false when the ring is full. */
  public boolean offer(T item) {
    if (!queue.offer(item)) {
      return false;
    }
    wakeConsumer();
    return true;
  }

  /** Hands up to {@code limit} items to {@code consumer}. */
  public int drain(Consumer<T> consumer, int limit) {
    return queue.drain(consumer::accept, limit);
  }

  /** Takes one item, or null. */
  public T poll() {
    return queue.poll();
  }

  /** Whether nothing is queued. */
  public boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Wakes the consumer when it waits. */
  public void wakeConsumer() {
    // Orders the queue's lazy store before the read of the waiter, so that no wake-up is missed.
    VarHandle.fullFence();
    Thread thread = waiter;
    if (thread != null) {
      LockSupport.unpark(thread);
    }
  }

  /** Waits on the consumer's thread until an item arrives or {@code timeoutNs} have passed. */
  public void await(long timeoutNs) {
    waiter = Thread.currentThread();
    try {
      if (queue.isEmpty()) {
        LockSupport.parkNanos(this, timeoutNs);
      }
    } finally {
      waiter = null;
    }
  }
}
