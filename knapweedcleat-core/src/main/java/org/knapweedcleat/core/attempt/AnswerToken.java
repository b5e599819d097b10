package org.knapweedcleat.core.attempt;

/**
 * One token of an answer.
 *
 * @param position its place in the answer, from 0
 * @param text its text
 */
public record AnswerToken(int position, String text) {}
