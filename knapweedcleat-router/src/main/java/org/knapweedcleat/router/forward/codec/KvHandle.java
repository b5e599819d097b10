package org.knapweedcleat.router.forward.codec;

/**
 * Refers to the KV cache of a prompt, which a prefill engine keeps for a short time.
 *
 * @param address the engine's IP address and port
 * @param handle identifies the KV cache on that engine
 */
public record KvHandle(String address, String handle) {}
