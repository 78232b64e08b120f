package io.pathdeck.testkit.engine;

import io.pathdeck.serving.engine.EngineLoad;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The scheduling of an emulated engine: continuous batching with chunked prefill and priorities. A
 * pure state machine: the caller lets the time of each step pass.
 *
 * <p>Online sequences are admitted before batch sequences; when all places are taken, an online
 * arrival preempts a batch sequence, which waits and later computes its context again.
 */
public final class EngineModel {
  private final EngineProfile profile;
  private final PrefixCache cache;
  private final boolean honourPriority;
  private final ArrayDeque<Sequence> waitingOnline = new ArrayDeque<>();
  private final ArrayDeque<Sequence> waitingBatch = new ArrayDeque<>();
  private final List<Sequence> running = new ArrayList<>();

  /** Creates an idle engine; without {@code honourPriority} all sequences count as online. */
  public EngineModel(EngineProfile profile, PrefixCache cache, boolean honourPriority) {
    this.profile = profile;
    this.cache = cache;
    this.honourPriority = honourPriority;
  }

  /** Adds a request; false when too many wait. */
  public boolean submit(Sequence sequence) {
    if (waitingOnline.size() + waitingBatch.size() >= profile.maxWaiting()) {
      return false;
    }
    queueOf(sequence).addLast(sequence);
    return true;
  }

  private ArrayDeque<Sequence> queueOf(Sequence sequence) {
    return sequence.isOnline() || !honourPriority ? waitingOnline : waitingBatch;
  }

  /** Stops a request; it leaves at the next step. */
  public void cancel(Sequence sequence) {
    sequence.cancelled = true;
    waitingOnline.remove(sequence);
    waitingBatch.remove(sequence);
    running.remove(sequence);
  }

  /** Whether nothing runs or waits. */
  public boolean isIdle() {
    return running.isEmpty() && waitingOnline.isEmpty() && waitingBatch.isEmpty();
  }

  /** Whether an online sequence waits although a batch sequence runs. */
  public boolean onlineWaitsBehindBatch() {
    boolean onlineWaits = waitingOnline.stream().anyMatch(Sequence::isOnline);
    return onlineWaits && running.stream().anyMatch(sequence -> !sequence.isOnline());
  }

  /** The load now. */
  public EngineLoad load() {
    int online = 0;
    for (Sequence sequence : running) {
      online += sequence.isOnline() ? 1 : 0;
    }
    int waitingForOnline = (int) waitingOnline.stream().filter(Sequence::isOnline).count();
    return new EngineLoad(
        online + waitingForOnline,
        running.size() - online,
        waitingOnline.size() + waitingBatch.size());
  }

  /** Admits sequences and returns how long the next step takes, in microseconds. */
  public long beginStep() {
    admit();
    long micros = running.isEmpty() ? 0 : profile.stepBaseMicros();
    long context = 0;
    int prefillBudget = profile.prefillChunkTokens();
    for (Sequence sequence : running) {
      if (sequence.prefillRemaining > 0) {
        int chunk = Math.min(prefillBudget, sequence.prefillRemaining);
        prefillBudget -= chunk;
        micros += (long) chunk * profile.prefillMicrosPerToken();
      } else {
        micros += profile.stepPerSequenceMicros();
        context += sequence.contextTokens();
      }
    }
    return micros + context * profile.contextMicrosPerKiloToken() / 1_000;
  }

  private void admit() {
    while (!waitingOnline.isEmpty()) {
      if (running.size() >= profile.maxSequences() && !preemptBatch()) {
        return;
      }
      start(waitingOnline.pollFirst());
    }
    while (!waitingBatch.isEmpty() && running.size() < profile.maxSequences()) {
      start(waitingBatch.pollFirst());
    }
  }

  private boolean preemptBatch() {
    for (int i = running.size() - 1; i >= 0 && honourPriority; i--) {
      Sequence candidate = running.get(i);
      if (!candidate.isOnline()) {
        running.remove(i);
        waitingBatch.addFirst(candidate);
        return true;
      }
    }
    return false;
  }

  private void start(Sequence sequence) {
    int cached = cache.cachedTokens(sequence.prefixBlocks);
    sequence.prefillRemaining = Math.max(1, sequence.contextTokens() - cached);
    // Online sequences come first, so that their prompts are processed first.
    int position = sequence.isOnline() ? firstBatchPosition() : running.size();
    running.add(position, sequence);
  }

  private int firstBatchPosition() {
    int position = 0;
    while (position < running.size() && running.get(position).isOnline()) {
      position++;
    }
    return position;
  }

  /** Ends the step: prompts advance, and each sequence past its prompt gets a token. */
  public void endStep() {
    int prefillBudget = profile.prefillChunkTokens();
    List<Sequence> generating = new ArrayList<>();
    for (Sequence sequence : running) {
      if (sequence.prefillRemaining > 0) {
        int chunk = Math.min(prefillBudget, sequence.prefillRemaining);
        prefillBudget -= chunk;
        sequence.prefillRemaining -= chunk;
        if (sequence.prefillRemaining > 0) {
          continue;
        }
        cache.store(sequence.prefixBlocks);
      }
      generating.add(sequence);
    }
    removeFinished(generating);
  }

  private void removeFinished(List<Sequence> generating) {
    for (Sequence sequence : generating) {
      int offset = sequence.nextOffset++;
      boolean last = offset >= sequence.answerTokens;
      sequence.output.onToken(sequence, offset, last);
    }
    Iterator<Sequence> iterator = running.iterator();
    while (iterator.hasNext()) {
      Sequence sequence = iterator.next();
      if (sequence.cancelled || sequence.nextOffset > sequence.answerTokens) {
        iterator.remove();
      }
    }
  }
}
