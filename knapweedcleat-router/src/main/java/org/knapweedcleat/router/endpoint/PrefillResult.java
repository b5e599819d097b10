package org.knapweedcleat.router.endpoint;

/**
 * The result of a prefill.
 *
 * @param handle the prefill endpoint's handle of the KV cache
 * @param computedTokens the number of prompt tokens computed rather than cached
 */
public record PrefillResult(String handle, int computedTokens) {}
