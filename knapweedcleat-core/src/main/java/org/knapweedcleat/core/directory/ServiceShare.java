package org.knapweedcleat.core.directory;

import org.knapweedcleat.core.id.ServiceId;

/**
 * A service of a route with its share of the route's calls.
 *
 * @param service the service
 * @param weight its weight among the route's services, at least 0
 */
public record ServiceShare(ServiceId service, long weight) {}
