package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.ServiceId;

/**
 * A published service.
 *
 * @param service the service
 * @param maxConnections the number of connections that each endpoint accepts from all callers
 *     together
 * @param engine the capacity of its engines; {@link EngineProfile#NONE} for a plain service
 */
public record ServiceProfile(ServiceId service, int maxConnections, EngineProfile engine) {}
