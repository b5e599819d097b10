package org.knapweedcleat.core.directory;

import java.util.List;

/**
 * One version of the published configuration, as it is read and passed on between instances.
 *
 * @param version rises with each version
 * @param routes the routes
 * @param services the services
 * @param requiresKeys whether calls need a key unless their route is open
 * @param accounts the client accounts
 * @param requestLimits what callers may send
 */
public record RoutingContent(
    long version,
    List<ForwardRoute> routes,
    List<ServiceProfile> services,
    boolean requiresKeys,
    List<AccountQuota> accounts,
    RequestLimits requestLimits) {}
