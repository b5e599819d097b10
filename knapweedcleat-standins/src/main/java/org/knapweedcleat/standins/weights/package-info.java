/** Stub of the rate-limited weight store. */
package org.knapweedcleat.standins.weights;
