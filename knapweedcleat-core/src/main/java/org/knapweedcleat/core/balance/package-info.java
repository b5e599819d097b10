/** Selects endpoints by distance, workload and health. */
package org.knapweedcleat.core.balance;
