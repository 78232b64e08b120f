package io.pathdeck.fleet.coordinator;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.StorageError;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.message.FleetUpdate;
import java.util.ArrayList;
import java.util.Base64;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

/**
 * The last fleet state that this coordinator knew, saved in its data folder.
 *
 * <p>After a restart of all coordinators, it serves gateways without any state until a leader is
 * elected. It holds committed configurations only, so a process that starts with it never has to go
 * back to an older one. As it may be out of date, coordinators send it only shortly after their own
 * start and only to processes without a list from a leader ({@link LastKnownResponder}), and these
 * use it only shortly after their own start: by then a leader should have answered.
 *
 * <p>A separate thread writes the file, since the disk may hang: at most once every {@value
 * #WRITE_INTERVAL_MS} ms, except for changes of the quarantined requests and the evacuated zones.
 */
final class LastKnownFleet implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(LastKnownFleet.class);

  /** Has another name for each form of the file; files of earlier forms are ignored. */
  private static final String FILE_NAME = "last-known-fleet-3";

  private static final long WRITE_INTERVAL_MS = 1_000;
  private static final long NANOS_PER_MS = 1_000_000;

  /** Longer than a write takes on a slow disk. */
  private static final long MAX_CLOSE_WAIT_MS = 5_000;

  private final DataFolder folder;
  private final Optional<FleetUpdate> recoveredUpdate;
  private final AtomicReference<FleetView> latestView = new AtomicReference<>();
  private final Thread writer = new Thread(this::writeChanges, "last-known-fleet");
  private volatile boolean closed;

  /** Reads the file of an earlier process; {@link #start} starts writing. */
  LastKnownFleet(DataFolder folder) {
    this.folder = folder;
    this.recoveredUpdate = read(folder).flatMap(LastKnownFleet::decode);
    writer.setDaemon(true);
  }

  private static Optional<String> read(DataFolder folder) {
    Result<Optional<String>, StorageError> content = folder.readFile(FILE_NAME);
    if (!content.isOk()) {
      EVENTS.log(EventCode.STORAGE_FAILED, "file", FILE_NAME, "reason", content.error());
      return Optional.empty();
    }
    return content.value();
  }

  void start() {
    writer.start();
  }

  /**
   * Returns the state saved by an earlier process; empty if there is none or the file is damaged.
   */
  Optional<FleetUpdate> recoveredUpdate() {
    return recoveredUpdate;
  }

  /**
   * Saves a view that a leader sent; does not block. A change to the quarantined requests or the
   * evacuated zones is written without delay: a gateway that starts with an older list would send
   * requests to engines that must not get them. So is a software version that joins or leaves:
   * callers may return to streams that began there before the view is written the next time.
   */
  void saveAsync(FleetView view) {
    if (!view.isComplete()) {
      return;
    }
    FleetView previous = latestView.getAndSet(view);
    if (previous != null && isUrgent(previous, view)) {
      LockSupport.unpark(writer);
    }
  }

  private static boolean isUrgent(FleetView previous, FleetView view) {
    boolean isUnchanged =
        previous.quarantine().equals(view.quarantine())
            && previous.evacuatedZones().equals(view.evacuatedZones())
            && previous.retiredOrigins().equals(view.retiredOrigins())
            && previous.joiningOrigins().equals(view.joiningOrigins());
    return !isUnchanged;
  }

  private void writeChanges() {
    FleetView writtenView = null;
    while (!closed) {
      FleetView view = latestView.get();
      if (view != null && !view.equals(writtenView)) {
        Result<Void, StorageError> result = folder.writeFile(FILE_NAME, encode(view));
        if (!result.isOk()) {
          EVENTS.log(EventCode.LAST_KNOWN_NOT_WRITTEN, "reason", result.error());
        }
        writtenView = view;
      }
      LockSupport.parkNanos(WRITE_INTERVAL_MS * NANOS_PER_MS);
    }
  }

  static String encode(FleetView view) {
    FleetUpdate update =
        new FleetUpdate(
            view.routes(),
            new EngineListDelta(
                FleetUpdate.NO_LEADERS_EPOCH,
                true,
                new ArrayList<>(view.engines().values()),
                new ArrayList<>(),
                0),
            new ProcessListDelta(
                FleetUpdate.NO_LEADERS_EPOCH,
                true,
                new ArrayList<>(view.processes().values()),
                new ArrayList<>(),
                0),
            view.jobsFounders(),
            view.jobsGroups(),
            FleetProcess.NO_GROUP,
            view.leavingMembers(),
            new ArrayList<>(),
            view.quarantine(),
            view.evacuatedZones(),
            view.jobsGroupRegions(),
            view.retiredOrigins(),
            view.joiningOrigins(),
            new ArrayList<>());
    return Base64.getEncoder().encodeToString(ObjectCodec.encode(update));
  }

  private static Optional<FleetUpdate> decode(String text) {
    try {
      byte[] bytes = Base64.getDecoder().decode(text);
      Result<FleetUpdate, ObjectCodec.CodecError> decoded =
          ObjectCodec.decode(bytes, FleetUpdate.class);
      return decoded.isOk()
          ? Optional.of(decoded.value()).filter(LastKnownFleet::isComplete)
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static boolean isComplete(FleetUpdate update) {
    return update.routes() != null && update.engines() != null && update.processes() != null;
  }

  /** Waits for a write in progress, so that the folder may be opened again. */
  @Override
  public void close() {
    closed = true;
    LockSupport.unpark(writer);
    try {
      writer.join(MAX_CLOSE_WAIT_MS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
