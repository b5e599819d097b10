package org.knapweedcleat.core.stage;

import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;

/**
 * An engine that is to change its part of the work.
 *
 * @param engine the engine
 * @param stage its new part
 */
public record StageChange(EndpointEntry engine, EndpointStage stage) {}
