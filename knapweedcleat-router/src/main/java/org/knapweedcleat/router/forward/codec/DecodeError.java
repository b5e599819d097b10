package org.knapweedcleat.router.forward.codec;

/**
 * Why a message could not be decoded.
 *
 * @param status the HTTP status for a caller that sent the message
 * @param message a human-readable reason
 */
public record DecodeError(int status, String message) {}
