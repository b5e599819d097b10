/** Tracks the members of the fleet by the messages they exchange. */
package org.knapweedcleat.core.fleet;
