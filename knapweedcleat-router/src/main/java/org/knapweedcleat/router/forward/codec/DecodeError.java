package org.knapweedcleat.router.forward.codec;

/**
 * Why a message could not be understood.
 *
 * @param status the HTTP status that a caller gets for it
 * @param message a phrase for people
 */
public record DecodeError(int status, String message) {}
