/** Keeps client accounts within their quota over all instances by exchanged counts. */
package org.knapweedcleat.core.quota;
