package org.knapweedcleat.router.forward.codec;

/**
 * The KV cache of a prompt that an engine has read and keeps for a short time.
 *
 * @param address IP number and port of the engine
 * @param handle names the KV cache there
 */
public record KvHandle(String address, String handle) {}
