/** Collections that the standard library lacks. */
package org.knapweedcleat.core.collection;
