package org.knapweedcleat.core.stage;

import org.knapweedcleat.core.directory.EndpointEntry;
import org.knapweedcleat.core.directory.EndpointStage;

/**
 * A planned change of an engine's stage.
 *
 * @param engine the engine
 * @param stage its new stage
 */
public record StageChange(EndpointEntry engine, EndpointStage stage) {}
