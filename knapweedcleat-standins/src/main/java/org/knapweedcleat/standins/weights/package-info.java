/** The weight store, whose rate is limited. */
package org.knapweedcleat.standins.weights;
