package io.pathdeck.testkit.engine;

import io.pathdeck.common.settings.SettingsReader;

/**
 * The time model of an emulated engine.
 *
 * <p>The engine works in steps. In a step every running sequence gets one token, and up to {@code
 * prefillChunkTokens} prompt tokens are processed. A step takes {@code stepBaseMicros}, plus {@code
 * stepPerSequenceMicros} for each sequence that decodes, plus {@code contextMicrosPerKiloToken} for
 * each thousand tokens of context, plus {@code prefillMicrosPerToken} for each prompt token.
 *
 * @param maxSequences the most sequences that run at a time; others wait, online ones first
 * @param cacheBlocks the prefix cache's size in blocks of {@link PrefixCache#BLOCK_TOKENS}
 * @param loadLagMs how old a load report is
 */
public record EngineProfile(
    int stepBaseMicros,
    int stepPerSequenceMicros,
    int contextMicrosPerKiloToken,
    int prefillMicrosPerToken,
    int prefillChunkTokens,
    int maxSequences,
    int maxWaiting,
    int cacheBlocks,
    int loadLagMs,
    int cacheEventLagMs,
    int cacheEventGapPercent) {

  /** A mid-sized model on one accelerator group. */
  public static final EngineProfile DEFAULT =
      new EngineProfile(20_000, 250, 40, 50, 512, 32, 256, 2_048, 200, 500, 5);

  /** Reads a profile from settings. */
  static EngineProfile read(SettingsReader reader) {
    EngineProfile d = DEFAULT;
    int million = 1_000_000;
    return new EngineProfile(
        reader.integer("step_base_micros", d.stepBaseMicros, 0, 10 * million),
        reader.integer("step_per_sequence_micros", d.stepPerSequenceMicros, 0, million),
        reader.integer("context_micros_per_kilo_token", d.contextMicrosPerKiloToken, 0, million),
        reader.integer("prefill_micros_per_token", d.prefillMicrosPerToken, 0, million),
        reader.integer("prefill_chunk_tokens", d.prefillChunkTokens, 1, million),
        reader.integer("max_sequences", d.maxSequences, 1, 10_000),
        reader.integer("max_waiting", d.maxWaiting, 0, million),
        reader.integer("cache_blocks", d.cacheBlocks, 0, million),
        reader.integer("load_lag_ms", d.loadLagMs, 0, 60_000),
        reader.integer("cache_event_lag_ms", d.cacheEventLagMs, 0, 60_000),
        reader.integer("cache_event_gap_percent", d.cacheEventGapPercent, 0, 100));
  }
}
