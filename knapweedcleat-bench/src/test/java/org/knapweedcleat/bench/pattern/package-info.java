/** Simulates adverse load patterns on forwarded calls in virtual time, one pattern per test. */
package org.knapweedcleat.bench.pattern;
