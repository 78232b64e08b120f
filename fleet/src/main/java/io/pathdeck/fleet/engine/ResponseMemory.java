package io.pathdeck.fleet.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Bounds the memory of all responses of engines that a process holds, so that engines that write
 * without end do not exhaust the heap. Above the limit, the largest response is given up first.
 * Confined to one thread.
 */
public final class ResponseMemory {
  private final long maxBytes;

  /** Nonempty reservations only. */
  private final Set<Reservation> reservations = new LinkedHashSet<>();

  private long heldBytes;

  /** Allows {@code maxBytes} for all responses together. */
  public ResponseMemory(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Allows one of {@code parts} of the heap. */
  public static ResponseMemory ofHeap(int parts) {
    return new ResponseMemory(Runtime.getRuntime().maxMemory() / parts);
  }

  /**
   * Opens an empty reservation; {@code evictionListener} runs after it was evicted. Safe from any
   * thread.
   */
  public Reservation open(Runnable evictionListener) {
    return new Reservation(evictionListener);
  }

  /** The memory of all responses. */
  public long heldBytes() {
    return heldBytes;
  }

  private void makeRoom() {
    List<Reservation> evicted = new ArrayList<>();
    while (heldBytes > maxBytes) {
      Optional<Reservation> largest =
          reservations.stream().max(Comparator.comparingLong(Reservation::bytes));
      largest.get().resize(0);
      evicted.add(largest.get());
    }
    evicted.forEach(reservation -> reservation.evictionListener.run());
  }

  /** The memory of one response. */
  public final class Reservation {
    private final Runnable evictionListener;
    private long bytes;

    private Reservation(Runnable evictionListener) {
      this.evictionListener = evictionListener;
    }

    /** The memory of this response; 0 once it was evicted. */
    public long bytes() {
      return bytes;
    }

    /**
     * Sets how much memory the response takes. If that is too much together with others, the
     * largest are evicted, perhaps this one.
     */
    public void resize(long newBytes) {
      heldBytes += newBytes - bytes;
      bytes = newBytes;
      if (newBytes > 0) {
        reservations.add(this);
        makeRoom();
      } else {
        reservations.remove(this);
      }
    }
  }
}
