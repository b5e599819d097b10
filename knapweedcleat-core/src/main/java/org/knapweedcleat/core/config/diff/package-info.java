/** Comparison of two published documents and assessment of the risks of the changes. */
package org.knapweedcleat.core.config.diff;
