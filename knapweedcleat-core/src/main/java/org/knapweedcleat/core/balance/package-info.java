/** Chooses endpoints by their distance, their work and what is seen of their health. */
package org.knapweedcleat.core.balance;
