package org.knapweedcleat.core.invariant;

/**
 * One violation of an invariant.
 *
 * @param invariant what was violated
 * @param subject the id of what violated it
 */
public record InvariantViolation(Invariant invariant, String subject) {}
