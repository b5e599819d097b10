package org.knapweedcleat.router.endpoint;

/**
 * A prefill endpoint's answer.
 *
 * @param handle its name for the KV cache
 * @param computedTokens the prompt tokens that were computed, not cached
 */
public record PrefillResult(String handle, int computedTokens) {}
