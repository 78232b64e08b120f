package io.pathdeck.protocol.command;

/** A command of the meta group. */
public sealed interface MetaCommand extends Command permits ApplyDelta, SetEngineDraining {}
