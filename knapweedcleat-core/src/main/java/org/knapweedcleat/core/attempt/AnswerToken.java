package org.knapweedcleat.core.attempt;

/**
 * One token of a generated answer.
 *
 * @param position the zero-based position in the answer
 * @param text the token's text
 */
public record AnswerToken(int position, String text) {}
