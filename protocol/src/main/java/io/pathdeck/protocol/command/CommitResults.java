package io.pathdeck.protocol.command;

import io.pathdeck.protocol.model.ItemResult;
import java.util.List;

/** Stores results; the first result of an item wins. */
public record CommitResults(String dispatcherId, List<ItemResult> results) implements JobsCommand {}
