package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.ServiceId;

/**
 * The part of a route's calls that goes to one service.
 *
 * @param service the service
 * @param weight its weight among the route's services, at least 0
 */
public record ServiceShare(ServiceId service, long weight) {}
