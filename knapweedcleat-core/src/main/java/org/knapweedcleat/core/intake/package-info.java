/** Limits on what callers may send, and the budget for the memory that is held for them. */
package org.knapweedcleat.core.intake;
