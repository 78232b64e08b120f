package io.pathdeck.common.duty;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import java.util.ArrayDeque;
import java.util.Deque;

/** Resources of a process, closed in the reverse order of their opening. */
public final class ResourceStack {
  private static final EventLog EVENTS = EventLog.of(ResourceStack.class);

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Adds a resource and returns it. */
  public synchronized <T extends AutoCloseable> T push(T resource) {
    resources.push(resource);
    return resource;
  }

  private synchronized AutoCloseable next() {
    return resources.poll();
  }

  /**
   * Closes everything, also what is added meanwhile; a failure to close one resource does not keep
   * the others open. Holds no lock while it closes one: that may wait for a thread that adds one.
   */
  @SuppressWarnings("CatchingUnchecked") // whatever a resource throws, the rest must be closed
  public void closeAll() {
    for (AutoCloseable resource = next(); resource != null; resource = next()) {
      try {
        resource.close();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (Exception e) {
        EVENTS.log(EventCode.DUTY_FAILED, e, "duty", "close");
      }
    }
  }
}
