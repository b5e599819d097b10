/** Measures the decisions of the core in virtual time against small fakes at its interfaces. */
package org.knapweedcleat.bench;
