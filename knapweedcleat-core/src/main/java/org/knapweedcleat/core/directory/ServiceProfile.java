package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.ServiceId;

/**
 * A service as it is published.
 *
 * @param service the service
 * @param maxConnections how many connections each of its endpoints accepts from all callers
 * @param engine what its engines hold; {@link EngineProfile#NONE} for a plain service
 */
public record ServiceProfile(ServiceId service, int maxConnections, EngineProfile engine) {}
