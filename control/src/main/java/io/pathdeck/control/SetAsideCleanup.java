package io.pathdeck.control;

import io.pathdeck.common.duty.BoundedRing;
import io.pathdeck.consensus.RaftReplica;
import io.pathdeck.consensus.storage.DataFolder;
import java.util.Collection;

/**
 * Deletes the content of a folder that was given up once every replica of the process votes again:
 * until then it may be the last copy of something.
 */
final class SetAsideCleanup implements ConsensusExtension {
  private final ConsensusExtension next;
  private final DataFolder folder;
  private final Collection<GroupRuntime> groups;
  private final BoundedRing<SnapshotTask> tasks;
  private boolean done;

  private SetAsideCleanup(
      ConsensusExtension next,
      DataFolder folder,
      Collection<GroupRuntime> groups,
      BoundedRing<SnapshotTask> tasks) {
    this.next = next;
    this.folder = folder;
    this.groups = groups;
    this.tasks = tasks;
  }

  /** Adds the deletion to {@code extension} if there is something to delete. */
  static ConsensusExtension extend(
      ConsensusExtension extension,
      DataFolder folder,
      Collection<GroupRuntime> groups,
      BoundedRing<SnapshotTask> tasks) {
    return folder.hasSetAside() ? new SetAsideCleanup(extension, folder, groups, tasks) : extension;
  }

  @Override
  public void onStep(long nowMs) {
    if (!done && groups.stream().map(GroupRuntime::replica).allMatch(RaftReplica::isVoter)) {
      done = tasks.offer(new SnapshotTask.DiscardSetAside(folder));
    }
    next.onStep(nowMs);
  }
}
