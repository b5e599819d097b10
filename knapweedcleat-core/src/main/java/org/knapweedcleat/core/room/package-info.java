/** Decides who waits for room at engines, for how long, and when the refused come back. */
package org.knapweedcleat.core.room;
