package org.knapweedcleat.router.forward.codec;

/**
 * A request that changes an engine's stage.
 *
 * @param head the request's head
 * @param body the request's body
 */
public record StageChangeRequest(RequestHead head, byte[] body) {}
