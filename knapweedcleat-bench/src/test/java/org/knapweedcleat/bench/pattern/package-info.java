/** Heavy loads on forwarded streams in virtual time, each test named by its pattern. */
package org.knapweedcleat.bench.pattern;
