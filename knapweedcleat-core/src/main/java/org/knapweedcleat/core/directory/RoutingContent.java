package org.knapweedcleat.core.directory;

import java.util.List;

/**
 * One version of the published configuration, as read from the store and exchanged between
 * instances.
 *
 * @param version the version number, which increases with each change
 * @param routes the routes
 * @param services the services
 * @param requiresKeys whether calls need a key unless their route is open
 * @param accounts the client accounts
 * @param requestLimits the limits on requests
 */
public record RoutingContent(
    long version,
    List<ForwardRoute> routes,
    List<ServiceProfile> services,
    boolean requiresKeys,
    List<AccountQuota> accounts,
    RequestLimits requestLimits) {}
