package org.knapweedcleat.router.forward.codec;

import org.knapweedcleat.core.directory.EndpointStage;

/**
 * The state that an engine reports.
 *
 * @param stage the stage of requests that it runs
 * @param isBusy whether it is still changing its stage
 */
public record EngineState(EndpointStage stage, boolean isBusy) {}
