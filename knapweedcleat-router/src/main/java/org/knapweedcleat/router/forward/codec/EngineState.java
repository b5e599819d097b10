package org.knapweedcleat.router.forward.codec;

import org.knapweedcleat.core.directory.EndpointStage;

/**
 * What an engine says of its state.
 *
 * @param stage the part of the work that it does
 * @param isBusy whether it is carrying out an order
 */
public record EngineState(EndpointStage stage, boolean isBusy) {}
