package org.knapweedcleat.router.forward.codec;

/**
 * A call that tells an engine to do something.
 *
 * @param head the call's head
 * @param body the call's body
 */
public record StageChangeRequest(RequestHead head, byte[] body) {}
