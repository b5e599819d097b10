package org.knapweedcleat.router.peer;

import org.knapweedcleat.core.id.InstanceId;

/**
 * Where an instance listens for other instances.
 *
 * @param instance the instance
 * @param host its IP number
 * @param port its TCP port
 */
public record PeerAddress(InstanceId instance, String host, int port) {}
