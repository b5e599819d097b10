package org.knapweedcleat.core.balance;

import java.util.Optional;
import org.knapweedcleat.core.directory.EndpointEntry;

/**
 * The engines selected for a streamed request.
 *
 * @param prefill the engine that prefills the prompt; empty if the decode engine does it
 * @param decode the engine that generates the tokens
 * @param expectedFirstEventMillis the expected time until the first event
 */
public record StreamPlacement(
    Optional<EndpointEntry> prefill, EndpointEntry decode, double expectedFirstEventMillis) {}
