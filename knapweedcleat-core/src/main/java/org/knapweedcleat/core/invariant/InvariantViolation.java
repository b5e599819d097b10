package org.knapweedcleat.core.invariant;

/**
 * A violation of an invariant.
 *
 * @param invariant the violated invariant
 * @param subject the id of the subject that violated it
 */
public record InvariantViolation(Invariant invariant, String subject) {}
