/** Holds the rate and burst of client accounts over all instances together, by share leases. */
package org.knapweedcleat.core.limit;
