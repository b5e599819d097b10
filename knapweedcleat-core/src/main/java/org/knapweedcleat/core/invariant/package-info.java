/** What always has to hold, asserted where it could break. */
package org.knapweedcleat.core.invariant;
