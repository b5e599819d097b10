package org.knapweedcleat.core.config;

import org.knapweedcleat.core.id.ServiceId;
import org.knapweedcleat.core.id.TeamId;

/**
 * Configuration of a route from an HTTP method and path to a service.
 *
 * @param name the name of the route
 * @param method the HTTP method in upper case
 * @param path the exact path, starting with a slash
 * @param service the service that handles the calls
 * @param safety whether calls may be retried
 * @param open whether the route accepts calls without an API key
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
