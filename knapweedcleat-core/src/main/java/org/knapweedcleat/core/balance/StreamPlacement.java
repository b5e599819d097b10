package org.knapweedcleat.core.balance;

import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;

/**
 * Where a streamed request is to run.
 *
 * @param prefill the engine that reads the prompt; empty if the decode engine reads it itself
 * @param decode the engine that produces the tokens
 * @param expectedFirstEventMillis when the first event may be expected
 */
public record StreamPlacement(
    Optional<EndpointEntry> prefill, EndpointEntry decode, double expectedFirstEventMillis) {}
