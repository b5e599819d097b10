/** Invariants of the system that are checked at run time. */
package org.knapweedcleat.core.invariant;
