package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/**
 * A route from callers' requests to a service as declared.
 *
 * @param name the route's name
 * @param method the HTTP method, in capitals
 * @param path the exact path, beginning with a slash
 * @param service the service that answers
 * @param safety whether a call may be sent to an endpoint more than once
 * @param open whether callers need no key
 * @param team the team that owns the section
 */
public record RouteSpec(
    String name,
    String method,
    String path,
    ServiceId service,
    CallSafety safety,
    boolean open,
    TeamId team) {}
