/** Decides which connections a listener closes to bound the memory that its clients hold. */
package org.knapweedcleat.core.listener;
